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

BASE_BACKOFF_S = 0.02
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
QueryHolder = Callable[["LocalRun"], Awaitable[PeerRunOnceOutcome]]
ChooseLeaves = Callable[[str, str], list[str]]


@dataclass(slots=True)
class LocalRun:
    """The run of one key in an instance's memory.

    The run's holder, which alone may send it, can be another instance.
    ``record`` is the platform's record as last read; ``stored`` is False
    until the platform has accepted the result or the closed record.
    ``expires_at`` is monotonic.
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

    async def drive(self, run: LocalRun) -> None:
        """Perform actions until the run stops."""
        run.retries = 0
        run.is_running_at_holder = False
        while not run.progress.is_stopped:
            action = self._action_by_phase[run.progress.phase]
            event = await action(run)
            run.progress = step(run.progress, event)

    async def retry_store(self, run: LocalRun) -> None:
        """Retry once to store the result, or else to close the record."""
        if run.result is not None:
            event = await self._store_result(run)
        else:
            event = await self._close_record(run)
        run.stored = event is RunEvent.STORED

    async def _create_record(self, run: LocalRun) -> RunEvent:
        runs = run.progress.intent is RunIntent.RUN
        record = RunRecord(
            RecordState.SENDING if runs else RecordState.NOT_RUN,
            run.fingerprint,
            run.attempt,
            self._identity.name,
            self._identity.address,
            self._clock.wall(),
        )
        event, version = await self._store.create(run.name, record)
        if event is RunEvent.CREATED:
            run.record = StoredRecord(record, version)
        return event

    async def _read_record(self, run: LocalRun) -> RunEvent:
        try:
            run.record = await self._store.read(run.name)
        except PlatformUnavailable as error:
            run.detail = error.detail
            if await self._wait_to_retry(run, MAX_READ_ATTEMPTS):
                return RunEvent.NO_REPLY
            return RunEvent.DEADLINE_EXCEEDED
        if run.record is None:
            return RunEvent.FOUND_ABSENT
        return self._classify_record(run, run.record.record)

    def _classify_record(self, run: LocalRun, record: RunRecord) -> RunEvent:
        if run.fingerprint and record.fingerprint:
            if run.fingerprint != record.fingerprint:
                return RunEvent.FOUND_REUSED
        if record.state is RecordState.DONE:
            return RunEvent.FOUND_DONE
        if record.state is RecordState.NOT_RUN:
            return RunEvent.FOUND_NOT_RUN
        if record.attempt == run.attempt:
            return RunEvent.FOUND_OWN
        return RunEvent.FOUND_OTHER

    async def _send_to_leaf(self, run: LocalRun) -> RunEvent:
        remaining_ms = (run.expires_at - self._clock.now()) * 1000
        if remaining_ms <= 0:
            return RunEvent.DEADLINE_EXCEEDED
        request = run.request
        leaves = self._choose_leaves(request.service, request.shard)
        if not leaves:
            run.detail = f"no leaf of shard {request.shard!r} is eligible"
            return await self._after_refusal(run)
        run.leaf = leaves[run.retries % len(leaves)]
        leaf_run = LeafRun(
            run.attempt,
            run.name,
            f"{request.service}/{request.shard}",
            request.operation,
            request.argument,
            remaining_ms,
            self._identity.name,
        )
        try:
            outcome = await self._send(run.leaf, leaf_run, run.priority)
        except TransportError as error:
            run.detail = error.detail
            if error.sent:
                return RunEvent.CONNECTION_BROKEN
            return await self._after_refusal(run)
        except BaseException:
            run.progress = step(run.progress, RunEvent.CONNECTION_BROKEN)
            raise
        if isinstance(outcome, LeafRunAnswer):
            run.result = outcome.result
            return RunEvent.ANSWERED
        run.detail = f"leaf {run.leaf} refused: {outcome.kind}"
        if outcome.kind not in NOT_STARTED_REFUSALS:
            return RunEvent.CONNECTION_BROKEN
        return await self._after_refusal(run)

    async def _after_refusal(self, run: LocalRun) -> RunEvent:
        """Back off before the next attempt, if the deadline permits one."""
        if await self._wait_to_retry(run):
            return RunEvent.REFUSED
        return RunEvent.DEADLINE_EXCEEDED

    async def _close_record(self, run: LocalRun) -> RunEvent:
        event = await self._store.close(run.name, run.record)
        run.stored = event is RunEvent.STORED
        return event

    async def _store_result(self, run: LocalRun) -> RunEvent:
        event = await self._store.finish(
            run.name, run.record, run.leaf, run.result
        )
        run.stored = event is RunEvent.STORED
        return event

    async def _query_holder_outcome(self, run: LocalRun) -> RunEvent:
        if run.expires_at <= self._clock.now():
            return RunEvent.DEADLINE_EXCEEDED
        try:
            outcome = await self._query_holder(run)
        except TransportError as error:
            run.detail = f"the query to the holder failed: {error.detail}"
            return RunEvent.HOLDER_UNREACHABLE
        run.detail = outcome.detail
        if not outcome.phase:
            return RunEvent.HOLDER_UNREACHABLE
        run.result = outcome.result
        phase = RunPhase(outcome.phase)
        if phase in EVENT_BY_HOLDER_PHASE:
            return EVENT_BY_HOLDER_PHASE[phase]
        run.is_running_at_holder = phase is not RunPhase.UNKNOWN
        return RunEvent.DEADLINE_EXCEEDED

    async def _fetch_result(self, run: LocalRun) -> RunEvent:
        try:
            run.result = await self._store.read_result(
                run.name, run.record.record.chunks
            )
        except PlatformUnavailable as error:
            run.detail = error.detail
            if await self._wait_to_retry(run, MAX_READ_ATTEMPTS):
                return RunEvent.NO_REPLY
            return RunEvent.DEADLINE_EXCEEDED
        return RunEvent.FETCHED

    async def _wait_to_retry(
        self, run: LocalRun, max_attempts: int | None = None
    ) -> bool:
        """Count a retry and wait before it; return False if none remains.

        All retries of a drive count towards ``max_attempts``, whatever their
        cause.  The first wait is 2 * BASE_BACKOFF_S.
        """
        run.retries += 1
        if max_attempts is not None and run.retries >= max_attempts:
            return False
        backoff_s = min(
            MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** min(run.retries, 10)
        )
        if self._clock.now() + backoff_s >= run.expires_at:
            return False
        await asyncio.sleep(backoff_s)
        return True


def to_holder_query(run: LocalRun, now: float) -> PeerRunOnce:
    """Return the query for the holder of a run."""
    record = run.record
    return PeerRunOnce(
        run.team,
        run.key,
        record.record.attempt if record is not None else "",
        run.progress.intent.value,
        run.priority,
        max(0.0, run.expires_at - now) * 1000,
        run.fingerprint,
        run.request,
    )
