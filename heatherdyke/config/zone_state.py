"""The zones that operators have taken out of service, and how they merge.

Pure: no I/O and no clock.  Each change of a zone carries an order number
that increases over all changes of all zones, so that states received from
the platform and from peers merge to the same result in any order.
"""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import Enum

RECENT_EDITS = 16


class ZoneStatus(Enum):
    """Whether a zone may receive new work."""

    IN = "in"
    OUT = "out"


@dataclass(frozen=True, slots=True)
class ZoneEntry:
    """The last change of one zone.

    ``order`` is the version of the zones object that the change created.
    ``edit`` is the nonce of the change and ``recent_edits`` are those of the
    changes before it, newest first; by them an editor whose reply was lost
    finds out whether its change took effect.
    """

    state: ZoneStatus
    order: int
    edit: str
    editor: str = ""
    reason: str = ""
    recent_edits: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ZonesObject:
    """The platform object ``zones``; each change increments ``version``."""

    version: int = 0
    zone_by_name: dict[str, ZoneEntry] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ZoneChange:
    """A change of a zone that a merge has applied."""

    zone: str
    entry: ZoneEntry


class ZoneStates:
    """The newest known state of each zone; a zone without entry is in."""

    __slots__ = ("zones", "_monotone")

    def __init__(self, monotone: bool = True) -> None:
        self.zones = ZonesObject()
        self._monotone = monotone

    def merge(self, other: ZonesObject) -> list[ZoneChange]:
        """Apply every entry that is newer; return the changes."""
        newer = {
            zone: entry
            for zone, entry in other.zone_by_name.items()
            if self._is_newer(zone, entry)
        }
        version = other.version
        if self._monotone:
            version = max(version, self.zones.version)
        self.zones = ZonesObject(version, self.zones.zone_by_name | newer)
        return [ZoneChange(zone, entry) for zone, entry in newer.items()]

    def is_out(self, zone: str) -> bool:
        """Tell whether the zone is out of service."""
        entry = self.zones.zone_by_name.get(zone)
        return entry is not None and entry.state is ZoneStatus.OUT

    def out_zones(self) -> list[str]:
        """Return the sorted names of the zones that are out of service."""
        return sorted(z for z in self.zones.zone_by_name if self.is_out(z))

    def _is_newer(self, zone: str, entry: ZoneEntry) -> bool:
        current = self.zones.zone_by_name.get(zone)
        if current is None:
            return True
        if not self._monotone:
            return current != entry
        return entry.order > current.order


def change_zone(
    zones: ZonesObject, zone: str, entry: ZoneEntry
) -> ZonesObject:
    """Return ``zones`` with one zone changed, at the next version.

    The entry's order number and recent edits are set here.
    """
    current = zones.zone_by_name.get(zone)
    recent = [] if current is None else [current.edit, *current.recent_edits]
    version = zones.version + 1
    entry = replace(entry, order=version, recent_edits=recent[:RECENT_EDITS])
    return ZonesObject(version, zones.zone_by_name | {zone: entry})


def has_edit(zones: ZonesObject, zone: str, edit: str) -> bool:
    """Tell whether ``edit`` took effect, even if superseded later."""
    current = zones.zone_by_name.get(zone)
    if current is None:
        return False
    return edit == current.edit or edit in current.recent_edits
