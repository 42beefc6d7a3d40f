"""What an instance accepts as its configuration.

Pure: no I/O and no clock.  A section's version is the head version of the
edit that wrote it, so versions are ordered over all sections.  Updates merge
per team by the higher version, whatever their source and sequence; nothing
older than what is held is ever taken.
"""

from dataclasses import dataclass
from dataclasses import field

import msgspec

from heatherdyke.codec import decode
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import ConfigHead
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import SectionPointer
from heatherdyke.config.zone_state import ZoneChange
from heatherdyke.config.zone_state import ZonesObject
from heatherdyke.config.zone_state import ZoneStates


@dataclass(frozen=True, slots=True)
class ConfigDigest:
    """The versions an instance has in force, for heartbeats."""

    config_version: int = 0
    zones_version: int = 0

    def is_newer_than(self, other: "ConfigDigest") -> bool:
        """Tell whether its holder has something that ``other`` lacks."""
        return (
            self.config_version > other.config_version
            or self.zones_version > other.zones_version
        )


@dataclass(frozen=True, slots=True)
class SectionUpdate:
    """One team's section as the edit behind ``pointer`` wrote it.

    ``section`` is JSON, kept as it is so that instances of any release can
    pass it on; it is ``null`` if the edit removed the section.
    """

    team: str
    pointer: SectionPointer
    section: msgspec.Raw


@dataclass(frozen=True, slots=True)
class ConfigDelta:
    """What brings a holder of ``base_version`` or later to ``version``.

    A version of 0 marks an incomplete delta, whose updates are taken but
    bring the holder to no version; so does a holder of less than the base.
    """

    version: int = 0
    updates: list[SectionUpdate] = field(default_factory=list)
    zones: ZonesObject | None = None
    base_version: int = 0


@dataclass(frozen=True, slots=True)
class UnreadableSection:
    """A section that this release cannot read; the last good one stays."""

    team: str
    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class MergeOutcome:
    """What a merge changed, for events and subscribers."""

    teams: list[str] = field(default_factory=list)
    zones: list[ZoneChange] = field(default_factory=list)
    unreadable: list[UnreadableSection] = field(default_factory=list)
    older_ignored: bool = False
    advanced: bool = False

    @property
    def changed(self) -> bool:
        """Tell whether anything in force is different now."""
        return bool(self.teams or self.zones or self.advanced)


@dataclass(frozen=True, slots=True)
class _HeldSection:
    update: SectionUpdate
    section: SectionConfig | None
    fault: UnreadableSection | None = None


class ConfigState:
    """The sections and zones that an instance has in force."""

    __slots__ = ("version", "zone_states", "_held_by_team", "_monotone")

    def __init__(self, monotone: bool = True) -> None:
        self.version = 0
        self.zone_states = ZoneStates(monotone)
        self._held_by_team: dict[str, _HeldSection] = {}
        self._monotone = monotone

    @property
    def document(self) -> ConfigDocument:
        """Return the document in force."""
        section_by_team = {
            team: held.section
            for team, held in self._held_by_team.items()
            if held.section is not None
        }
        return ConfigDocument(self.version, section_by_team)

    @property
    def digest(self) -> ConfigDigest:
        """Return the versions in force."""
        return ConfigDigest(self.version, self.zone_states.zones.version)

    @property
    def unreadable(self) -> list[UnreadableSection]:
        """Return the sections whose newest version cannot be read."""
        held = self._held_by_team.values()
        return [h.fault for h in held if h.fault is not None]

    def merge(self, delta: ConfigDelta) -> MergeOutcome:
        """Take over what is newer in ``delta`` and tell what changed."""
        taken = [u for u in delta.updates if self._is_wanted(u)]
        for update in taken:
            self._held_by_team[update.team] = self._read(update)
        before = self.version
        if delta.version and self._holds_base(delta):
            self.version = self._next_version(delta.version)
        zones = [] if delta.zones is None else self._merge_zones(delta.zones)
        held = [self._held_by_team[update.team] for update in taken]
        return MergeOutcome(
            teams=[update.team for update in taken],
            zones=zones,
            unreadable=[h.fault for h in held if h.fault is not None],
            older_ignored=self._monotone and 0 < delta.version < before,
            advanced=self.version != before,
        )

    def missing(self, head: ConfigHead) -> dict[str, SectionPointer]:
        """Return the pointers of ``head`` whose sections are not held."""
        return {
            team: pointer
            for team, pointer in head.section_by_team.items()
            if self._lacks(team, pointer)
        }

    def delta_since(self, digest: ConfigDigest) -> ConfigDelta | None:
        """Return what a holder of ``digest`` lacks, or None if nothing."""
        if not self.digest.is_newer_than(digest):
            return None
        updates = [
            held.update
            for held in self._held_by_team.values()
            if held.update.pointer.version > digest.config_version
        ]
        zones = self.zone_states.zones
        if zones.version <= digest.zones_version:
            zones = None
        return ConfigDelta(self.version, updates, zones, digest.config_version)

    def section_versions(self) -> dict[str, int]:
        """Return the newest version known of each team's section."""
        return {
            team: held.update.pointer.version
            for team, held in self._held_by_team.items()
        }

    def _merge_zones(self, zones: ZonesObject) -> list[ZoneChange]:
        return self.zone_states.merge(zones)

    def _holds_base(self, delta: ConfigDelta) -> bool:
        return delta.base_version <= self.version or not self._monotone

    def _next_version(self, version: int) -> int:
        return max(self.version, version) if self._monotone else version

    def _lacks(self, team: str, pointer: SectionPointer) -> bool:
        held = self._held_by_team.get(team)
        if held is None:
            return True
        if not self._monotone:
            return held.update.pointer != pointer
        return pointer.version > held.update.pointer.version

    def _is_wanted(self, update: SectionUpdate) -> bool:
        return self._lacks(update.team, update.pointer)

    def _read(self, update: SectionUpdate) -> _HeldSection:
        if update.pointer.removed:
            return _HeldSection(update, None)
        try:
            return _HeldSection(update, decode(update.section, SectionConfig))
        except msgspec.MsgspecError as error:
            held = self._held_by_team.get(update.team)
            last_good = None if held is None else held.section
            fault = UnreadableSection(
                update.team, update.pointer.version, str(error)
            )
            return _HeldSection(update, last_good, fault)
