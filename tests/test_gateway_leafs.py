"""Leaf state and the choice of a leaf, without network."""

from gateway_entries import entry

from heatherdyke.gateway.attempt_sender import record_outcome
from heatherdyke.gateway.leaf_choice import choose_leaf
from heatherdyke.gateway.leaf_table import SLOWNESS_HALF_LIFE_S
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.leaf_table import Removal
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.timing import LatencyEstimate

MEDIAN_S = 0.02


class TestLeafTable:
    def test_new_incarnation_replaces_the_leaf(self):
        table = LeafTable()
        table.apply(entry("x", born_ms=5, sequence=9), 0.0)
        old = table.leaf_by_id["x"]
        dropped = table.apply(entry("x", born_ms=6, sequence=1), 1.0)
        assert dropped is old
        assert table.leaf_by_id["x"] is not old

    def test_delayed_entry_does_not_undo_draining(self):
        table = LeafTable()
        table.apply(entry("x", born_ms=5, sequence=9, draining=True), 0.0)
        table.apply(entry("x", born_ms=5, sequence=8), 1.0)
        assert not table.leaf_by_id["x"].is_usable(1.0)

    def test_later_entry_ends_the_cold_time(self):
        table = LeafTable()
        table.apply(entry("x", born_ms=5, sequence=1, cold_s=3.0), 0.0)
        assert table.leaf_by_id["x"].is_cold(1.0)
        table.apply(entry("x", born_ms=5, sequence=2), 1.0)
        assert not table.leaf_by_id["x"].is_cold(1.0)

    def test_leafs_of_a_returning_zone_are_cold(self):
        table = LeafTable()
        table.apply(entry("x", zone="z"), 0.0)
        table.set_zones_out(frozenset(("z",)), 0.0, 3.0)
        table.set_zones_out(frozenset(), 10.0, 3.0)
        assert table.leaf_by_id["x"].is_cold(12.9)
        assert not table.leaf_by_id["x"].is_cold(13.5)

    def test_leaf_is_kept_if_its_entry_reappears_after_an_outage(self):
        table = LeafTable()
        table.apply(entry("x"), 0.0)
        table.replace([], 10.0, Removal.AFTER_OUTAGE)
        assert table.expire(12.0) == []
        table.apply(entry("x"), 12.1)
        assert table.expire(20.0) == []

    def test_leaf_is_dropped_if_its_entry_does_not_reappear(self):
        table = LeafTable()
        table.apply(entry("x"), 0.0)
        table.replace([], 10.0, Removal.AFTER_OUTAGE)
        assert [leaf.leaf_id for leaf in table.expire(12.6)] == ["x"]
        assert table.of_service("s") == []

    def test_silent_leaf_is_unusable_until_a_health_check(self):
        table = LeafTable()
        table.apply(entry("x"), 0.0)
        leaf = table.leaf_by_id["x"]
        assert leaf.is_silent(sent_at=1.0, now=1.5)
        leaf.record_unreachable(1.5)
        assert not leaf.is_usable(100.0)
        leaf.verify(100.0, cold_s=0.0)
        assert leaf.is_usable(100.0)


