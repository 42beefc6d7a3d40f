"""What may be done next with a request that runs at most once (pure).

The platform holds one record per key, made by a conditional create; only
the attempt that made it, its holder, may send the request to a leaf.  A
``RunProgress`` is one instance's knowledge of one key.  ``step`` gives the
next one after an event, and its phase names the one action that is allowed.
The model check and the instances share these functions.
"""

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

from heatherdyke.config.model import RunOnceMode


class RunIntent(Enum):
    """What the caller wants of a key."""

    RUN = "run"
    LOOK = "look"
    WITHDRAW = "withdraw"


class RunPhase(Enum):
    """The action to perform next, or the outcome if there is none.

    CREATE, READ, CLOSE and STORE write or read the record; SEND sends to a
    leaf; ASK asks the holder; FETCH reads a stored result.  UNKNOWN means
    that the record could not be reached.
    """

    CREATE = "create"
    READ = "read"
    SEND = "send"
    CLOSE = "close"
    STORE = "store"
    ASK = "ask"
    FETCH = "fetch"
    DONE = "done"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    ABSENT = "absent"
    REUSED = "reused"
    UNKNOWN = "unknown"


class RunEvent(Enum):
    """What came of an action.

    LOST: the platform did not answer, and a write may have taken effect or
    still may.  REFUSED: the leaf said that it did not start.  NOT_SENT: no
    byte left.  BROKEN: the request may have arrived.
    """

    CREATED = "created"
    EXISTS = "exists"
    LOST = "lost"
    FOUND_ABSENT = "found_absent"
    FOUND_OWN = "found_own"
    FOUND_OTHER = "found_other"
    FOUND_DONE = "found_done"
    FOUND_NOT_RUN = "found_not_run"
    FOUND_REUSED = "found_reused"
    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    STORED = "stored"
    FETCHED = "fetched"
    HOLDER_DONE = "holder_done"
    HOLDER_NOT_RUN = "holder_not_run"
    HOLDER_UNSURE = "holder_unsure"
    HOLDER_GONE = "holder_gone"
    OUT_OF_TIME = "out_of_time"


