"""The task that owns all work on one leaf, at the leaf's home.

Other tasks send it messages; it owns the queue by urgency, the connections
and the limit.  Each connection is a task that owns its socket.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from heapq import heappop
from heapq import heappush

from heatherdyke.clock import Clock
from heatherdyke.config_model import LeafConfig
from heatherdyke.errors import ConnectionSilent
from heatherdyke.errors import TransportError
from heatherdyke.leaf_client import LeafConnection
from heatherdyke.leaf_limit import LeafLimit
from heatherdyke.messages import LeafAnswer
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRun
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import LeafSearch
from heatherdyke.search_observer import SearchObserver

SPARE_CONNECTIONS = 1
MAX_OPENING = 2
REOPEN_DELAY_S = 0.2
ANSWER_GRACE_S = 0.05
SILENCE_FACTOR = 10.0
MIN_SILENCE_S = 0.25

Outcome = LeafAnswer | LeafRefusal | LeafRunAnswer | TransportError


@dataclass(slots=True, eq=False)
class LeafWork:
    """One search or run for a leaf, and where its outcome goes.

    ``deliver`` is called once with the work; ``sent`` tells whether it may
    have reached the leaf.  Times are monotonic seconds.
    """

    leaf_id: str
    question: LeafSearch | LeafRun
    priority: int
    submitted_at: float
    expires_at: float
    deliver: Callable[["LeafWork"], None]
    outcome: Outcome | None = None
    sent: bool = False
    started_at: float = 0.0
    took_s: float = 0.0
    load: float = 0.0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Submit:
    """Asks the worker to do a piece of work."""

    work: LeafWork


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Asks the worker to drop a piece of work, running or not."""

    work: LeafWork


@dataclass(frozen=True, slots=True)
class Finished:
    """A connection reports the outcome of its work."""

    connection: "ConnectionTask"
    work: LeafWork


@dataclass(frozen=True, slots=True)
class Opened:
    """A connection is up and idle."""

    connection: "ConnectionTask"


@dataclass(frozen=True, slots=True)
class Closed:
    """A connection ended, or could not be opened."""

    connection: "ConnectionTask"
    refused: bool


@dataclass(frozen=True, slots=True)
class Wake:
    """Makes the worker look at its queue again."""


@dataclass(frozen=True, slots=True)
class ListedAs:
    """The platform's list says whether this run of the leaf is leaving."""

    leaving: bool
    incarnation: str


@dataclass(slots=True)
class WorkerPolicy:
    """What the home tells its workers to use.

    ``slots_allowed`` is asked immediately before each send, with the
    longest time in seconds that the work may last.
    """

    slots_allowed: Callable[[float], int]
    reference_s: Callable[[], float]
    observe_latency: Callable[[float], None]
    observer: SearchObserver
    silence_timeout: bool = True
    match_parts: bool = True
    heed_drain: bool = True


class ConnectionTask:
    """Owns one socket to the leaf and does one piece of work at a time."""

    __slots__ = ("_address", "_policy", "_worker_inbox", "_inbox", "_clock")

    def __init__(
        self,
        address: str,
        policy: WorkerPolicy,
        worker_inbox: asyncio.Queue,
        clock: Clock,
    ) -> None:
        self._address = address
        self._policy = policy
        self._worker_inbox = worker_inbox
        self._inbox: asyncio.Queue[LeafWork] = asyncio.Queue()
        self._clock = clock

    def give(self, work: LeafWork) -> None:
        """Send the work as soon as the task runs."""
        self._inbox.put_nowait(work)

    async def run(self) -> None:
        """Open the connection and serve until it breaks."""
        refused = True
        connection = None
        try:
            connection = await LeafConnection.open(
                self._address, self._policy.match_parts
            )
            refused = False
            self._worker_inbox.put_nowait(Opened(self))
            while connection.usable:
                work = await self._inbox.get()
                await self._do(connection, work)
        except TransportError:
            pass
        finally:
            if connection is not None:
                connection.close()
            self._worker_inbox.put_nowait(Closed(self, refused))

    async def _do(self, connection: LeafConnection, work: LeafWork) -> None:
        remaining_s = work.expires_at - self._clock.now()
        timeout_s = self._timeout_s(work, remaining_s)
        try:
            work.outcome = await self._ask(connection, work, timeout_s)
        except TransportError as error:
            work.outcome = error
        self._worker_inbox.put_nowait(Finished(self, work))

    async def _ask(
        self, connection: LeafConnection, work: LeafWork, timeout_s: float
    ) -> Outcome:
        if isinstance(work.question, LeafRun):
            return await connection.run(work.question, timeout_s)
        return await connection.search(work.question, timeout_s)

    def _timeout_s(self, work: LeafWork, remaining_s: float) -> float:
        to_deadline_s = max(remaining_s, 0.0) + ANSWER_GRACE_S
        if not self._policy.silence_timeout:
            return to_deadline_s + 60.0
        if isinstance(work.question, LeafRun):
            return to_deadline_s
        usual_s = SILENCE_FACTOR * self._policy.reference_s()
        return min(to_deadline_s, max(MIN_SILENCE_S, usual_s))