class TestChooseLeaf:
    """Leafs that pause in turn, are slow, fail, or are in another zone."""

    def leafs(self, *zones: str):
        table = LeafTable()
        for number, zone in enumerate(zones):
            table.apply(entry(f"x{number}", zone=zone), 0.0)
        return table.of_service("s")

    def test_own_zone_is_preferred_among_equal_leafs(self):
        far, near = self.leafs("b", "a")
        assert choose_leaf([far, near], (), "a", MEDIAN_S, 1.0) is near

    def test_stalled_leaf_is_avoided(self):
        near, far = self.leafs("a", "b")
        near.start(1, now=1.0)
        assert choose_leaf([near, far], (), "a", MEDIAN_S, 1.2) is far

    def test_slow_leaf_is_avoided_and_retried_later(self):
        near, far = self.leafs("a", "b")
        for step in range(10):
            near.record_response(1.0 + step / 10, 10 * MEDIAN_S, MEDIAN_S)
        assert choose_leaf([near, far], (), "a", MEDIAN_S, 2.0) is far
        later = 2.0 + 4 * SLOWNESS_HALF_LIFE_S
        assert choose_leaf([near, far], (), "a", MEDIAN_S, later) is near

    def test_failing_leaf_is_avoided(self):
        near, far = self.leafs("a", "b")
        for step in range(4):
            near.record_failure(1.0 + step / 10)
        assert choose_leaf([near, far], (), "a", MEDIAN_S, 1.5) is far

    def test_slowness_is_remembered_between_rare_requests(self):
        """Many instances, each sending to a leaf once every few seconds."""
        slow, healthy = self.leafs("a", "a")
        for at in (1.0, 1.5):
            slow.record_response(at, 8 * MEDIAN_S, MEDIAN_S)
        healthy.record_response(1.5, MEDIAN_S, MEDIAN_S)
        for at in (3.0, 6.0, 9.0):
            assert (
                choose_leaf([slow, healthy], [], "a", MEDIAN_S, at) is healthy
            )

    def test_slowness_of_long_ago_no_longer_counts(self):
        slow, healthy = self.leafs("a", "a")
        slow.record_response(1.0, 8 * MEDIAN_S, MEDIAN_S)
        for number in range(6):
            healthy.start(number, 60.0)
        assert choose_leaf([slow, healthy], [], "a", MEDIAN_S, 60.0) is slow

    def test_tried_leaf_is_not_chosen_again(self):
        near, far = self.leafs("a", "b")
        assert choose_leaf([near, far], [near], "a", MEDIAN_S, 1.0) is far
        assert choose_leaf([near], [near], "a", MEDIAN_S, 1.0) is None


class TestMisdirectedLeaf:
    """A leaf has ended and another leaf has its address."""

    def test_is_unusable_until_its_entry_changes(self):
        table = LeafTable()
        table.apply(entry("x", born_ms=5, sequence=1), 0.0)
        leaf = table.leaf_by_id["x"]
        rejected = AttemptOutcome(LeafResponse(421, [], b"", not_run=True))
        record_outcome(
            leaf, LatencyEstimate.from_objective(0.1), None, rejected, 1.0
        )
        assert not leaf.is_usable(60.0)
        table.apply(entry("x", born_ms=5, sequence=2), 61.0)
        assert leaf.is_usable(61.0)


class TestFlappingLeaf:
    """A leaf that repeatedly goes down and up, with many clients."""

    def test_back_off_grows_each_time(self):
        table = LeafTable()
        table.apply(entry("x"), 0.0)
        leaf = table.leaf_by_id["x"]
        now = 0.0
        pauses = []
        for _ in range(5):
            leaf.record_unreachable(now)
            pauses.append(leaf.suspect_until - now)
            now = leaf.suspect_until
            leaf.verify(now, 0.0)
        assert pauses == sorted(pauses)
        assert pauses[-1] >= 4 * pauses[0]

    def test_response_resets_the_back_off(self):
        table = LeafTable()
        table.apply(entry("x"), 0.0)
        leaf = table.leaf_by_id["x"]
        for at in (0.0, 1.0, 2.0):
            leaf.record_unreachable(at)
        leaf.verify(5.0, 0.0)
        leaf.record_response(5.1, MEDIAN_S, MEDIAN_S)
        leaf.record_unreachable(6.0)
        assert leaf.suspect_until - 6.0 <= 0.25

    def test_passed_health_checks_do_not_offset_failures(self):
        """The leaf passes health checks but fails the requests sent to it."""
        table = LeafTable()
        for name in ("failing", "healthy"):
            table.apply(entry(name), 0.0)
        failing = table.leaf_by_id["failing"]
        healthy = table.leaf_by_id["healthy"]
        for step in range(4):
            failing.record_failure(1.0 + step / 10)
            failing.verify(1.05 + step / 10, 0.0)
        assert (
            choose_leaf([failing, healthy], [], "a", MEDIAN_S, 1.5) is healthy
        )