FINAL_PHASES = frozenset(
    {RunPhase.DONE, RunPhase.NOT_RUN, RunPhase.MAY_HAVE_RUN}
)
RESTING_PHASES = FINAL_PHASES | {
    RunPhase.ABSENT,
    RunPhase.REUSED,
    RunPhase.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class RunProgress:
    """One instance's knowledge of one key.

    ``create_sent``: this attempt asked the platform to create the record,
    so that a record of this attempt is its own.  ``holds``: this attempt
    may send.  ``rechecked``: the record was read again after the holder
    could not be asked.  Not ``guarded``: the mechanism is switched off.
    """

    intent: RunIntent
    phase: RunPhase
    mode: RunOnceMode = RunOnceMode.RECORDED
    guarded: bool = True
    create_sent: bool = False
    holds: bool = False
    rechecked: bool = False

    @property
    def resting(self) -> bool:
        """Tell whether no action is left."""
        return self.phase in RESTING_PHASES

    @property
    def must_be_kept(self) -> bool:
        """Tell whether forgetting it would lose what only it knows."""
        return self.holds or self.create_sent

    @classmethod
    def begin(
        cls,
        intent: RunIntent,
        mode: RunOnceMode,
        owns_ticket: bool = False,
        guarded: bool = True,
    ) -> "RunProgress":
        """Return the progress of a key that this instance does not know.

        ``owns_ticket``: the key is a ticket of this incarnation and was
        never used.
        """
        if not guarded and intent is RunIntent.RUN:
            unrecorded = RunOnceMode.TICKET
            return cls(intent, RunPhase.SEND, unrecorded, False, holds=True)
        if mode is RunOnceMode.RECORDED:
            first = RunPhase.READ
            if intent is not RunIntent.LOOK:
                first = RunPhase.CREATE
            return cls(intent, first, mode, guarded)
        if not owns_ticket:
            return cls(intent, RunPhase.ASK, mode, guarded)
        return cls(intent, _FIRST_OF_TICKET[intent], mode, guarded, holds=True)


_FIRST_OF_TICKET = {
    RunIntent.RUN: RunPhase.SEND,
    RunIntent.LOOK: RunPhase.ABSENT,
    RunIntent.WITHDRAW: RunPhase.NOT_RUN,
}

_NEXT_PHASE = {
    (RunPhase.CREATE, RunEvent.EXISTS): RunPhase.READ,
    (RunPhase.CREATE, RunEvent.LOST): RunPhase.READ,
    (RunPhase.CREATE, RunEvent.OUT_OF_TIME): RunPhase.UNKNOWN,
    (RunPhase.READ, RunEvent.FOUND_OTHER): RunPhase.ASK,
    (RunPhase.READ, RunEvent.FOUND_DONE): RunPhase.FETCH,
    (RunPhase.READ, RunEvent.FOUND_NOT_RUN): RunPhase.NOT_RUN,
    (RunPhase.READ, RunEvent.FOUND_REUSED): RunPhase.REUSED,
    (RunPhase.READ, RunEvent.LOST): RunPhase.READ,
    (RunPhase.READ, RunEvent.OUT_OF_TIME): RunPhase.UNKNOWN,
    (RunPhase.SEND, RunEvent.REFUSED): RunPhase.SEND,
    (RunPhase.SEND, RunEvent.NOT_SENT): RunPhase.SEND,
    (RunPhase.SEND, RunEvent.BROKEN): RunPhase.MAY_HAVE_RUN,
    (RunPhase.SEND, RunEvent.ANSWERED): RunPhase.STORE,
    (RunPhase.SEND, RunEvent.OUT_OF_TIME): RunPhase.CLOSE,
    (RunPhase.CLOSE, RunEvent.STORED): RunPhase.NOT_RUN,
    (RunPhase.CLOSE, RunEvent.LOST): RunPhase.NOT_RUN,
    (RunPhase.STORE, RunEvent.STORED): RunPhase.DONE,
    (RunPhase.STORE, RunEvent.LOST): RunPhase.DONE,
    (RunPhase.ASK, RunEvent.HOLDER_DONE): RunPhase.DONE,
    (RunPhase.ASK, RunEvent.HOLDER_NOT_RUN): RunPhase.NOT_RUN,
    (RunPhase.ASK, RunEvent.HOLDER_UNSURE): RunPhase.MAY_HAVE_RUN,
    (RunPhase.ASK, RunEvent.FOUND_REUSED): RunPhase.REUSED,
    (RunPhase.ASK, RunEvent.OUT_OF_TIME): RunPhase.UNKNOWN,
    (RunPhase.FETCH, RunEvent.FETCHED): RunPhase.DONE,
    (RunPhase.FETCH, RunEvent.LOST): RunPhase.FETCH,
    (RunPhase.FETCH, RunEvent.OUT_OF_TIME): RunPhase.UNKNOWN,
}


def step(progress: RunProgress, event: RunEvent) -> RunProgress:
    """Return the progress after ``event``.

    Raises ValueError if the phase's action cannot bring that event.
    """
    if progress.phase is RunPhase.CREATE:
        progress = replace(progress, create_sent=True)
    special = _SPECIAL_STEPS.get((progress.phase, event))
    if special is not None:
        return special(progress)
    phase = _NEXT_PHASE.get((progress.phase, event))
    if phase is None:
        raise ValueError(f"{event} cannot follow {progress.phase}")
    if progress.mode is RunOnceMode.TICKET:
        phase = _PHASE_WITHOUT_RECORD.get(phase, phase)
    if not progress.guarded and event is RunEvent.BROKEN:
        phase = RunPhase.SEND
    return replace(progress, phase=phase)


def resume(progress: RunProgress, intent: RunIntent) -> RunProgress:
    """Return the progress after the caller asks again for a known key.

    Only an attempt that could not reach the record starts again, from what
    the record says; an outcome stays as it is.
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
        return replace(progress, phase=RunPhase.SEND, holds=True)
    if progress.intent is RunIntent.WITHDRAW:
        return replace(progress, phase=RunPhase.CLOSE, holds=True)
    return replace(progress, phase=RunPhase.UNKNOWN)


def _after_created(progress: RunProgress) -> RunProgress:
    if progress.intent is RunIntent.WITHDRAW:
        return replace(progress, phase=RunPhase.NOT_RUN)
    return replace(progress, phase=RunPhase.SEND, holds=True)


def _after_absent(progress: RunProgress) -> RunProgress:
    if progress.intent is RunIntent.LOOK:
        phase = RunPhase.UNKNOWN if progress.create_sent else RunPhase.ABSENT
        return replace(progress, phase=phase)
    return replace(progress, phase=RunPhase.CREATE)


def _after_holder_gone(progress: RunProgress) -> RunProgress:
    if progress.mode is RunOnceMode.TICKET or progress.rechecked:
        return replace(progress, phase=RunPhase.MAY_HAVE_RUN)
    return replace(progress, phase=RunPhase.READ, rechecked=True)


_SPECIAL_STEPS = {
    (RunPhase.CREATE, RunEvent.CREATED): _after_created,
    (RunPhase.READ, RunEvent.FOUND_OWN): _after_own_record,
    (RunPhase.READ, RunEvent.FOUND_ABSENT): _after_absent,
    (RunPhase.ASK, RunEvent.HOLDER_GONE): _after_holder_gone,
}
