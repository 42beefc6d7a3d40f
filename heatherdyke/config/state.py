"""The configuration state of an instance and how deltas merge into it.

Pure: no I/O and no clock.  A section's version is the head version of the
edit that wrote it, so that versions are ordered across all sections.  For
each team the update with the higher version wins, regardless of the source
and order of updates; an older update never replaces a newer one.
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
    """The versions that are active on an instance, sent in heartbeats.

    By them two instances find out which of them lacks changes.
    """

    config_version: int = 0
    zones_version: int = 0

    def is_newer_than(self, other: "ConfigDigest") -> bool:
        """Tell whether either version is newer than in ``other``."""
        return (
            self.config_version > other.config_version
            or self.zones_version > other.zones_version
        )


@dataclass(frozen=True, slots=True)
class SectionUpdate:
    """One team's section as written by the edit in ``pointer``.

    ``section`` is undecoded JSON, so that an instance can forward sections
    of any release to its peers.  It is ``null`` if the edit removed the
    section.
    """

    team: str
    pointer: SectionPointer
    section: msgspec.Raw


@dataclass(frozen=True, slots=True)
class ConfigDelta:
    """The updates that lead from ``base_version`` or later to ``version``.

    Version 0 marks an incomplete delta: its updates are applied, but the
    receiver keeps its version.  The same holds for a receiver whose version
    is lower than ``base_version``.
    """

    version: int = 0
    updates: list[SectionUpdate] = field(default_factory=list)
    zones: ZonesObject | None = None
    base_version: int = 0


@dataclass(frozen=True, slots=True)
class UnreadableSection:
    """A section that this release cannot decode.

    The last readable version of the section stays active.
    """

    team: str
    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class MergeOutcome:
    """The changes made by a merge, for events and subscribers."""

    teams: list[str] = field(default_factory=list)
    zones: list[ZoneChange] = field(default_factory=list)
    unreadable: list[UnreadableSection] = field(default_factory=list)
    older_ignored: bool = False
    advanced: bool = False

    @property
    def changed(self) -> bool:
        """Tell whether the active configuration has changed."""
        return bool(self.teams or self.zones or self.advanced)


@dataclass(frozen=True, slots=True)
class _SectionEntry:
    update: SectionUpdate
    section: SectionConfig | None
    fault: UnreadableSection | None = None


class ConfigState:
    """The sections and zones that are active on an instance.

    Without ``monotone`` older updates are applied as well; tests use this to
    show what the rule prevents.
    """

    __slots__ = ("version", "zone_states", "_entry_by_team", "_monotone")

    def __init__(self, monotone: bool = True) -> None:
        self.version = 0
        self.zone_states = ZoneStates(monotone)
        self._entry_by_team: dict[str, _SectionEntry] = {}
        self._monotone = monotone

    @property
    def document(self) -> ConfigDocument:
        """Return the active document."""
        section_by_team = {
            team: entry.section
            for team, entry in self._entry_by_team.items()
            if entry.section is not None
        }
        return ConfigDocument(self.version, section_by_team)

    @property
    def digest(self) -> ConfigDigest:
        """Return the active versions."""
        return ConfigDigest(self.version, self.zone_states.zones.version)

    @property
    def unreadable(self) -> list[UnreadableSection]:
        """Return the sections whose newest version cannot be decoded."""
        entries = self._entry_by_team.values()
        return [e.fault for e in entries if e.fault is not None]

    def merge(self, delta: ConfigDelta) -> MergeOutcome:
        """Apply the newer updates of ``delta`` and return the changes."""
        applied = [u for u in delta.updates if self._is_newer(u)]
        for update in applied:
            self._entry_by_team[update.team] = self._decode_update(update)
        before = self.version
        if delta.version and self._has_base(delta):
            self.version = self._next_version(delta.version)
        zones = [] if delta.zones is None else self._merge_zones(delta.zones)
        entries = [self._entry_by_team[update.team] for update in applied]
        return MergeOutcome(
            teams=[update.team for update in applied],
            zones=zones,
            unreadable=[e.fault for e in entries if e.fault is not None],
            older_ignored=self._monotone and 0 < delta.version < before,
            advanced=self.version != before,
        )

    def missing(self, head: ConfigHead) -> dict[str, SectionPointer]:
        """Return the pointers in ``head`` that are newer than this state."""
        return {
            team: pointer
            for team, pointer in head.section_by_team.items()
            if self._lacks(team, pointer)
        }

    def delta_since(self, digest: ConfigDigest) -> ConfigDelta | None:
        """Return the delta from ``digest`` to this state, None if empty."""
        if not self.digest.is_newer_than(digest):
            return None
        updates = [
            entry.update
            for entry in self._entry_by_team.values()
            if entry.update.pointer.version > digest.config_version
        ]
        zones = self.zone_states.zones
        if zones.version <= digest.zones_version:
            zones = None
        return ConfigDelta(self.version, updates, zones, digest.config_version)

    def section_versions(self) -> dict[str, int]:
        """Return the newest version of each team's section.

        This includes versions that cannot be decoded and are not active.
        """
        return {
            team: entry.update.pointer.version
            for team, entry in self._entry_by_team.items()
        }

    def _merge_zones(self, zones: ZonesObject) -> list[ZoneChange]:
        return self.zone_states.merge(zones)

    def _has_base(self, delta: ConfigDelta) -> bool:
        return delta.base_version <= self.version or not self._monotone

    def _next_version(self, version: int) -> int:
        return max(self.version, version) if self._monotone else version

    def _lacks(self, team: str, pointer: SectionPointer) -> bool:
        entry = self._entry_by_team.get(team)
        if entry is None:
            return True
        if not self._monotone:
            return entry.update.pointer != pointer
        return pointer.version > entry.update.pointer.version

    def _is_newer(self, update: SectionUpdate) -> bool:
        return self._lacks(update.team, update.pointer)

    def _decode_update(self, update: SectionUpdate) -> _SectionEntry:
        if update.pointer.removed:
            return _SectionEntry(update, None)
        try:
            return _SectionEntry(update, decode(update.section, SectionConfig))
        except msgspec.MsgspecError as error:
            entry = self._entry_by_team.get(update.team)
            last_good = None if entry is None else entry.section
            fault = UnreadableSection(
                update.team, update.pointer.version, str(error)
            )
            return _SectionEntry(update, last_good, fault)
