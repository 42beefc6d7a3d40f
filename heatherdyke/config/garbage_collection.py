"""Removes section objects that no head points to any more."""

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
    """The keys removed and how many section objects stay."""

    removed: list[str]
    kept: int


async def collect_garbage(
    platform: ObjectStore, older_than_s: float, wall_now: float
) -> GarbageCollectionResult:
    """Remove unreferenced section objects older than ``older_than_s``.

    An edit gives up MAX_EDIT_S after it began, and an update of the head
    without a change makes the updates fail that were prepared on an earlier
    one; so no head can come to point to what is removed.  Raises
    PlatformUnavailable, VersionConflict if edits go on meanwhile (repeat
    it), and ConfigError if the age is too low.
    """
    if older_than_s < MIN_AGE_S:
        raise ConfigError(
            f"{older_than_s:.0f} s is too young to collect",
            f"give at least {MIN_AGE_S:.0f} s",
        )
    found = await platform.list(SECTION_PREFIX)
    stored = await DocumentReader(platform).read_head()
    await platform.put(HEAD_KEY, stored.head, stored.object_version)
    pointers = stored.head.section_by_team.values()
    used = {pointer.object_key for pointer in pointers}
    removed = []
    for item in found:
        if item.key in used:
            continue
        if wall_now - _written_at(item, wall_now) > older_than_s:
            await platform.delete(item.key, item.version)
            removed.append(item.key)
    return GarbageCollectionResult(removed, len(found) - len(removed))


def _written_at(item: PlatformObject, wall_now: float) -> float:
    """Return when the object was written; now if that cannot be read."""
    try:
        return decode(encode(item.value), StoredSection).written_at
    except msgspec.MsgspecError:
        return wall_now
