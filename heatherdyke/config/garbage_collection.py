"""Removes section objects that the head no longer references."""

from dataclasses import dataclass

import msgspec

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.config.document_reader import DocumentReader
from heatherdyke.config.model import HEAD_KEY
from heatherdyke.config.model import SECTION_PREFIX
from heatherdyke.config.model import StoredSection
from heatherdyke.config.section_editor import MAX_EDIT_S
from heatherdyke.errors import ConfigError
from heatherdyke.messages import PlatformObject
from heatherdyke.objects.store import ObjectStore

MIN_AGE_S = 6 * MAX_EDIT_S


@dataclass(frozen=True, slots=True)
class GarbageCollectionResult:
    """The removed keys and the number of section objects that remain."""

    removed: list[str]
    kept: int


async def collect_garbage(
    platform: ObjectStore, older_than_s: float, wall_now: float
) -> GarbageCollectionResult:
    """Remove unreferenced section objects older than ``older_than_s``.

    A removed object cannot be referenced later: an edit expires MAX_EDIT_S
    after its start, and the head is rewritten unchanged between listing and
    removing the objects, so that conditional updates based on an earlier head
    version fail.  Objects that cannot be decoded are kept, as their age is
    unknown.

    Raises PlatformUnavailable, UnreadableObject, VersionConflict if an edit
    was accepted meanwhile (safe to retry), and ConfigError if the age is too
    low.
    """
    if older_than_s < MIN_AGE_S:
        raise ConfigError(
            f"a minimum age of {older_than_s:.0f} s is too low",
            f"give at least {MIN_AGE_S:.0f} s",
        )
    objects = await platform.list(SECTION_PREFIX)
    stored_head = await DocumentReader(platform).read_head()
    await platform.put(HEAD_KEY, stored_head.head, stored_head.object_version)
    pointers = stored_head.head.section_by_team.values()
    referenced = {pointer.object_key for pointer in pointers}
    removed = []
    for stored in objects:
        if stored.key in referenced:
            continue
        if wall_now - _written_at(stored, wall_now) > older_than_s:
            await platform.delete(stored.key, stored.version)
            removed.append(stored.key)
    return GarbageCollectionResult(removed, len(objects) - len(removed))


def _written_at(stored: PlatformObject, wall_now: float) -> float:
    """Return when the object was written, or ``wall_now`` if unreadable."""
    try:
        return decode(encode(stored.value), StoredSection).written_at
    except msgspec.MsgspecError:
        return wall_now
