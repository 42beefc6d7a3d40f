"""Fleet-wide limits hold in any order of events.

A state machine drives the real decision code of several instances that
restart without their counts, join, read the list of instances late, and
pause.  It records the time of every send and checks the limits on all
instances together.  With a guard removed it must find a violation, which
shows that it can.

Assumptions, as on the design page: an instance restarts at most once in a
window, a restart takes at least RESTART_S, and at most one instance in four
joins in a window.
"""

import pytest
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from heatherdyke.gateway.cold_rate_limit import ColdRateLimiter
from heatherdyke.gateway.cold_rate_limit import cold_allowance
from heatherdyke.gateway.connection_share import owner_of
from heatherdyke.gateway.retry_budget import RetryBudget

SHARE = 0.2
SLACK = 24.0
WINDOW_S = 10.0
COLD_BOUND = 5.0
RESTART_S = 0.35
INITIAL_NAMES = ["a", "b", "c", "d"]
JOINS_IN_WINDOW = 1

picks = st.integers(0, 9)


class Instance:
    """The decision code of one process; a restart creates a new one."""

    def __init__(
        self, name: str, view: list[str], known: bool, now: float
    ) -> None:
        self.name = name
        self.view = view
        self.known = known
        self.cold = ColdRateLimiter(now)
        self.budget = RetryBudget(SHARE, SLACK, WINDOW_S)
        self.budget.set_instances(len(view))


