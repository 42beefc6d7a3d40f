"""What a caller is told of a held run."""

from heatherdyke.errors import RunAmbiguous
from heatherdyke.errors import RunKeyReused
from heatherdyke.errors import RunRecordUnavailable
from heatherdyke.errors import RunRefused
from heatherdyke.errors import RunState
from heatherdyke.errors import UnknownRun
from heatherdyke.messages import RunOutcome
from heatherdyke.messages import RunOutcomeState
from heatherdyke.run_once.driver import HeldRun
from heatherdyke.run_once.state_machine import RunPhase

REFUSED_RETRY_S = 1.0
UNAVAILABLE_RETRY_S = 2.0
STATE_BY_PHASE = {
    RunPhase.DONE: RunOutcomeState.DONE,
    RunPhase.NOT_RUN: RunOutcomeState.NOT_RUN,
    RunPhase.MAY_HAVE_RUN: RunOutcomeState.MAY_HAVE_RUN,
}


def to_outcome(held: HeldRun) -> RunOutcome:
    """Return the outcome as it stands; a run not at rest is running."""
    state = STATE_BY_PHASE.get(held.progress.phase, RunOutcomeState.RUNNING)
    done = state is RunOutcomeState.DONE
    return RunOutcome(
        held.key,
        state,
        held.result if done else None,
        "" if done else held.detail,
        held.attempt.split(":")[0],
    )


def raise_unless_known(held: HeldRun, looked: bool = False) -> None:
    """Raise what stands in the way of an outcome.

    Who asks to run meets RunRefused and RunAmbiguous too; who looks gets
    those two as outcomes.
    """
    phase = held.progress.phase
    if phase is RunPhase.REUSED:
        raise reused(held.key)
    if phase is RunPhase.ABSENT:
        raise UnknownRun(
            f"no run under key {held.key!r} is known",
            "send the request; one under way may start yet",
            RunState.MAY_HAVE_RUN,
        )
    if phase is RunPhase.UNKNOWN and not held.holder_runs:
        raise RunRecordUnavailable(
            f"the outcome under key {held.key!r} cannot be told now: "
            f"{held.detail}",
            "ask again with the same key, which never runs twice",
            RunState.MAY_HAVE_RUN,
            UNAVAILABLE_RETRY_S,
        )
    if looked:
        return
    if phase is RunPhase.NOT_RUN:
        raise RunRefused(
            f"the request under key {held.key!r} did not run and never "
            f"will: {held.detail}",
            "send it again under a new key",
            RunState.NOT_RUN,
            REFUSED_RETRY_S,
        )
    if phase is RunPhase.MAY_HAVE_RUN:
        raise RunAmbiguous(
            f"the request under key {held.key!r} may have run: {held.detail}",
            "look at what it changes before sending it under a new key",
            RunState.MAY_HAVE_RUN,
        )


def reused(key: str) -> RunKeyReused:
    """Return the error for a key that stands for another request."""
    return RunKeyReused(
        f"key {key!r} was sent with another request",
        "use a new key for each request",
        RunState.MAY_HAVE_RUN,
    )
