"""An instance applies newer configuration only."""

import msgspec

from heatherdyke.codec import encode
from heatherdyke.config.model import ConfigHead
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import SectionPointer
from heatherdyke.config.state import ConfigDelta
from heatherdyke.config.state import ConfigDigest
from heatherdyke.config.state import ConfigState
from heatherdyke.config.state import SectionUpdate
from heatherdyke.config.zone_state import ZoneEntry
from heatherdyke.config.zone_state import ZonesObject
from heatherdyke.config.zone_state import ZoneStates
from heatherdyke.config.zone_state import ZoneStatus
from heatherdyke.config.zone_state import change_zone
from heatherdyke.config.zone_state import has_edit


def update(team, version, reader="", text=None):
    section = SectionConfig(team, readers=[reader] if reader else [])
    pointer = SectionPointer(version, f"o/{team}/{version}", f"e{version}")
    return SectionUpdate(team, pointer, msgspec.Raw(text or encode(section)))


class TestConfigState:
    def test_older_sections_and_heads_are_ignored(self):
        state = ConfigState()
        state.merge(ConfigDelta(5, [update("a", 5, "new")]))
        outcome = state.merge(ConfigDelta(3, [update("a", 3, "old")]))
        assert outcome.older_ignored and not outcome.changed
        assert state.document.version == 5
        assert state.document.section_by_team["a"].readers == ["new"]

    def test_older_sections_are_applied_if_not_monotone(self):
        state = ConfigState(monotone=False)
        state.merge(ConfigDelta(5, [update("a", 5, "new")]))
        state.merge(ConfigDelta(3, [update("a", 3, "old")]))
        assert state.document.section_by_team["a"].readers == ["old"]

    def test_order_of_merges_does_not_matter(self):
        deltas = [
            ConfigDelta(1, [update("a", 1)]),
            ConfigDelta(2, [update("b", 2)]),
            ConfigDelta(3, [update("a", 3, "x")]),
        ]
        forward, backward = ConfigState(), ConfigState()
        for delta in deltas:
            forward.merge(delta)
        for delta in reversed(deltas):
            backward.merge(delta)
        assert forward.document == backward.document

    def test_last_good_section_stays_if_a_newer_one_is_unreadable(self):
        state = ConfigState()
        state.merge(ConfigDelta(1, [update("a", 1, "good")]))
        outcome = state.merge(
            ConfigDelta(2, [update("a", 2, text=b'{"team": 7}')])
        )
        assert [f.version for f in outcome.unreadable] == [2]
        assert state.document.section_by_team["a"].readers == ["good"]
        forwarded = state.delta_since(ConfigDigest(1, 0))
        assert bytes(forwarded.updates[0].section) == b'{"team": 7}'

    def test_delta_contains_only_newer_sections(self):
        state = ConfigState()
        state.merge(ConfigDelta(2, [update("a", 1), update("b", 2)]))
        delta = state.delta_since(ConfigDigest(1, 0))
        assert [u.team for u in delta.updates] == ["b"]
        assert state.delta_since(ConfigDigest(2, 0)) is None

    def test_removed_section_stays_removed(self):
        state = ConfigState()
        state.merge(ConfigDelta(1, [update("a", 1)]))
        removed = SectionUpdate(
            "a", SectionPointer(2, "", "e2"), msgspec.Raw(b"null")
        )
        state.merge(ConfigDelta(2, [removed]))
        state.merge(ConfigDelta(1, [update("a", 1)]))
        assert state.document.section_by_team == {}

    def test_incomplete_delta_does_not_advance_the_version(self):
        state = ConfigState()
        state.merge(ConfigDelta(0, [update("a", 4)]))
        assert state.digest.config_version == 0
        head = ConfigHead(4, {"a": update("a", 4).pointer})
        assert state.missing(head) == {}


class TestZoneStates:
    def entry(self, state, edit):
        return ZoneEntry(state, 0, edit)

    def test_higher_order_wins_in_any_sequence(self):
        out = change_zone(ZonesObject(), "z", self.entry(ZoneStatus.OUT, "e1"))
        back = change_zone(out, "z", self.entry(ZoneStatus.IN, "e2"))
        states = ZoneStates()
        states.merge(back)
        states.merge(out)
        assert not states.is_out("z")
        assert has_edit(back, "z", "e1") and has_edit(back, "z", "e2")

    def test_zone_without_entry_is_in(self):
        states = ZoneStates()
        states.merge(
            change_zone(ZonesObject(), "z", self.entry(ZoneStatus.OUT, "e"))
        )
        assert states.out_zones() == ["z"]
        assert not states.is_out("other")
