"""What is believed of leafs, and which one is asked, without network."""

from gateway_entries import entry

from heatherdyke.gateway.attempt_sender import record_outcome
from heatherdyke.gateway.leaf_choice import choose_leaf
from heatherdyke.gateway.leaf_table import SLOWNESS_HALF_LIFE_S
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.timing import Pace

USUAL_S = 0.02


class TestLeafTable:
    def test_a_restart_under_the_same_id_is_another_leaf(self):
        table = LeafTable()
        table.apply(entry("x", born_ms=5, sequence=9), 0.0)
        old = table.leaf_by_id["x"]
        dropped = table.apply(entry("x", born_ms=6, sequence=1), 1.0)
        assert dropped is old
        assert table.leaf_by_id["x"] is not old

    def test_a_late_report_does_not_undo_draining(self):
        table = LeafTable()
        table.apply(entry("x", born_ms=5, sequence=9, draining=True), 0.0)
        table.apply(entry("x", born_ms=5, sequence=8), 1.0)
        assert not table.leaf_by_id["x"].is_usable(1.0)

    def test_a_later_report_ends_the_cold_time(self):
        table = LeafTable()
        table.apply(entry("x", born_ms=5, sequence=1, cold_s=3.0), 0.0)
        assert table.leaf_by_id["x"].is_cold(1.0)
        table.apply(entry("x", born_ms=5, sequence=2), 1.0)
        assert not table.leaf_by_id["x"].is_cold(1.0)

    def test_leafs_of_a_zone_that_returns_are_cold(self):
        table = LeafTable()
        table.apply(entry("x", zone="z"), 0.0)
        table.set_zones_out(frozenset(("z",)), 0.0, 3.0)
        table.set_zones_out(frozenset(), 10.0, 3.0)
        assert table.leaf_by_id["x"].is_cold(12.9)
        assert not table.leaf_by_id["x"].is_cold(13.5)

    def test_an_entry_that_lapsed_in_an_outage_may_come_back(self):
        table = LeafTable()
        table.apply(entry("x"), 0.0)
        table.replace([], 10.0, may_be_back=True)
        assert table.expire(12.0) == []
        table.apply(entry("x"), 12.1)
        assert table.expire(20.0) == []

    def test_an_entry_that_does_not_come_back_is_gone(self):
        table = LeafTable()
        table.apply(entry("x"), 0.0)
        table.replace([], 10.0, may_be_back=True)
        assert [leaf.leaf_id for leaf in table.expire(12.6)] == ["x"]
        assert table.of_service("s") == []

    def test_a_leaf_that_went_dark_waits_for_a_health_check(self):
        table = LeafTable()
        table.apply(entry("x"), 0.0)
        leaf = table.leaf_by_id["x"]
        assert leaf.is_silent(sent_at=1.0, now=1.5)
        leaf.hear_unreachable(1.5)
        assert not leaf.is_usable(100.0)
        leaf.verify(100.0, cold_s=0.0)
        assert leaf.is_usable(100.0)