class LeafWorker:
    """Sends work to one leaf within its limit, most urgent first."""

    __slots__ = (
        "leaf_id",
        "config",
        "limit",
        "inbox",
        "_policy",
        "_clock",
        "_queue",
        "_sequence",
        "_running",
        "_idle",
        "_opening",
        "_tasks",
        "_draining",
        "_reopen_at",
        "_drained_incarnation",
        "_cold_starts_reported",
    )

    def __init__(
        self,
        leaf_id: str,
        config: LeafConfig,
        limit: LeafLimit,
        policy: WorkerPolicy,
        clock: Clock,
    ) -> None:
        self.leaf_id = leaf_id
        self.config = config
        self.limit = limit
        self.inbox: asyncio.Queue = asyncio.Queue()
        self._policy = policy
        self._clock = clock
        self._queue: list[tuple[int, int, LeafWork]] = []
        self._sequence = 0
        self._running: set[LeafWork] = set()
        self._idle: list[ConnectionTask] = []
        self._opening: set[ConnectionTask] = set()
        self._tasks: dict[ConnectionTask, asyncio.Task] = {}
        self._draining = False
        self._reopen_at = 0.0
        self._drained_incarnation = ""
        self._cold_starts_reported = 0

    @property
    def load(self) -> float:
        """Return the work here over what may be sent at once."""
        allowed = max(1, self.limit.level)
        return (len(self._queue) + len(self._running)) / allowed

    @property
    def running(self) -> int:
        """Return how many pieces of work are at the leaf."""
        return len(self._running)

    @property
    def connections(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._tasks)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            while True:
                self._handle(await self.inbox.get())
                while not self.inbox.empty():
                    self._handle(self.inbox.get_nowait())
                self._pump()
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _handle(self, message: object) -> None:
        match message:
            case Submit(work):
                self._enqueue(work)
            case Withdraw(work):
                self._withdraw(work)
            case Finished(connection, work):
                self._finish(connection, work)
            case Opened(connection):
                self._opening.discard(connection)
                self._idle.append(connection)
            case Closed(connection, refused):
                self._drop(connection, refused)
            case ListedAs(leaving, incarnation):
                self._hear_list(leaving, incarnation)

    def _enqueue(self, work: LeafWork) -> None:
        if self._draining:
            self._refuse(work, "draining")
            return
        self._sequence += 1
        heappush(self._queue, (work.priority, self._sequence, work))

    def _withdraw(self, work: LeafWork) -> None:
        if work in self._running:
            task = asyncio.create_task(self._cancel_at_leaf(work))
            task.add_done_callback(lambda _: None)
            return
        work.expires_at = 0.0

    async def _cancel_at_leaf(self, work: LeafWork) -> None:
        try:
            connection = await LeafConnection.open(self.config.address)
        except TransportError:
            return
        try:
            await connection.cancel(
                work.question.request_id, work.question.shard
            )
        except TransportError:
            pass
        finally:
            connection.close()

    def _pump(self) -> None:
        now = self._clock.now()
        self._ensure_connections(now)
        limit = self.limit.allowed(now)
        while self._queue:
            work = self._queue[0][2]
            if work.expires_at <= now:
                heappop(self._queue)
                self._refuse(work, "deadline")
                continue
            allowed = self._policy.slots_allowed(work.expires_at - now)
            if len(self._running) >= min(limit, allowed) or not self._idle:
                break
            heappop(self._queue)
            self._send(work, now)
        self._wake_later(now)

    def _send(self, work: LeafWork, now: float) -> None:
        remaining_ms = (work.expires_at - now) * 1000
        work.question = _with_remaining(work.question, remaining_ms)
        work.sent = True
        work.started_at = now
        self._running.add(work)
        self._idle.pop().give(work)

    def _finish(self, connection: ConnectionTask, work: LeafWork) -> None:
        now = self._clock.now()
        outcome = work.outcome
        if not isinstance(outcome, TransportError):
            self._idle.append(connection)
            self._running.discard(work)
        else:
            self._count_failure(work, outcome)
        if isinstance(outcome, (LeafAnswer, LeafRunAnswer)):
            self._count_answer(work, outcome, now)
        elif isinstance(outcome, LeafRefusal):
            self._count_refusal(work, outcome, now)
        self._deliver(work)

    def _count_answer(
        self, work: LeafWork, answer: LeafAnswer | LeafRunAnswer, now: float
    ) -> None:
        took_s = now - work.started_at
        if isinstance(answer, LeafAnswer):
            self.limit.succeed(
                answer.incarnation, took_s, self._policy.reference_s()
            )
            self._policy.observe_latency(took_s)
            self._policy.observer.leaf_answered(self.leaf_id, took_s)
            self._report_cold("its answers are slow or of another run")
            self._note_draining(answer.draining, answer.incarnation)

    def _count_refusal(
        self, work: LeafWork, refusal: LeafRefusal, now: float
    ) -> None:
        if refusal.kind == "shed":
            self.limit.shed(
                now, refusal.incarnation, refusal.retry_after_ms / 1000
            )
            self._policy.observer.leaf_shed(
                self.leaf_id, self.config.zone, self.limit.level
            )
        elif refusal.kind == "draining":
            self._note_draining(True, refusal.incarnation)

    def _count_failure(self, work: LeafWork, error: TransportError) -> None:
        """Keep the slot occupied while the leaf may still work."""
        if isinstance(error, ConnectionSilent):
            self._policy.observer.connection_silent(
                self.leaf_id, self.config.zone, work.question.request_id
            )
            self._hold_slot(work)
            return
        self._running.discard(work)
        self.limit.turn_cold()
        self._report_cold("a connection broke")

    def _report_cold(self, cause: str) -> None:
        if self.limit.cold_starts > self._cold_starts_reported:
            self._cold_starts_reported = self.limit.cold_starts
            self._policy.observer.leaf_cold(
                self.leaf_id, self.config.zone, cause
            )

    def _hold_slot(self, work: LeafWork) -> None:
        async def release() -> None:
            await self._cancel_at_leaf(work)
            self._running.discard(work)
            self.inbox.put_nowait(Wake())

        task = asyncio.create_task(release())
        task.add_done_callback(lambda _: None)

    def _hear_list(self, leaving: bool, incarnation: str) -> None:
        """Heed the list, which lags: it may not revive a drained run."""
        if leaving:
            if self.limit.incarnation in ("", incarnation):
                self._note_draining(True, incarnation)
        elif incarnation != self._drained_incarnation:
            self._draining = False

    def _note_draining(self, draining: bool, incarnation: str) -> None:
        if draining and self._policy.heed_drain and not self._draining:
            self._draining = True
            self._drained_incarnation = incarnation
            self._policy.observer.leaf_draining(self.leaf_id, self.config.zone)
            self._refuse_queued()

    def _refuse_queued(self) -> None:
        queued, self._queue = self._queue, []
        for _, _, work in queued:
            self._refuse(work, "draining")

    def _refuse(self, work: LeafWork, kind: str) -> None:
        work.outcome = LeafRefusal(
            work.question.request_id, work.question.shard, kind
        )
        self._deliver(work)

    def _deliver(self, work: LeafWork) -> None:
        work.took_s = self._clock.now() - work.submitted_at
        work.load = self.load
        work.draining = self._draining
        work.deliver(work)

    def _drop(self, connection: ConnectionTask, refused: bool) -> None:
        self._tasks.pop(connection, None)
        self._opening.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if refused:
            self._reopen_at = self._clock.now() + REOPEN_DELAY_S
            self.limit.turn_cold()
            self._report_cold("it refused a connection")

    def _ensure_connections(self, now: float) -> None:
        if now < self._reopen_at:
            return
        busy = len(self._running)
        wanted = min(
            max(1, self.config.connections // 2),
            busy + len(self._queue) + SPARE_CONNECTIONS,
            self.config.slots + SPARE_CONNECTIONS,
        )
        while len(self._tasks) < wanted and len(self._opening) < MAX_OPENING:
            self._open()

    def _open(self) -> None:
        connection = ConnectionTask(
            self.config.address, self._policy, self.inbox, self._clock
        )
        self._opening.add(connection)
        self._tasks[connection] = asyncio.create_task(connection.run())

    def _wake_later(self, now: float) -> None:
        if not self._queue:
            return
        times = [self._queue[0][2].expires_at, now + 0.02]
        delay_s = max(0.001, min(times) - now)
        asyncio.get_running_loop().call_later(
            delay_s, self.inbox.put_nowait, Wake()
        )


def _with_remaining(
    question: LeafSearch | LeafRun, remaining_ms: float
) -> LeafSearch | LeafRun:
    return replace(question, remaining_ms=remaining_ms)
