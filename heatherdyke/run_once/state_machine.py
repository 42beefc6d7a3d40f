"""The state machine of a request that runs at most once (pure).

The platform stores one record per key, made by a conditional create.  Only
the attempt that created the record, its holder, may send the request to a
leaf.  A ``RunProgress`` is one instance's state of one key.  ``step`` returns
the state after an event, and its phase names the one action that is allowed
next.  The instances and the model check use the same functions.
"""

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

from heatherdyke.config.model import RunOnceMode


class RunIntent(Enum):
    """The operation that the caller requests for a key."""

    RUN = "run"
    LOOKUP = "look"
    WITHDRAW = "withdraw"


class RunPhase(Enum):
    """The action to perform next, or the outcome if there is none.

    CREATE, READ, CLOSE and STORE write or read the record; SEND sends to a
    leaf; QUERY_HOLDER queries the holder; FETCH reads a stored result.
    UNKNOWN means that the record could not be reached.
    """

    CREATE = "create"
    READ = "read"
    SEND = "send"
    CLOSE = "close"
    STORE = "store"
    QUERY_HOLDER = "ask"
    FETCH = "fetch"
    DONE = "done"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    ABSENT = "absent"
    REUSED = "reused"
    UNKNOWN = "unknown"


class RunEvent(Enum):
    """The result of an action.

    NO_REPLY: the platform did not reply; a write may have taken effect or may
    still do so.  REFUSED: the leaf replied that it did not start the request.
    NOT_SENT: no byte was sent.  CONNECTION_BROKEN: the request may have
    arrived.
    """

    CREATED = "created"
    EXISTS = "exists"
    NO_REPLY = "lost"
    FOUND_ABSENT = "found_absent"
    FOUND_OWN = "found_own"
    FOUND_OTHER = "found_other"
    FOUND_DONE = "found_done"
    FOUND_NOT_RUN = "found_not_run"
    FOUND_REUSED = "found_reused"
    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    CONNECTION_BROKEN = "broken"
    STORED = "stored"
    FETCHED = "fetched"
    HOLDER_DONE = "holder_done"
    HOLDER_NOT_RUN = "holder_not_run"
    HOLDER_MAY_HAVE_RUN = "holder_unsure"
    HOLDER_UNREACHABLE = "holder_gone"
    DEADLINE_EXCEEDED = "out_of_time"


