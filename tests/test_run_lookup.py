"""A lookup of a run while this instance queries the run's holder.

A caller's retry makes this instance query the holder, which is paused, until
the caller's deadline passes.  A lookup at this instance must then wait for
the query to end: it returned "running" for a run whose caller already had
the result.  The failure occurred in TestFaults::test_recorded under load.
"""

from heatherdyke.run_once.driver import LocalRun
from heatherdyke.run_once.server import lookup_waits
from heatherdyke.run_once.state_machine import RunIntent
from heatherdyke.run_once.state_machine import RunPhase
from heatherdyke.run_once.state_machine import RunProgress


def local_run(is_holder: bool, intent: RunIntent = RunIntent.RUN) -> LocalRun:
    progress = RunProgress(intent, RunPhase.SEND, is_holder=is_holder)
    return LocalRun("team", "key", "b:1:1", progress, expires_at=0.0)


class TestLookup:
    def test_waits_for_the_response_of_the_holder(self):
        assert lookup_waits(local_run(is_holder=False))

    def test_does_not_wait_if_this_instance_is_the_holder(self):
        assert not lookup_waits(local_run(is_holder=True))

    def test_waits_for_another_lookup(self):
        assert lookup_waits(
            local_run(is_holder=False, intent=RunIntent.LOOKUP)
        )
