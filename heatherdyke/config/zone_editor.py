"""The protocol by which an edit takes a zone out of service or back in."""

from dataclasses import dataclass

import msgspec

from heatherdyke.config.edit_retry import EditRetry
from heatherdyke.config.model import ZONES_KEY
from heatherdyke.config.zone_state import ZoneEntry
from heatherdyke.config.zone_state import ZonesObject
from heatherdyke.config.zone_state import ZoneStatus
from heatherdyke.config.zone_state import change_zone
from heatherdyke.config.zone_state import has_edit
from heatherdyke.errors import EditUnresolved
from heatherdyke.errors import LaggingRead
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import UnreadableObject
from heatherdyke.errors import VersionConflict
from heatherdyke.objects.client import ABSENT_VERSION
from heatherdyke.objects.client import convert_value
from heatherdyke.objects.store import ObjectStore


@dataclass(frozen=True, slots=True)
class ZoneEdit:
    """An operator's change of one zone; ``edit`` is its nonce."""

    zone: str
    state: ZoneStatus
    edit: str
    editor: str
    reason: str = ""


async def read_zones_object(
    platform: ObjectStore,
) -> tuple[ZonesObject, int]:
    """Return the zones and the version of their object.

    Raises PlatformUnavailable or UnreadableObject.
    """
    stored = await platform.get(ZONES_KEY)
    if stored is None:
        return ZonesObject(), ABSENT_VERSION
    try:
        return convert_value(stored, ZonesObject), stored.version
    except msgspec.MsgspecError as error:
        raise UnreadableObject(ZONES_KEY, str(error)) from error


async def apply_zone_edit(
    platform: ObjectStore, edit: ZoneEdit, retry: EditRetry
) -> ZonesObject:
    """Apply the edit and return the zones that include it.

    A repeated edit does not undo a later change of the same zone.  Raises
    EditUnresolved if it is unknown whether the edit took effect, and
    UnreadableObject if the zones cannot be decoded.
    """
    reason = ""
    for attempt in range(retry.max_attempts):
        try:
            return await _try_once(platform, edit)
        except (PlatformUnavailable, VersionConflict, LaggingRead) as error:
            reason = error.detail
        await retry.wait(attempt)
    raise EditUnresolved(edit.edit, reason)


async def _try_once(platform: ObjectStore, edit: ZoneEdit) -> ZonesObject:
    zones, object_version = await read_zones_object(platform)
    if has_edit(zones, edit.zone, edit.edit):
        return zones
    entry = ZoneEntry(edit.state, 0, edit.edit, edit.editor, edit.reason)
    changed = change_zone(zones, edit.zone, entry)
    await platform.put(ZONES_KEY, changed, object_version)
    return changed
