"""Performs the actions that the state machine of a run allows."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from heatherdyke.clock import Clock
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import TransportError
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRun
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import PeerRunOnce
from heatherdyke.messages import PeerRunOnceOutcome
from heatherdyke.messages import RunRequest
from heatherdyke.run_once.state_machine import RunEvent
from heatherdyke.run_once.state_machine import RunIntent
from heatherdyke.run_once.state_machine import RunPhase
from heatherdyke.run_once.state_machine import RunProgress
from heatherdyke.run_once.state_machine import step
from heatherdyke.run_once.store import RecordState
from heatherdyke.run_once.store import RunRecord
from heatherdyke.run_once.store import RunStore
from heatherdyke.run_once.store import StoredRecord

INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
MAX_READ_ATTEMPTS = 4
NOT_STARTED_REFUSALS = frozenset(
    {
        "shed",
        "draining",
        "not_home",
        "unknown_shard",
        "shard_split",
        "snapshot_gone",
    }
)
EVENT_BY_HOLDER_PHASE = {
    RunPhase.DONE: RunEvent.HOLDER_DONE,
    RunPhase.NOT_RUN: RunEvent.HOLDER_NOT_RUN,
    RunPhase.MAY_HAVE_RUN: RunEvent.HOLDER_MAY_HAVE_RUN,
    RunPhase.REUSED: RunEvent.FOUND_REUSED,
}

Send = Callable[[str, LeafRun, int], Awaitable[LeafRunAnswer | LeafRefusal]]
QueryHolder = Callable[["HeldRun"], Awaitable[PeerRunOnceOutcome]]
ChooseLeaves = Callable[[str, str], list[str]]


@dataclass(slots=True)
class HeldRun:
    """The run of one key in an instance's memory.

    "Held" means only that it is in memory: the run's holder, which alone may
    send it, can be another instance.  ``record`` is the platform's record as
    last read; ``stored`` is False until the platform has accepted the result
    or the closed record.  ``expires_at`` is monotonic.
    """

    team: str
    key: str
    attempt: str
    progress: RunProgress
    expires_at: float
    priority: int = 0
    request: RunRequest | None = None
    fingerprint: str = ""
    record: StoredRecord | None = None
    result: str | None = None
    leaf: str = ""
    detail: str = ""
    retries: int = 0
    stored: bool = True
    is_running_at_holder: bool = False
    task: asyncio.Task | None = field(default=None, repr=False)

    @property
    def name(self) -> str:
        """Return ``team/key``, which platform and leaves use as its name."""
        return f"{self.team}/{self.key}"


@dataclass(frozen=True, slots=True)
class Identity:
    """The instance that drives the runs."""

    name: str
    address: str


class RunDriver:
    """Drives a run from phase to phase until it stops.

    ``send`` sends a run to a leaf through the leaf's home; ``query_holder``
    queries the run's holder; both raise TransportError.  ``choose_leaves``
    returns the leaves of a service's shard, best first.
    """

    def __init__(
        self,
        identity: Identity,
        store: RunStore,
        send: Send,
        query_holder: QueryHolder,
        choose_leaves: ChooseLeaves,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._store = store
        self._send = send
        self._query_holder = query_holder
        self._choose_leaves = choose_leaves
        self._clock = clock
        self._action_by_phase = {
            RunPhase.CREATE: self._create_record,
            RunPhase.READ: self._read_record,
            RunPhase.SEND: self._send_to_leaf,
            RunPhase.CLOSE: self._close_record,
            RunPhase.STORE: self._store_result,
            RunPhase.QUERY_HOLDER: self._query_holder_outcome,
            RunPhase.FETCH: self._fetch_result,
        }

    async def drive(self, held: HeldRun) -> None:
        """Perform actions until the run stops."""
        held.retries = 0
        held.is_running_at_holder = False
        while not held.progress.is_stopped:
            action = self._action_by_phase[held.progress.phase]
            event = await action(held)
            held.progress = step(held.progress, event)

    async def retry_store(self, held: HeldRun) -> None:
        """Retry once to store an outcome that the platform did not accept."""
        if held.result is not None:
            event = await self._store_result(held)
        else:
            event = await self._close_record(held)
        held.stored = event is RunEvent.STORED

    async def _create_record(self, held: HeldRun) -> RunEvent:
        runs = held.progress.intent is RunIntent.RUN
        record = RunRecord(
            RecordState.SENDING if runs else RecordState.NOT_RUN,
            held.fingerprint,
            held.attempt,
            self._identity.name,
            self._identity.address,
            self._clock.wall(),
        )
        event, version = await self._store.create(held.name, record)
        if event is RunEvent.CREATED:
            held.record = StoredRecord(record, version)
        return event

    async def _read_record(self, held: HeldRun) -> RunEvent:
        try:
            held.record = await self._store.read(held.name)
        except PlatformUnavailable as error:
            held.detail = error.detail
            if await self._back_off(held, MAX_READ_ATTEMPTS):
                return RunEvent.NO_REPLY
            return RunEvent.DEADLINE_EXCEEDED
        if held.record is None:
            return RunEvent.FOUND_ABSENT
        return self._classify_record(held, held.record.record)

    def _classify_record(self, held: HeldRun, record: RunRecord) -> RunEvent:
        if held.fingerprint and record.fingerprint:
            if held.fingerprint != record.fingerprint:
                return RunEvent.FOUND_REUSED
        if record.state is RecordState.DONE:
            return RunEvent.FOUND_DONE
        if record.state is RecordState.NOT_RUN:
            return RunEvent.FOUND_NOT_RUN
        if record.attempt == held.attempt:
            return RunEvent.FOUND_OWN
        return RunEvent.FOUND_OTHER

    async def _send_to_leaf(self, held: HeldRun) -> RunEvent:
        remaining_ms = (held.expires_at - self._clock.now()) * 1000
        if remaining_ms <= 0:
            return RunEvent.DEADLINE_EXCEEDED
        request = held.request
        leaves = self._choose_leaves(request.service, request.shard)
        if not leaves:
            held.detail = f"no leaf of shard {request.shard!r} is eligible"
            return await self._after_refusal(held)
        held.leaf = leaves[held.retries % len(leaves)]
        run = LeafRun(
            held.attempt,
            held.name,
            f"{request.service}/{request.shard}",
            request.operation,
            request.argument,
            remaining_ms,
            self._identity.name,
        )
        try:
            outcome = await self._send(held.leaf, run, held.priority)
        except TransportError as error:
            held.detail = error.detail
            if error.sent:
                return RunEvent.CONNECTION_BROKEN
            return await self._after_refusal(held)
        except BaseException:
            held.progress = step(held.progress, RunEvent.CONNECTION_BROKEN)
            raise
        if isinstance(outcome, LeafRunAnswer):
            held.result = outcome.result
            return RunEvent.ANSWERED
        held.detail = f"leaf {held.leaf} refused: {outcome.kind}"
        if outcome.kind not in NOT_STARTED_REFUSALS:
            return RunEvent.CONNECTION_BROKEN
        return await self._after_refusal(held)

    async def _after_refusal(self, held: HeldRun) -> RunEvent:
        """Back off before the next attempt, if the deadline permits one."""
        if await self._back_off(held):
            return RunEvent.REFUSED
        return RunEvent.DEADLINE_EXCEEDED

    async def _close_record(self, held: HeldRun) -> RunEvent:
        event = await self._store.close(held.name, held.record)
        held.stored = event is RunEvent.STORED
        return event

    async def _store_result(self, held: HeldRun) -> RunEvent:
        event = await self._store.finish(
            held.name, held.record, held.leaf, held.result
        )
        held.stored = event is RunEvent.STORED
        return event

    async def _query_holder_outcome(self, held: HeldRun) -> RunEvent:
        if held.expires_at <= self._clock.now():
            return RunEvent.DEADLINE_EXCEEDED
        try:
            outcome = await self._query_holder(held)
        except TransportError as error:
            held.detail = f"the query to the holder failed: {error.detail}"
            return RunEvent.HOLDER_UNREACHABLE
        held.detail = outcome.detail
        if not outcome.phase:
            return RunEvent.HOLDER_UNREACHABLE
        held.result = outcome.result
        phase = RunPhase(outcome.phase)
        if phase in EVENT_BY_HOLDER_PHASE:
            return EVENT_BY_HOLDER_PHASE[phase]
        held.is_running_at_holder = phase is not RunPhase.UNKNOWN
        return RunEvent.DEADLINE_EXCEEDED

    async def _fetch_result(self, held: HeldRun) -> RunEvent:
        try:
            held.result = await self._store.fetch(
                held.name, held.record.record.chunks
            )
        except PlatformUnavailable as error:
            held.detail = error.detail
            if await self._back_off(held, MAX_READ_ATTEMPTS):
                return RunEvent.NO_REPLY
            return RunEvent.DEADLINE_EXCEEDED
        return RunEvent.FETCHED

    async def _back_off(
        self, held: HeldRun, max_attempts: int | None = None
    ) -> bool:
        """Wait before a further attempt; return False if none remains."""
        held.retries += 1
        if max_attempts is not None and held.retries >= max_attempts:
            return False
        backoff_s = min(
            MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(held.retries, 10)
        )
        if self._clock.now() + backoff_s >= held.expires_at:
            return False
        await asyncio.sleep(backoff_s)
        return True


def to_holder_query(held: HeldRun, now: float) -> PeerRunOnce:
    """Return the query for the holder of a run."""
    record = held.record
    return PeerRunOnce(
        held.team,
        held.key,
        record.record.attempt if record is not None else "",
        held.progress.intent.value,
        held.priority,
        max(0.0, held.expires_at - now) * 1000,
        held.fingerprint,
        held.request,
    )
