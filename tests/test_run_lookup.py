"""A look at a run that another instance holds, while this one asks it.

The load: the holder stood still, the caller came to this instance with the
same key and its deadline passed; then somebody looks here.  Found by
TestFaults::test_recorded beside load: the look told "running" of a run whose
caller had its result.
"""

from heatherdyke.run_once.driver import HeldRun
from heatherdyke.run_once.server import look_waits
from heatherdyke.run_once.state_machine import RunIntent
from heatherdyke.run_once.state_machine import RunPhase
from heatherdyke.run_once.state_machine import RunProgress


def held_run(holds: bool, intent: RunIntent = RunIntent.RUN) -> HeldRun:
    progress = RunProgress(intent, RunPhase.SEND, holds=holds)
    return HeldRun("team", "key", "b:1:1", progress, expires_at=0.0)


class TestLook:
    def test_waits_for_what_the_holder_says(self):
        assert look_waits(held_run(holds=False))

    def test_does_not_wait_for_a_run_that_is_driven_here(self):
        assert not look_waits(held_run(holds=True))

    def test_waits_for_another_look(self):
        assert look_waits(held_run(holds=False, intent=RunIntent.LOOK))