class TestChooseLeaf:
    """Leafs that pause in turn, are slow, fail, or lie across a zone."""

    def leafs(self, *zones: str):
        table = LeafTable()
        for number, zone in enumerate(zones):
            table.apply(entry(f"x{number}", zone=zone), 0.0)
        return table.of_service("s")

    def test_the_own_zone_is_taken_while_leafs_are_alike(self):
        far, near = self.leafs("b", "a")
        assert choose_leaf([far, near], (), "a", USUAL_S, 1.0) is near

    def test_a_paused_leaf_is_left_alone(self):
        near, far = self.leafs("a", "b")
        near.start(1, now=1.0)
        assert choose_leaf([near, far], (), "a", USUAL_S, 1.2) is far

    def test_a_slow_leaf_is_left_alone_and_asked_again_later(self):
        near, far = self.leafs("a", "b")
        for step in range(10):
            near.hear_answer(1.0 + step / 10, 10 * USUAL_S, USUAL_S)
        assert choose_leaf([near, far], (), "a", USUAL_S, 2.0) is far
        later = 2.0 + 4 * SLOWNESS_HALF_LIFE_S
        assert choose_leaf([near, far], (), "a", USUAL_S, later) is near

    def test_a_leaf_that_fails_while_its_health_is_good_is_left_alone(self):
        near, far = self.leafs("a", "b")
        for step in range(4):
            near.hear_failure(1.0 + step / 10)
        assert choose_leaf([near, far], (), "a", USUAL_S, 1.5) is far

    def test_a_slow_leaf_that_is_seen_seldom_stays_known(self):
        """Many instances, each asking a leaf once in some seconds."""
        slow, usual = self.leafs("a", "a")
        for at in (1.0, 1.5):
            slow.hear_answer(at, 8 * USUAL_S, USUAL_S)
        usual.hear_answer(1.5, USUAL_S, USUAL_S)
        for at in (3.0, 6.0, 9.0):
            assert choose_leaf([slow, usual], [], "a", USUAL_S, at) is usual

    def test_a_leaf_that_was_slow_long_ago_is_asked_again(self):
        slow, usual = self.leafs("a", "a")
        slow.hear_answer(1.0, 8 * USUAL_S, USUAL_S)
        for number in range(6):
            usual.start(number, 60.0)
        assert choose_leaf([slow, usual], [], "a", USUAL_S, 60.0) is slow

    def test_a_tried_leaf_is_not_tried_again(self):
        near, far = self.leafs("a", "b")
        assert choose_leaf([near, far], [near], "a", USUAL_S, 1.0) is far
        assert choose_leaf([near], [near], "a", USUAL_S, 1.0) is None


class TestAnotherAtItsAddress:
    """A leaf is gone and its address belongs to another one."""

    def test_it_is_left_alone_until_its_entry_changes(self):
        table = LeafTable()
        table.apply(entry("x", born_ms=5, sequence=1), 0.0)
        leaf = table.leaf_by_id["x"]
        rejected = AttemptOutcome(LeafResponse(421, [], b"", not_run=True))
        record_outcome(leaf, Pace.from_objective(0.1), None, rejected, 1.0)
        assert not leaf.is_usable(60.0)
        table.apply(entry("x", born_ms=5, sequence=2), 61.0)
        assert leaf.is_usable(61.0)


class TestFlappingLeaf:
    """A leaf that goes down and up by turns, with many callers."""

    def test_it_is_left_alone_for_longer_each_time(self):
        table = LeafTable()
        table.apply(entry("x"), 0.0)
        leaf = table.leaf_by_id["x"]
        now = 0.0
        pauses = []
        for _ in range(5):
            leaf.hear_unreachable(now)
            pauses.append(leaf.suspect_until - now)
            now = leaf.suspect_until
            leaf.verify(now, 0.0)
        assert pauses == sorted(pauses)
        assert pauses[-1] >= 4 * pauses[0]

    def test_an_answer_ends_its_bad_name(self):
        table = LeafTable()
        table.apply(entry("x"), 0.0)
        leaf = table.leaf_by_id["x"]
        for at in (0.0, 1.0, 2.0):
            leaf.hear_unreachable(at)
        leaf.verify(5.0, 0.0)
        leaf.hear_answer(5.1, USUAL_S, USUAL_S)
        leaf.hear_unreachable(6.0)
        assert leaf.suspect_until - 6.0 <= 0.25

    def test_good_health_does_not_make_up_for_failures(self):
        """Its health check says well while it fails what it is sent."""
        table = LeafTable()
        for name in ("liar", "honest"):
            table.apply(entry(name), 0.0)
        liar = table.leaf_by_id["liar"]
        honest = table.leaf_by_id["honest"]
        for step in range(4):
            liar.hear_failure(1.0 + step / 10)
            liar.verify(1.05 + step / 10, 0.0)
        assert choose_leaf([liar, honest], [], "a", USUAL_S, 1.5) is honest