FINAL_PHASES = frozenset(
    {RunPhase.DONE, RunPhase.NOT_RUN, RunPhase.MAY_HAVE_RUN}
)
STOPPED_PHASES = FINAL_PHASES | {
    RunPhase.ABSENT,
    RunPhase.REUSED,
    RunPhase.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class RunProgress:
    """One instance's state of one key.

    ``create_sent``: this attempt sent a request to create the record, so that
    a record that names this attempt is its own.  ``is_holder``: this attempt
    may send.  ``rechecked``: the record was read again after the query to the
    holder failed.  Not ``guarded``: the mechanism is switched off.
    """

    intent: RunIntent
    phase: RunPhase
    mode: RunOnceMode = RunOnceMode.RECORDED
    guarded: bool = True
    create_sent: bool = False
    is_holder: bool = False
    rechecked: bool = False

    @property
    def is_stopped(self) -> bool:
        """Tell whether no action remains."""
        return self.phase in STOPPED_PHASES

    @property
    def must_be_retained(self) -> bool:
        """Tell whether this state may be the only record of the attempt."""
        return self.is_holder or self.create_sent

    @classmethod
    def begin(
        cls,
        intent: RunIntent,
        mode: RunOnceMode,
        owns_ticket: bool = False,
        guarded: bool = True,
    ) -> "RunProgress":
        """Return the progress of a key that is not in memory.

        ``owns_ticket``: the key is a ticket of this incarnation and was
        never used.
        """
        if not guarded and intent is RunIntent.RUN:
            unrecorded = RunOnceMode.TICKET
            return cls(
                intent, RunPhase.SEND, unrecorded, False, is_holder=True
            )
        if mode is RunOnceMode.RECORDED:
            first = RunPhase.READ
            if intent is not RunIntent.LOOKUP:
                first = RunPhase.CREATE
            return cls(intent, first, mode, guarded)
        if not owns_ticket:
            return cls(intent, RunPhase.QUERY_HOLDER, mode, guarded)
        return cls(
            intent,
            _FIRST_PHASE_OF_TICKET[intent],
            mode,
            guarded,
            is_holder=True,
        )


_FIRST_PHASE_OF_TICKET = {
    RunIntent.RUN: RunPhase.SEND,
    RunIntent.LOOKUP: RunPhase.ABSENT,
    RunIntent.WITHDRAW: RunPhase.NOT_RUN,
}

_NEXT_PHASE = {
    (RunPhase.CREATE, RunEvent.EXISTS): RunPhase.READ,
    (RunPhase.CREATE, RunEvent.NO_REPLY): RunPhase.READ,
    (RunPhase.CREATE, RunEvent.DEADLINE_EXCEEDED): RunPhase.UNKNOWN,
    (RunPhase.READ, RunEvent.FOUND_OTHER): RunPhase.QUERY_HOLDER,
    (RunPhase.READ, RunEvent.FOUND_DONE): RunPhase.FETCH,
    (RunPhase.READ, RunEvent.FOUND_NOT_RUN): RunPhase.NOT_RUN,
    (RunPhase.READ, RunEvent.FOUND_REUSED): RunPhase.REUSED,
    (RunPhase.READ, RunEvent.NO_REPLY): RunPhase.READ,
    (RunPhase.READ, RunEvent.DEADLINE_EXCEEDED): RunPhase.UNKNOWN,
    (RunPhase.SEND, RunEvent.REFUSED): RunPhase.SEND,
    (RunPhase.SEND, RunEvent.NOT_SENT): RunPhase.SEND,
    (RunPhase.SEND, RunEvent.CONNECTION_BROKEN): RunPhase.MAY_HAVE_RUN,
    (RunPhase.SEND, RunEvent.ANSWERED): RunPhase.STORE,
    (RunPhase.SEND, RunEvent.DEADLINE_EXCEEDED): RunPhase.CLOSE,
    (RunPhase.CLOSE, RunEvent.STORED): RunPhase.NOT_RUN,
    (RunPhase.CLOSE, RunEvent.NO_REPLY): RunPhase.NOT_RUN,
    (RunPhase.STORE, RunEvent.STORED): RunPhase.DONE,
    (RunPhase.STORE, RunEvent.NO_REPLY): RunPhase.DONE,
    (RunPhase.QUERY_HOLDER, RunEvent.HOLDER_DONE): RunPhase.DONE,
    (RunPhase.QUERY_HOLDER, RunEvent.HOLDER_NOT_RUN): RunPhase.NOT_RUN,
    (
        RunPhase.QUERY_HOLDER,
        RunEvent.HOLDER_MAY_HAVE_RUN,
    ): RunPhase.MAY_HAVE_RUN,
    (RunPhase.QUERY_HOLDER, RunEvent.FOUND_REUSED): RunPhase.REUSED,
    (RunPhase.QUERY_HOLDER, RunEvent.DEADLINE_EXCEEDED): RunPhase.UNKNOWN,
    (RunPhase.FETCH, RunEvent.FETCHED): RunPhase.DONE,
    (RunPhase.FETCH, RunEvent.NO_REPLY): RunPhase.FETCH,
    (RunPhase.FETCH, RunEvent.DEADLINE_EXCEEDED): RunPhase.UNKNOWN,
}


def step(progress: RunProgress, event: RunEvent) -> RunProgress:
    """Return the progress after ``event``.

    Raises ValueError if the phase's action cannot result in that event.
    """
    if progress.phase is RunPhase.CREATE:
        progress = replace(progress, create_sent=True)
    next_progress = _NEXT_PROGRESS.get((progress.phase, event))
    if next_progress is not None:
        return next_progress(progress)
    phase = _NEXT_PHASE.get((progress.phase, event))
    if phase is None:
        raise ValueError(f"{event} cannot follow {progress.phase}")
    if progress.mode is RunOnceMode.TICKET:
        phase = _PHASE_WITHOUT_RECORD.get(phase, phase)
    if not progress.guarded and event is RunEvent.CONNECTION_BROKEN:
        phase = RunPhase.SEND
    return replace(progress, phase=phase)


def resume(progress: RunProgress, intent: RunIntent) -> RunProgress:
    """Return the progress after a further request for a key in memory.

    Only an attempt that could not reach the record resumes, by reading the
    record; an outcome does not change.
    """
    if progress.phase is not RunPhase.UNKNOWN:
        return progress
    return replace(
        progress, intent=intent, phase=RunPhase.READ, rechecked=False
    )


_PHASE_WITHOUT_RECORD = {
    RunPhase.STORE: RunPhase.DONE,
    RunPhase.CLOSE: RunPhase.NOT_RUN,
}


def _after_own_record(progress: RunProgress) -> RunProgress:
    if not progress.create_sent:
        return replace(progress, phase=RunPhase.MAY_HAVE_RUN)
    if progress.intent is RunIntent.RUN:
        return replace(progress, phase=RunPhase.SEND, is_holder=True)
    if progress.intent is RunIntent.WITHDRAW:
        return replace(progress, phase=RunPhase.CLOSE, is_holder=True)
    return replace(progress, phase=RunPhase.UNKNOWN)


def _after_created(progress: RunProgress) -> RunProgress:
    if progress.intent is RunIntent.WITHDRAW:
        return replace(progress, phase=RunPhase.NOT_RUN)
    return replace(progress, phase=RunPhase.SEND, is_holder=True)


def _after_absent(progress: RunProgress) -> RunProgress:
    if progress.intent is RunIntent.LOOKUP:
        phase = RunPhase.UNKNOWN if progress.create_sent else RunPhase.ABSENT
        return replace(progress, phase=phase)
    return replace(progress, phase=RunPhase.CREATE)


def _after_holder_unreachable(progress: RunProgress) -> RunProgress:
    if progress.mode is RunOnceMode.TICKET or progress.rechecked:
        return replace(progress, phase=RunPhase.MAY_HAVE_RUN)
    return replace(progress, phase=RunPhase.READ, rechecked=True)


_NEXT_PROGRESS = {
    (RunPhase.CREATE, RunEvent.CREATED): _after_created,
    (RunPhase.READ, RunEvent.FOUND_OWN): _after_own_record,
    (RunPhase.READ, RunEvent.FOUND_ABSENT): _after_absent,
    (
        RunPhase.QUERY_HOLDER,
        RunEvent.HOLDER_UNREACHABLE,
    ): _after_holder_unreachable,
}
