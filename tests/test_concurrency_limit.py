"""The concurrency limit of a leaf follows its server's capacity."""

import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from heatherdyke.leaves.concurrency_limit import MAX_WARM_UP_ANSWERS
from heatherdyke.leaves.concurrency_limit import SHED_PAUSE_S
from heatherdyke.leaves.concurrency_limit import SUCCESSES_PER_STEP
from heatherdyke.leaves.concurrency_limit import ConcurrencyLimit

SLOTS = 4
COLD_SLOTS = 1
COLD_SEARCHES = 20
WARM_LATENCY_S = 0.002
COLD_LATENCY_S = 0.010
MACHINE = settings(
    derandomize=True, max_examples=60, stateful_step_count=60, database=None
)


def warm(limit: ConcurrencyLimit, incarnation: str = "a") -> None:
    while limit.level < limit.slots:
        limit.record_answer(incarnation, WARM_LATENCY_S, WARM_LATENCY_S)


class TestLeafLimit:
    def test_starts_at_the_cold_slots(self):
        assert ConcurrencyLimit(SLOTS, COLD_SLOTS).allowed(0.0) == COLD_SLOTS

    def test_grows_by_successful_searches_and_not_by_time(self):
        limit = ConcurrencyLimit(SLOTS, COLD_SLOTS)
        assert limit.allowed(1e6) == COLD_SLOTS
        for _ in range(SUCCESSES_PER_STEP):
            limit.record_answer("a", WARM_LATENCY_S, WARM_LATENCY_S)
        assert limit.allowed(1e6) == COLD_SLOTS + 1

    def test_slow_answers_do_not_raise_the_limit(self):
        limit = ConcurrencyLimit(SLOTS, COLD_SLOTS)
        for _ in range(MAX_WARM_UP_ANSWERS):
            limit.record_answer("a", COLD_LATENCY_S, WARM_LATENCY_S)
        assert limit.allowed(0.0) == COLD_SLOTS

    def test_latency_of_a_leaf_that_stays_slow_becomes_representative(self):
        limit = ConcurrencyLimit(SLOTS, COLD_SLOTS)
        for _ in range(MAX_WARM_UP_ANSWERS):
            limit.record_answer("a", COLD_LATENCY_S, WARM_LATENCY_S)
        assert limit.record_answer("a", COLD_LATENCY_S, WARM_LATENCY_S)

    def test_a_new_incarnation_is_cold(self):
        limit = ConcurrencyLimit(SLOTS, COLD_SLOTS)
        warm(limit)
        limit.record_answer("b", WARM_LATENCY_S, WARM_LATENCY_S)
        assert limit.allowed(0.0) == COLD_SLOTS

    def test_turns_cold_when_all_answers_are_slow(self):
        limit = ConcurrencyLimit(SLOTS, COLD_SLOTS)
        warm(limit)
        for _ in range(10):
            limit.record_answer("a", COLD_LATENCY_S, WARM_LATENCY_S)
        assert limit.allowed(0.0) == COLD_SLOTS

    def test_a_restored_level_applies_once_the_incarnation_is_confirmed(self):
        limit = ConcurrencyLimit(SLOTS, COLD_SLOTS)
        limit.restore(SLOTS, "a")
        assert limit.allowed(0.0) == COLD_SLOTS
        limit.record_answer("a", WARM_LATENCY_S, WARM_LATENCY_S)
        assert limit.allowed(0.0) == SLOTS

    def test_a_restored_level_is_dropped_for_a_new_incarnation(self):
        limit = ConcurrencyLimit(SLOTS, COLD_SLOTS)
        limit.restore(SLOTS, "a")
        limit.record_answer("b", WARM_LATENCY_S, WARM_LATENCY_S)
        assert limit.allowed(0.0) == COLD_SLOTS

    def test_a_shed_halves_the_limit_and_doubles_the_pause(self):
        limit = ConcurrencyLimit(SLOTS, COLD_SLOTS)
        warm(limit)
        limit.record_shed(0.0, "a", 0.0)
        assert limit.allowed(0.0) == 0
        assert limit.allowed(SHED_PAUSE_S) == SLOTS // 2
        limit.record_shed(1.0, "a", 0.0)
        assert limit.paused_until(1.0) == pytest.approx(1 + 2 * SHED_PAUSE_S)


class ColdServer(RuleBasedStateMachine):
    """A home sends to a server that restarts and warms up with work."""

    ramp = True

    def __init__(self):
        super().__init__()
        self.limit = ConcurrencyLimit(
            SLOTS, COLD_SLOTS, COLD_SEARCHES, self.ramp
        )
        self.incarnation = 1
        self.done = 0
        self.running = 0
        self.cold_excess = 0

    def is_cold(self):
        return self.done < COLD_SEARCHES

    @precondition(lambda self: self.running < self.limit.allowed(1e9))
    @rule()
    def send(self):
        self.running += 1
        if self.is_cold() and self.running > COLD_SLOTS:
            self.cold_excess += 1

    @precondition(lambda self: self.running)
    @rule()
    def answer(self):
        took_s = COLD_LATENCY_S if self.is_cold() else WARM_LATENCY_S
        self.running -= 1
        self.done += 1
        self.limit.record_answer(str(self.incarnation), took_s, WARM_LATENCY_S)

    @rule()
    def answer_many(self):
        for _ in range(SUCCESSES_PER_STEP):
            if self.running < self.limit.allowed(1e9):
                self.send()
            self.answer()

    @precondition(lambda self: self.done > COLD_SEARCHES)
    @rule()
    def restart(self):
        self.incarnation += 1
        self.done = 0
        self.running = 0
        self.limit.reset_to_cold()

    @invariant()
    def never_exceeds_the_cold_slots(self):
        assert self.cold_excess == 0


class UnlimitedColdServer(ColdServer):
    ramp = False


class TestColdServer:
    def test_gets_no_more_than_its_cold_slots(self):
        run_state_machine_as_test(ColdServer, settings=MACHINE)

    def test_gets_more_without_the_ramp(self):
        with pytest.raises(AssertionError):
            run_state_machine_as_test(UnlimitedColdServer, settings=MACHINE)
