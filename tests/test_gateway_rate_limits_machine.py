"""The rate that a leaf states holds in any order of events.

A state machine drives the real decision code of several instances that
restart without what they know, join and read the list of instances late.  With
the shares removed it must find a violation, which shows that it can.
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

from heatherdyke.gateway.leaf_rate_limit import WINDOW_S
from heatherdyke.gateway.leaf_rate_limit import LeafRateLimiter

LEAF = "leaf"
RATE = 1.0
# What the users allow in a window.
BOUND = 1.5 * RATE * WINDOW_S + 5
SENDS_IN_WINDOW = 8
RESTART_S = 0.35
# An instance restarts at most once, and one joins, in this time.
CALM_S = 10.0
MAX_INSTANCES = 8

picks = st.integers(0, 9)


class RateMachine(RuleBasedStateMachine):
    """Instances that send, restart and join; records all sends."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.names = ["a", "b", "c", "d"]
        self.rates_by_name = {
            name: self.new_process(name, self.names) for name in self.names
        }
        self.restarted_at_by_name: dict[str, float] = {}
        self.joined_at = 0.0
        self.sent_at: list[float] = []

    def new_process(self, name: str, view: list[str]) -> LeafRateLimiter:
        """Return the state of a new process; subclasses change its view."""
        rates = LeafRateLimiter(name)
        rates.set_instances(list(view), self.now)
        return rates

    def pick(self, number: int) -> str:
        return self.names[number % len(self.names)]

    @rule(seconds=st.floats(0.01, 4.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(number=picks)
    def send(self, number: int) -> None:
        """Send if allowed; a new process learns the rate by the response."""
        rates = self.rates_by_name[self.pick(number)]
        if not rates.is_limited(LEAF):
            rates.record_rate(LEAF, RATE, self.now)
        elif rates.wait_s(LEAF, self.now) == 0.0:
            rates.count_send(LEAF, self.now)
            self.sent_at.append(self.now)

    @rule()
    def all_send_for_a_window(self) -> None:
        for _ in range(SENDS_IN_WINDOW):
            self.now += WINDOW_S / SENDS_IN_WINDOW
            for number in range(len(self.names)):
                self.send(number)

    @rule(number=picks)
    def restart(self, number: int) -> None:
        name = self.pick(number)
        last_at = self.restarted_at_by_name.get(name, 0.0)
        if self.now - last_at <= CALM_S:
            return
        self.now += RESTART_S
        self.restarted_at_by_name[name] = self.now
        self.rates_by_name[name] = self.new_process(name, [])

    @precondition(lambda self: len(self.names) < MAX_INSTANCES)
    @rule()
    def join(self) -> None:
        if self.now - self.joined_at <= CALM_S:
            return
        self.joined_at = self.now
        name = f"n{len(self.names)}"
        self.names.append(name)
        self.rates_by_name[name] = self.new_process(name, [])

    @rule(number=picks)
    def read_list(self, number: int) -> None:
        """Read the current list; before, the view is empty or outdated."""
        rates = self.rates_by_name[self.pick(number)]
        rates.set_instances(list(self.names), self.now)

    @invariant()
    def sends_keep_to_the_rate(self) -> None:
        recent = [at for at in self.sent_at if at > self.now - 3 * WINDOW_S]
        for start in recent:
            window = sum(start <= at <= start + WINDOW_S for at in recent)
            assert window <= BOUND


class WithoutShares(RateMachine):
    """Each instance uses the whole rate."""

    def new_process(self, name: str, view: list[str]) -> LeafRateLimiter:
        return super().new_process(name, [name])

    def read_list(self, number: int) -> None:
        """Keep the view in which the instance is alone."""


def run_machine(machine: type[RateMachine]) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=200,
            stateful_step_count=30,
            derandomize=True,
            database=None,
            deadline=None,
            print_blob=False,
            suppress_health_check=list(HealthCheck),
        ),
    )


class TestStatedRate:
    def test_holds_in_any_order_of_events(self):
        run_machine(RateMachine)

    def test_missing_shares_are_detected(self):
        with pytest.raises((AssertionError, ExceptionGroup)):
            run_machine(WithoutShares)