class LimitsMachine(RuleBasedStateMachine):
    """Instances that serve, restart, join and lag; records all sends."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.names = list(INITIAL_NAMES)
        self.instance_by_name = {
            name: Instance(name, list(INITIAL_NAMES), True, 0.0)
            for name in INITIAL_NAMES
        }
        self.restarted_at_by_name: dict[str, float] = {}
        self.joined_at: list[float] = []
        self.requests: list[float] = []
        self.extras: list[float] = []
        self.cold_sends: list[float] = []

    # Guards, which subclasses remove.

    def divide_slack(self, instance: Instance) -> None:
        instance.budget.set_instances(len(instance.view))

    def may_be_owner(self, instance: Instance) -> bool:
        return owner_of("leaf", instance.view) == instance.name

    def knows_instances(self, instance: Instance) -> bool:
        return instance.known

    def adjust_new_process(self, instance: Instance) -> None:
        """Modify a new process; subclasses override it."""

    # Events.

    def pick(self, number: int) -> Instance:
        name = self.names[number % len(self.names)]
        return self.instance_by_name[name]

    @rule(seconds=st.floats(0.01, 4.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(number=picks, count=st.integers(1, 12))
    def serve(self, number: int, count: int) -> None:
        for _ in range(count):
            self.pick(number).budget.count_request("s", self.now)
            self.requests.append(self.now)

    @rule(number=picks, count=st.integers(1, 30))
    def hedge(self, number: int, count: int) -> None:
        instance = self.pick(number)
        for _ in range(count):
            if instance.budget.try_acquire("s", self.now):
                self.extras.append(self.now)

    @rule(count=st.integers(1, 30))
    def all_hedge_together(self, count: int) -> None:
        for number in range(len(self.names)):
            self.hedge(number, count)

    @rule(number=picks, count=st.integers(1, 8))
    def send_to_a_cold_leaf(self, number: int, count: int) -> None:
        instance = self.pick(number)
        allowance = cold_allowance(
            COLD_BOUND,
            len(instance.view),
            self.may_be_owner(instance),
            self.knows_instances(instance),
        )
        for _ in range(count):
            if instance.cold.try_acquire("leaf", allowance, self.now):
                self.cold_sends.append(self.now)

    @rule(count=st.integers(1, 8))
    def all_send_to_a_cold_leaf(self, count: int) -> None:
        for number in range(len(self.names)):
            self.send_to_a_cold_leaf(number, count)

    @rule(number=picks)
    def restart(self, number: int) -> None:
        name = self.pick(number).name
        last_at = self.restarted_at_by_name.get(name, 0.0)
        if self.now - last_at <= WINDOW_S + 1.0:
            return
        self.now += RESTART_S
        self.restarted_at_by_name[name] = self.now
        instance = Instance(name, [], False, self.now)
        self.instance_by_name[name] = instance
        self.adjust_new_process(instance)

    @precondition(lambda self: len(self.names) < 8)
    @rule()
    def join(self) -> None:
        recent = [at for at in self.joined_at if self.now - at <= WINDOW_S]
        if len(recent) >= JOINS_IN_WINDOW:
            return
        self.joined_at.append(self.now)
        name = f"n{len(self.names)}"
        self.names.append(name)
        instance = Instance(name, [], False, self.now)
        self.instance_by_name[name] = instance
        self.adjust_new_process(instance)

    @rule(number=picks)
    def read_list(self, number: int) -> None:
        """Read the current list; before, the view is empty or outdated."""
        instance = self.pick(number)
        instance.view = list(self.names)
        instance.known = True
        self.divide_slack(instance)

    # Checks of the limits.

    @invariant()
    def extra_sends_keep_the_limit(self) -> None:
        for at in self.extras[-40:]:
            start = at - WINDOW_S
            extras = sum(start < other <= at for other in self.extras)
            served = sum(start < other <= at for other in self.requests)
            assert extras <= SHARE * served + SLACK

    @invariant()
    def cold_sends_keep_the_limit(self) -> None:
        for at in self.cold_sends[-20:]:
            second = sum(at - 1.0 < o <= at for o in self.cold_sends)
            assert second <= COLD_BOUND


class WithoutDividedSlack(LimitsMachine):
    """Each instance uses the whole slack."""

    def divide_slack(self, instance: Instance) -> None:
        instance.budget.set_instances(1)


class WithoutSlackReserve(LimitsMachine):
    """No part of the slack is reserved for restarted processes."""

    def __init__(self) -> None:
        super().__init__()
        for instance in self.instance_by_name.values():
            self.adjust_new_process(instance)

    def adjust_new_process(self, instance: Instance) -> None:
        instance.budget.set_bounds(SHARE, 2 * SLACK, WINDOW_S)


class WithoutOwner(LimitsMachine):
    """Each instance takes itself for the owner."""

    def may_be_owner(self, instance: Instance) -> bool:
        return True


class WithoutWaitForInstanceList(LimitsMachine):
    """An instance without a list takes itself for the only one."""

    def knows_instances(self, instance: Instance) -> bool:
        return True

    def may_be_owner(self, instance: Instance) -> bool:
        return not instance.view or super().may_be_owner(instance)


def run_machine(machine: type[LimitsMachine], examples: int) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=40,
            derandomize=True,
            database=None,
            deadline=None,
            print_blob=False,
            suppress_health_check=list(HealthCheck),
        ),
    )


class TestGlobalLimits:
    def test_hold_in_any_order_of_events(self):
        run_machine(LimitsMachine, 300)

    @pytest.mark.parametrize(
        "machine",
        [
            WithoutDividedSlack,
            WithoutSlackReserve,
            WithoutOwner,
            WithoutWaitForInstanceList,
        ],
    )
    def test_missing_guard_is_detected(self, machine):
        with pytest.raises((AssertionError, ExceptionGroup)):
            run_machine(machine, 1000)


class TestRestartedOwner:
    """Two owners while an instance joins; one restarts within a second.

    A new process therefore sends nothing to cold leafs for one window.
    """

    def sends(self, limit: ColdRateLimiter, now: float) -> int:
        allowance = cold_allowance(COLD_BOUND, 5, True, True)
        return sum(limit.try_acquire("leaf", allowance, now) for _ in range(8))

    def total(self, restarted: ColdRateLimiter) -> int:
        old_owner, new_owner = ColdRateLimiter(0.0), ColdRateLimiter(0.0)
        sent = self.sends(old_owner, 10.0) + self.sends(new_owner, 10.1)
        return sent + self.sends(restarted, 10.1 + RESTART_S)

    def test_keeps_the_limit(self):
        assert self.total(ColdRateLimiter(10.1 + RESTART_S)) <= COLD_BOUND

    def test_exceeds_the_limit_without_the_wait(self):
        assert self.total(ColdRateLimiter(0.0)) > COLD_BOUND
