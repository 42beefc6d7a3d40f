"""What instances know of the store's latest changes, without a network."""

from collections import Counter
from dataclasses import replace

import msgspec
import pytest
from gateway_entries import BOUNDS

from heatherdyke.gateway.freshness import CheckTiming
from heatherdyke.gateway.freshness import KindFreshness
from heatherdyke.gateway.freshness import StoreFreshness
from heatherdyke.gateway.freshness import UnchangedRange
from heatherdyke.gateway.freshness import instance_to_ask
from heatherdyke.gateway.freshness import last_change
from heatherdyke.gateway.freshness import next_revision
from heatherdyke.platform.store_pages import Change
from heatherdyke.platform.store_pages import StoredObject

INSTANCES = [f"front-{number}" for number in range(1100)]
# What an instance needs to read changes and to apply them.
READ_S = 0.3


def change(revision: int, deleted: bool = False) -> Change:
    return Change(StoredObject("x", msgspec.Raw(b"{}"), revision), deleted)


def asked(name: str, failed: dict[str, float], now: float = 0.0) -> str | None:
    return instance_to_ask(name, INSTANCES, failed, now)


class TestUnchangedRange:
    def test_continues_an_earlier_one(self):
        joined = UnchangedRange(5, 9).joined(UnchangedRange(9, 12))
        assert joined == UnchangedRange(5, 12)

    def test_starts_anew_at_a_later_change(self):
        assert UnchangedRange(5, 9).joined(UnchangedRange(11, 12)).after == 11

    # Guards against a gap between two reads in which a change is overlooked.
    def test_starts_anew_after_a_gap(self):
        assert UnchangedRange(5, 9).joined(UnchangedRange(10, 12)).after == 10


class TestLastChange:
    def test_is_the_latest_of_the_changes(self):
        assert last_change([change(6), change(8, deleted=True)], 5) == 8

    def test_is_the_start_without_changes(self):
        assert last_change([], 5) == 5

    # Guards against a removal that is overlooked, as it states the revision
    # of the change before it.
    @pytest.mark.parametrize("before", [[], [change(6)]], ids=["old", "new"])
    def test_is_unknown_after_a_deletion_without_its_own(self, before):
        revision = 6 if before else 3
        changes = [*before, change(revision, deleted=True)]
        assert last_change(changes, 5) is None

    def test_is_unknown_after_a_change_without_revision(self):
        assert last_change([change(0)], 5) is None


class TestNextRevision:
    def test_follows_the_changes_of_a_response(self):
        assert next_revision(8, stated=12, applied=8, unknown_s=0.0) == 8

    def test_passes_revisions_without_changes_of_the_kind(self):
        assert next_revision(8, stated=12, applied=10, unknown_s=0.0) == 10

    # Guards against a watch from a revision that an old copy does not have.
    def test_does_not_pass_what_the_response_states(self):
        assert next_revision(8, stated=9, applied=20, unknown_s=0.0) == 9

    # Guards against a watch whose history is gone, while the store refuses
    # up-to-date reads only.
    def test_follows_the_statement_if_nothing_else_is_known(self):
        assert next_revision(8, stated=12, applied=8, unknown_s=11.0) == 12


