"""The task that owns all work for one leaf, on the leaf's home instance.

Other tasks send it messages.  It decides what to send and when, from the
queue, the concurrency limit and the connection pool.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import replace

from heatherdyke.clock import Clock
from heatherdyke.config.model import LeafConfig
from heatherdyke.errors import ConnectionSilent
from heatherdyke.errors import TransportError
from heatherdyke.leaves.client import LeafConnection
from heatherdyke.leaves.concurrency_limit import ConcurrencyLimit
from heatherdyke.leaves.connection_pool import LeafConnectionPool
from heatherdyke.leaves.connection_task import RESPONSE_GRACE_S
from heatherdyke.leaves.connection_task import Closed
from heatherdyke.leaves.connection_task import ConnectionTask
from heatherdyke.leaves.connection_task import Finished
from heatherdyke.leaves.connection_task import Opened
from heatherdyke.leaves.queue import LeafQueue
from heatherdyke.leaves.work import CancelWork
from heatherdyke.leaves.work import LeafListed
from heatherdyke.leaves.work import LeafWork
from heatherdyke.leaves.work import RejectIfQueued
from heatherdyke.leaves.work import SubmitWork
from heatherdyke.leaves.work import WakeUp
from heatherdyke.leaves.work import WorkerPolicy
from heatherdyke.leaves.work import refuse
from heatherdyke.membership.lease_timing import SHORT_WORK_S
from heatherdyke.messages import LeafAnswer
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRun
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import LeafSearch

MIN_SHARE_OF_TYPICAL_LATENCY = 0.5
MIN_LOAD_TO_REJECT = 2.0
MIN_REMAINING_TO_CANCEL_S = 0.1
# While work is queued, limits and leases are checked again this often.
RECHECK_INTERVAL_S = 0.02
MIN_WAKE_UP_DELAY_S = 0.001


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
        "_connections",
        "_connection_by_work",
        "_cancel_tasks",
        "_draining",
        "_drained_incarnation",
        "_reported_cold_starts",
    )

    def __init__(
        self,
        leaf_id: str,
        config: LeafConfig,
        limit: ConcurrencyLimit,
        policy: WorkerPolicy,
        clock: Clock,
    ) -> None:
        self.leaf_id = leaf_id
        self.config = config
        self.limit = limit
        self.inbox: asyncio.Queue = asyncio.Queue()
        self._policy = policy
        self._clock = clock
        self._queue = LeafQueue()
        self._connections = LeafConnectionPool(
            config, policy, self.inbox, clock
        )
        self._connection_by_work: dict[LeafWork, ConnectionTask] = {}
        self._cancel_tasks: set[asyncio.Task] = set()
        self._draining = False
        self._drained_incarnation = ""
        self._reported_cold_starts = 0

    @property
    def load(self) -> float:
        """Return the queued and running work relative to the limit."""
        allowed = max(1, self.limit.level)
        return (len(self._queue) + len(self._connection_by_work)) / allowed

    @property
    def running(self) -> int:
        """Return how many pieces of work are running at the leaf."""
        return len(self._connection_by_work)

    @property
    def connections(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._connections)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            while True:
                self._handle(await self.inbox.get())
                while not self.inbox.empty():
                    self._handle(self.inbox.get_nowait())
                self._process_queue()
        finally:
            self._connections.close_all()

    def _handle(self, message: object) -> None:
        match message:
            case SubmitWork(work):
                self._enqueue(work)
            case CancelWork(work):
                self._handle_cancel(work)
            case RejectIfQueued(work):
                self._reject_if_queued(work)
            case Finished(connection, work):
                self._handle_finished(connection, work)
            case Opened(connection):
                self._connections.release(connection)
            case Closed(connection, refused):
                self._handle_closed(connection, refused)
            case LeafListed(leaving, incarnation):
                self._handle_listing(leaving, incarnation)

    def _enqueue(self, work: LeafWork) -> None:
        if self._draining:
            self._refuse(work, "draining")
            return
        self._queue.push(work)

    def _handle_cancel(self, work: LeafWork) -> None:
        """Cancel the work, unless the leaf should finish it.

        A cold leaf finishes its running work, because that warms it up.
        Work near its deadline would end before the cancellation arrives.
        """
        if work in self._connection_by_work:
            remaining_s = work.expires_at - self._clock.now()
            if self.limit.is_warm and remaining_s > MIN_REMAINING_TO_CANCEL_S:
                self._start_task(self._cancel(work))
            return
        work.expires_at = 0.0

    async def _cancel(self, work: LeafWork) -> None:
        """Cancel the work at the leaf and close an unresponsive connection.

        A working connection delivers the leaf's refusal of the cancelled
        work.  One without it after ``RESPONSE_GRACE_S`` is unresponsive.
        """
        if not await self._cancel_at_leaf(work):
            return
        await asyncio.sleep(RESPONSE_GRACE_S)
        connection = self._connection_by_work.get(work)
        if connection is not None and self._policy.silence_timeout:
            self._connections.close(connection)
            self._free_slot(work)
            self._close_unverified_idle()

    def _reject_if_queued(self, work: LeafWork) -> None:
        if (
            work.sent
            or work.outcome is not None
            or self.load < MIN_LOAD_TO_REJECT
        ):
            return
        self._queue.remove(work)
        self._refuse(work, "busy")

    async def _cancel_at_leaf(self, work: LeafWork) -> bool:
        """Cancel the work at the leaf; tell whether the leaf confirmed it."""
        try:
            connection = await LeafConnection.open(self.config.address)
        except TransportError:
            return False
        try:
            await connection.cancel(
                work.request.request_id, work.request.shard
            )
        except TransportError:
            return False
        finally:
            connection.close()
        return True

    def _close_unverified_idle(self) -> None:
        """Close the idle connections, which may be unresponsive as well.

        Those stay open that opened or responded after the response on the
        silent one was due; a response before shows nothing about the time
        since, nor about other connections.
        """
        due_at = self._clock.now() - RESPONSE_GRACE_S
        self._connections.close_idle(due_at)

    def _free_slot(self, work: LeafWork) -> None:
        self._connection_by_work.pop(work, None)
        self.inbox.put_nowait(WakeUp())

    def _start_task(self, coroutine: Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    def _process_queue(self) -> None:
        now = self._clock.now()
        if self._queue and not self._policy.is_home():
            self._refuse_queued("not_home")
        self._connections.ensure_open(self.running, len(self._queue))
        limit = self.limit.allowed(now)
        while self._queue:
            work = self._queue.first()
            if self._is_too_late(work, now):
                self._queue.pop()
                self._refuse(work, "deadline")
                continue
            allowed = self._policy.slots_allowed(_max_work_s(work, now))
            if not allowed and isinstance(work.request, LeafSearch):
                self._refuse_queued("handing_over")
                break
            if (
                len(self._connection_by_work) >= min(limit, allowed)
                or not self._connections.has_idle
            ):
                break
            self._queue.pop()
            self._send(work, now)
        self._schedule_wake_up(now)

    def _is_too_late(self, work: LeafWork, now: float) -> bool:
        """Tell whether the work is unlikely to finish by its deadline."""
        min_duration_s = 0.0
        if isinstance(work.request, LeafSearch):
            min_duration_s = (
                MIN_SHARE_OF_TYPICAL_LATENCY * self._policy.typical_latency_s()
            )
        return work.expires_at <= now + min_duration_s

    def _send(self, work: LeafWork, now: float) -> None:
        remaining_ms = _max_work_s(work, now) * 1000
        work.request = _with_remaining(work.request, remaining_ms)
        work.sent = True
        work.started_at = now
        connection = self._connections.acquire()
        self._connection_by_work[work] = connection
        connection.send(work)

    def _handle_finished(
        self, connection: ConnectionTask, work: LeafWork
    ) -> None:
        now = self._clock.now()
        outcome = work.outcome
        if not isinstance(outcome, TransportError):
            self._connections.release(connection)
            self._connection_by_work.pop(work, None)
        else:
            self._record_failure(work, outcome)
        if isinstance(outcome, (LeafAnswer, LeafRunAnswer)):
            self._record_answer(work, outcome, now)
        elif isinstance(outcome, LeafRefusal):
            self._record_refusal(work, outcome, now)
        self._deliver(work)

    def _record_answer(
        self, work: LeafWork, answer: LeafAnswer | LeafRunAnswer, now: float
    ) -> None:
        took_s = now - work.started_at
        if isinstance(answer, LeafAnswer):
            is_representative = self.limit.record_answer(
                answer.incarnation, took_s, self._policy.typical_latency_s()
            )
            self._policy.record_latency(took_s, is_representative)
            self._policy.observer.leaf_answered(self.leaf_id, took_s)
            self._report_cold("slow answers or a new incarnation")
            self._record_draining(answer.draining, answer.incarnation)

    def _record_refusal(
        self, work: LeafWork, refusal: LeafRefusal, now: float
    ) -> None:
        if refusal.kind == "shed":
            self.limit.record_shed(
                now, refusal.incarnation, refusal.retry_after_ms / 1000
            )
            self._policy.observer.leaf_shed(
                self.leaf_id, self.config.zone, self.limit.level
            )
        elif refusal.kind == "draining":
            self._record_draining(True, refusal.incarnation)

    def _record_failure(self, work: LeafWork, error: TransportError) -> None:
        """Record a failed connection.

        After a silent one the leaf may still be working.  The slot is then
        occupied until a cancellation has been attempted.
        """
        if isinstance(error, ConnectionSilent):
            self._policy.observer.connection_silent(
                self.leaf_id, self.config.zone, work.request.request_id
            )
            self._close_unverified_idle()
            self._start_task(self._free_after_cancel(work))
            return
        self._connection_by_work.pop(work, None)
        self.limit.reset_to_cold()
        self._report_cold("a connection broke")

    def _report_cold(self, cause: str) -> None:
        if self.limit.cold_starts > self._reported_cold_starts:
            self._reported_cold_starts = self.limit.cold_starts
            self._policy.observer.leaf_cold(
                self.leaf_id, self.config.zone, cause
            )

    async def _free_after_cancel(self, work: LeafWork) -> None:
        await self._cancel_at_leaf(work)
        self._free_slot(work)

    def _handle_listing(self, leaving: bool, incarnation: str) -> None:
        """Apply the platform's instance list, which lags behind the leaf.

        It must not end the draining that this incarnation has announced.
        """
        if leaving:
            if self.limit.incarnation in ("", incarnation):
                self._record_draining(True, incarnation)
        elif incarnation != self._drained_incarnation:
            self._draining = False

    def _record_draining(self, draining: bool, incarnation: str) -> None:
        if draining and self._policy.honour_drain and not self._draining:
            self._draining = True
            self._drained_incarnation = incarnation
            self._policy.observer.leaf_draining(self.leaf_id, self.config.zone)
            self._refuse_queued("draining")

    def _refuse_queued(self, kind: str) -> None:
        for work in self._queue.pop_all():
            self._refuse(work, kind)

    def _refuse(self, work: LeafWork, kind: str) -> None:
        work.outcome = refuse(work, kind)
        self._deliver(work)

    def _deliver(self, work: LeafWork) -> None:
        work.took_s = self._clock.now() - work.submitted_at
        work.load = self.load
        work.level = self.limit.level
        work.incarnation = self.limit.incarnation
        work.draining = self._draining
        work.deliver(work)

    def _handle_closed(
        self, connection: ConnectionTask, refused: bool
    ) -> None:
        self._connections.on_closed(connection, refused)
        if refused:
            self.limit.reset_to_cold()
            self._report_cold("a connection was refused")

    def _schedule_wake_up(self, now: float) -> None:
        if not self._queue:
            return
        wake_up_at = min(
            self._queue.first().expires_at, now + RECHECK_INTERVAL_S
        )
        delay_s = max(MIN_WAKE_UP_DELAY_S, wake_up_at - now)
        asyncio.get_running_loop().call_later(
            delay_s, self.inbox.put_nowait, WakeUp()
        )


def _max_work_s(work: LeafWork, now: float) -> float:
    """Return the longest time that the work may take if it is sent now.

    A search gets at most ``SHORT_WORK_S``, whatever its deadline, so that a
    new home of the leaf does not have to wait longer for it.
    """
    remaining_s = work.expires_at - now
    if isinstance(work.request, LeafSearch):
        return min(remaining_s, SHORT_WORK_S)
    return remaining_s


def _with_remaining(
    request: LeafSearch | LeafRun, remaining_ms: float
) -> LeafSearch | LeafRun:
    return replace(request, remaining_ms=remaining_ms)
