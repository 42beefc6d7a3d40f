"""Converts a run in memory into the response to a caller."""

from heatherdyke.messages import RunOutcome
from heatherdyke.messages import RunOutcomeState
from heatherdyke.request_errors import RunAmbiguous
from heatherdyke.request_errors import RunKeyReused
from heatherdyke.request_errors import RunRecordUnavailable
from heatherdyke.request_errors import RunRefused
from heatherdyke.request_errors import RunState
from heatherdyke.request_errors import UnknownRun
from heatherdyke.run_once.driver import LocalRun
from heatherdyke.run_once.state_machine import RunPhase

REFUSED_RETRY_S = 1.0
UNAVAILABLE_RETRY_S = 2.0
STATE_BY_PHASE = {
    RunPhase.DONE: RunOutcomeState.DONE,
    RunPhase.NOT_RUN: RunOutcomeState.NOT_RUN,
    RunPhase.MAY_HAVE_RUN: RunOutcomeState.MAY_HAVE_RUN,
}


def to_outcome(run: LocalRun) -> RunOutcome:
    """Return the current outcome; a run that is not stopped is running."""
    state = STATE_BY_PHASE.get(run.progress.phase, RunOutcomeState.RUNNING)
    done = state is RunOutcomeState.DONE
    return RunOutcome(
        run.key,
        state,
        run.result if done else None,
        "" if done else run.detail,
        run.attempt.split(":")[0],
    )


def raise_for_outcome(run: LocalRun, is_lookup: bool = False) -> None:
    """Raise the error of a run without an outcome.

    A request to run also raises RunRefused or RunAmbiguous; a lookup returns
    these two as outcomes.
    """
    phase = run.progress.phase
    if phase is RunPhase.REUSED:
        raise key_reused_error(run.key)
    if phase is RunPhase.ABSENT:
        raise UnknownRun(
            f"no run with key {run.key!r} is known",
            "send the request; one in flight may still start",
            RunState.MAY_HAVE_RUN,
        )
    if phase is RunPhase.UNKNOWN and not run.is_running_at_holder:
        raise RunRecordUnavailable(
            f"the outcome of key {run.key!r} cannot be determined now: "
            f"{run.detail}",
            "retry with the same key, which never runs twice",
            RunState.MAY_HAVE_RUN,
            UNAVAILABLE_RETRY_S,
        )
    if is_lookup:
        return
    if phase is RunPhase.NOT_RUN:
        raise RunRefused(
            f"the request with key {run.key!r} did not run and will not "
            f"run: {run.detail}",
            "send it again under a new key",
            RunState.NOT_RUN,
            REFUSED_RETRY_S,
        )
    if phase is RunPhase.MAY_HAVE_RUN:
        raise RunAmbiguous(
            f"the request with key {run.key!r} may have run: {run.detail}",
            "check what it would change before sending it under a new key",
            RunState.MAY_HAVE_RUN,
        )


def key_reused_error(key: str) -> RunKeyReused:
    """Return the error for a key that was used with another request."""
    return RunKeyReused(
        f"key {key!r} was used with another request",
        "use a new key for each request",
        RunState.MAY_HAVE_RUN,
    )