class TestKindFreshness:
    def test_a_state_without_later_changes_is_complete(self):
        kind = KindFreshness()
        kind.apply_stale(7)
        kind.learn(UnchangedRange(7, 30), as_of=2.0)
        assert not kind.is_behind
        assert kind.complete_at == 2.0

    def test_a_change_that_was_not_applied_is_noticed(self):
        kind = KindFreshness()
        kind.apply_stale(7)
        kind.learn(UnchangedRange(8, 30), as_of=2.0)
        assert kind.is_behind
        assert kind.complete_at == float("-inf")

    def test_a_change_that_arrives_completes_the_state(self):
        kind = KindFreshness()
        kind.apply_stale(7)
        kind.learn(UnchangedRange(8, 30), as_of=2.0)
        kind.apply_stale(8)
        assert not kind.is_behind
        assert kind.complete_at == 2.0

    def test_an_older_report_changes_nothing(self):
        kind = KindFreshness()
        kind.apply_current(30, as_of=2.0)
        kind.learn(UnchangedRange(8, 20), as_of=1.0)
        assert kind.unchanged == UnchangedRange(30, 30)
        assert kind.complete_at == 2.0

    # Guards against a fleet that reads all anew when its reader changes.
    def test_a_new_reader_continues_what_the_last_one_knew(self):
        reader, other = KindFreshness(), KindFreshness()
        for kind in (reader, other):
            kind.apply_stale(7)
            kind.learn(UnchangedRange(7, 30), as_of=2.0)
        reader.learn(UnchangedRange(30, 40), as_of=3.0)
        other.learn(reader.unchanged, as_of=3.0)
        assert not other.is_behind

    # Guards against a change that is forgotten, as a read that began before it
    # ends after the check that showed it.
    def test_a_slower_read_does_not_hide_a_later_change(self):
        kind = KindFreshness()
        kind.apply_current(20, as_of=1.0)
        kind.learn(UnchangedRange(31, 31), as_of=2.1)
        kind.apply_current(30, as_of=2.0)
        assert kind.is_behind

    def test_a_store_that_was_restored_has_lower_revisions(self):
        kind = KindFreshness()
        kind.apply_current(30, as_of=2.0)
        kind.apply_current(12, as_of=4.0)
        kind.learn(UnchangedRange(13, 14), as_of=5.0)
        assert kind.is_behind

    # Guards against an instance whose clock stood while it was suspended, and
    # that tells others old revisions as the latest ones.
    def test_ages_are_unknown_after_a_pause(self):
        freshness = StoreFreshness(("a",))
        freshness.by_kind["a"].apply_current(5, as_of=2.0)
        freshness.forget_ages()
        assert freshness.known_at == float("-inf")
        assert freshness.complete_at == float("-inf")
        freshness.by_kind["a"].learn(UnchangedRange(5, 6), as_of=3.0)
        assert freshness.complete_at == 3.0

    def test_the_kind_that_is_known_least_counts(self):
        freshness = StoreFreshness(("a", "b"))
        freshness.by_kind["a"].apply_current(5, as_of=2.0)
        freshness.by_kind["b"].apply_current(5, as_of=1.0)
        assert freshness.complete_at == 1.0


class TestInstanceToAsk:
    def test_one_instance_reads_the_store(self):
        readers = [name for name in INSTANCES if asked(name, {}) is None]
        assert len(readers) == 1

    def test_few_ask_the_same_one_through_few_others(self):
        asked_by_name = {name: asked(name, {}) for name in INSTANCES}
        counts = Counter(asked_by_name.values())
        assert max(counts.values()) <= 16
        for name in INSTANCES:
            steps = 0
            while (name := asked_by_name[name]) is not None:
                steps += 1
            assert steps <= 3

    # Guards against instances that wait for each other as they take different
    # ones for failed.
    def test_none_asks_in_a_circle(self):
        failed_by_name = {
            name: {other: 10.0 for other in INSTANCES[number % 7 :: 7]}
            for number, name in enumerate(INSTANCES)
        }
        for name in INSTANCES:
            seen = set()
            while name is not None:
                assert name not in seen
                seen.add(name)
                name = asked(name, failed_by_name[name])

    def test_one_that_failed_is_asked_again_later(self):
        name = next(name for name in INSTANCES if asked(name, {}))
        first = asked(name, {})
        assert asked(name, {first: 10.0}, now=9.0) != first
        assert asked(name, {first: 10.0}, now=10.0) == first


class TestCheckTiming:
    # Guards against checks that find a change after it is due.
    @pytest.mark.parametrize("due_s", [3.0, 5.0, 6.0])
    def test_leaves_time_to_read_a_change(self, due_s):
        bounds = replace(BOUNDS, drain_s=due_s, config_s=due_s)
        timing = CheckTiming.from_bounds(bounds)
        longest_s = (
            timing.max_age_s
            + timing.ask_timeout_s
            + timing.interval_s
            + timing.ask_timeout_s
            + timing.arrival_s
        )
        assert longest_s <= due_s - READ_S

    def test_keeps_the_shorter_bound(self):
        shorter = replace(BOUNDS, drain_s=2.0)
        assert CheckTiming.from_bounds(shorter).interval_s < (
            CheckTiming.from_bounds(BOUNDS).interval_s
        )
