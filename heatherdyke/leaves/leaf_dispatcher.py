"""Runs the parts of searches at the leaves whose home is this instance."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine

from heatherdyke.clock import Clock
from heatherdyke.component import ConfigView
from heatherdyke.component import MembershipView
from heatherdyke.config.index import ConfigIndexCache
from heatherdyke.config.model import LeafConfig
from heatherdyke.errors import TransportError
from heatherdyke.leaves.concurrency_limit import ConcurrencyLimit
from heatherdyke.leaves.work import CancelWork
from heatherdyke.leaves.work import LeafListed
from heatherdyke.leaves.work import LeafWork
from heatherdyke.leaves.work import RejectIfQueued
from heatherdyke.leaves.work import SubmitWork
from heatherdyke.leaves.work import WakeUp
from heatherdyke.leaves.work import WorkerPolicy
from heatherdyke.leaves.worker import LeafWorker
from heatherdyke.mechanisms import Mechanism
from heatherdyke.membership.lease_timing import SHORT_WORK_S
from heatherdyke.messages import Item
from heatherdyke.messages import LeafAnswer
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRun
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import LeafSearch
from heatherdyke.messages import Part
from heatherdyke.messages import PartRequest
from heatherdyke.messages import PartState
from heatherdyke.messages import PeerCancel
from heatherdyke.messages import PeerParts
from heatherdyke.messages import PeerSearch
from heatherdyke.search.hedging import LatencyQuantile
from heatherdyke.search.merge import merge_items
from heatherdyke.search.observer import SearchObserver
from heatherdyke.search.part_collector import PartCollector
from heatherdyke.search.part_report import items_of
from heatherdyke.search.part_report import to_part
from heatherdyke.settings import Settings
from heatherdyke.usage.leaf_level_cache import LeafLevel
from heatherdyke.usage.leaf_level_cache import LeafLevelCache

REPLACED_CHECK_INTERVAL_S = 0.02
MEDIAN_QUANTILE = 0.5
MEDIAN_STEP = 0.1


class LeafDispatcher:
    """Sends searches and runs to the leaves whose home is this instance."""

    def __init__(
        self,
        settings: Settings,
        config: ConfigView,
        members: MembershipView,
        observer: SearchObserver,
        levels: LeafLevelCache,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._config = config
        self._index = ConfigIndexCache(config)
        self._members = members
        self._observer = observer
        self._levels = levels
        self._clock = clock
        self._worker_by_leaf: dict[str, LeafWorker] = {}
        self._replaced: list[LeafWorker] = []
        self._task_by_worker: dict[LeafWorker, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()
        self._median_latency = LatencyQuantile(
            MEDIAN_QUANTILE, step=MEDIAN_STEP
        )
        self._has_representative = False
        self._works_by_request: dict[str, set[LeafWork]] = {}

    @property
    def running(self) -> int:
        """Return how many searches and runs are at leaves."""
        workers = [*self._worker_by_leaf.values(), *self._replaced]
        return sum(worker.running for worker in workers)

    def max_work_s(self, leaf_id: str) -> float:
        """Return the longest time that configured work takes at the leaf."""
        run_s = self._index.current().max_run_s_by_leaf.get(leaf_id, 0.0)
        return max(SHORT_WORK_S, run_s)

    def levels(self) -> list[LeafLevel]:
        """Return the concurrency levels of this home's leaves."""
        return [
            LeafLevel(leaf, w.limit.level, w.limit.incarnation)
            for leaf, w in self._worker_by_leaf.items()
            if self._may_serve(leaf, w.config)
        ]

    def busy_leaves(self) -> set[str]:
        """Return the ids of leaves at which this instance has work."""
        workers = [*self._worker_by_leaf.values(), *self._replaced]
        return {worker.leaf_id for worker in workers if worker.running}

    @property
    def worker_by_leaf(self) -> dict[str, LeafWorker]:
        """Return the workers by leaf id."""
        return self._worker_by_leaf

    async def search(self, group: PeerSearch) -> AsyncIterator[PeerParts]:
        """Search a group of shards and yield their parts as they complete.

        The first message is sent when all parts are complete or
        ``report_after_ms`` has passed, the others as more parts complete.
        """
        self._observer.observe_clock(group.clock)
        self._observer.parts_received(group)
        collector = PartCollector(self._clock)
        parts = [self._submit(group, part, collector) for part in group.parts]
        refused = [part for part in parts if isinstance(part, Part)]
        works = {work for work in parts if isinstance(work, LeafWork)}
        self._works_by_request[group.request_id] = works
        deadline = self._clock.now() + group.remaining_ms / 1000
        report_at = self._clock.now() + group.report_after_ms / 1000
        try:
            done = await collector.collect(len(works), report_at)
            self._reject_movable(group, works)
            remaining = len(works) - len(done)
            yield self._build_message(group, refused, done, last=not remaining)
            while remaining:
                done = await collector.collect(1, deadline)
                remaining -= len(done)
                last = not remaining or not done
                yield self._build_message(group, [], done, last)
                if last:
                    break
        finally:
            self._works_by_request.pop(group.request_id, None)
            self._cancel_works(works)

    def _reject_movable(self, group: PeerSearch, works: set[LeafWork]) -> None:
        """Request rejection of unsent parts that have another replica."""
        movable = {part.shard for part in group.parts if part.movable}
        for work in works:
            is_queued = work.outcome is None and not work.sent
            if is_queued and work.request.shard in movable:
                worker = self._worker_by_leaf[work.leaf_id]
                worker.inbox.put_nowait(RejectIfQueued(work))

    async def run_once(
        self, leaf_id: str, request: LeafRun, priority: int
    ) -> LeafRunAnswer | LeafRefusal:
        """Send a run to the leaf, at most once.

        Raises TransportError; its ``sent`` tells whether it may have run.
        """
        worker = self._find_worker(leaf_id)
        if worker is None:
            return LeafRefusal(request.request_id, request.shard, "not_home")
        collector = PartCollector(self._clock)
        now = self._clock.now()
        expires_at = now + request.remaining_ms / 1000
        work = LeafWork(
            leaf_id, request, priority, now, expires_at, collector.put
        )
        worker.inbox.put_nowait(SubmitWork(work))
        try:
            done = await collector.collect(1, expires_at + 1.0)
        finally:
            if not work.sent:
                worker.inbox.put_nowait(CancelWork(work))
        if not done:
            raise TransportError(
                f"leaf {leaf_id} did not respond by the deadline",
                sent=work.sent,
            )
        if isinstance(work.outcome, TransportError):
            raise work.outcome
        if isinstance(work.outcome, LeafRefusal) and not work.sent:
            raise TransportError(
                f"not sent to leaf {leaf_id}: {work.outcome.kind}",
                sent=False,
            )
        return work.outcome

    def cancel(self, message: PeerCancel) -> None:
        """Cancel shards of a search whose results are no longer needed."""
        shards = set(message.shards)
        works = self._works_by_request.get(message.request_id, set())
        self._cancel_works({w for w in works if w.request.shard in shards})

    def handle_leaf_state(
        self, leaf_id: str, leaving: bool, incarnation: str
    ) -> None:
        """Apply the leaf's state in the platform's instance list."""
        worker = self._worker_by_leaf.get(leaf_id)
        if worker is not None:
            worker.inbox.put_nowait(LeafListed(leaving, incarnation))

    def stop_workers(self) -> None:
        """Stop all workers and close their connections."""
        for task in self._tasks:
            task.cancel()

    def _submit(
        self, group: PeerSearch, part: PartRequest, collector: "PartCollector"
    ) -> LeafWork | Part:
        worker = self._find_worker(part.leaf)
        if worker is None:
            return Part(part.shard, part.leaf, PartState.NOT_HOME)
        request = LeafSearch(
            group.request_id,
            part.shard,
            group.snapshot,
            group.query,
            group.limit,
            group.remaining_ms,
            self._settings.name,
        )
        now = self._clock.now()
        expires_at = now + group.remaining_ms / 1000
        uses_urgency = self._settings.is_enabled(Mechanism.URGENCY)
        work = LeafWork(
            part.leaf,
            request,
            group.priority if uses_urgency else 0,
            now,
            expires_at,
            collector.put,
        )
        worker.inbox.put_nowait(SubmitWork(work))
        return work

    def _find_worker(self, leaf_id: str) -> LeafWorker | None:
        config = self._index.current().leaf_by_id.get(leaf_id)
        if config is None or not self._may_serve(leaf_id, config):
            return None
        worker = self._worker_by_leaf.get(leaf_id)
        if worker is None or worker.config != config:
            worker = self._start_or_replace_worker(leaf_id, config)
        return worker

    def _may_serve(self, leaf_id: str, config: LeafConfig) -> bool:
        is_enabled = self._settings.is_enabled
        if is_enabled(Mechanism.ZONE_OUT) and self._may_be_taken_out(
            config.zone
        ):
            return False
        if not is_enabled(Mechanism.HOME_ROUTING):
            return True
        return self._members.is_home(leaf_id, config.zone)

    def _may_be_taken_out(self, zone: str) -> bool:
        """Tell whether the zone is taken out or may be.

        It may be while the configuration is not up to date, as after a pause.
        """
        return self._config.zone_is_out(zone) or not self._config.is_up_to_date

    def _start_or_replace_worker(
        self, leaf_id: str, config: LeafConfig
    ) -> LeafWorker:
        """Start the leaf's worker; a previous one ends when it is idle."""
        is_enabled = self._settings.is_enabled
        limit = ConcurrencyLimit(
            config.slots,
            config.cold_slots,
            config.cold_searches,
            is_enabled(Mechanism.COLD_RAMP),
        )
        cached = self._levels.find(leaf_id, self._clock.now())
        if cached is not None:
            limit.restore(cached.level, cached.incarnation)
        policy = WorkerPolicy(
            is_home=lambda: (
                worker not in self._replaced
                and self._may_serve(leaf_id, config)
            ),
            slots_allowed=lambda work_s: self._slots_allowed_to_worker(
                worker, work_s
            ),
            typical_latency_s=lambda: self._median_latency.value_s,
            record_latency=self._observe_latency,
            silence_timeout=is_enabled(Mechanism.SILENCE_TIMEOUT),
            match_parts=is_enabled(Mechanism.PART_MATCH),
            honour_drain=is_enabled(Mechanism.LEAF_DRAIN),
            observer=self._observer,
        )
        worker = LeafWorker(leaf_id, config, limit, policy, self._clock)
        previous = self._worker_by_leaf.get(leaf_id)
        if previous is not None:
            self._replaced.append(previous)
            self._start_task(self._end_when_idle(previous))
        self._worker_by_leaf[leaf_id] = worker
        self._task_by_worker[worker] = self._start_task(worker.run())
        return worker

    def _start_task(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _end_when_idle(self, worker: LeafWorker) -> None:
        """Stop a worker whose leaf's configuration changed, once it is idle.

        Its queued work is refused, so that it can be sent again.  Until its
        work in progress ends, that work counts against the slots of the
        worker that replaced it.
        """
        worker.inbox.put_nowait(WakeUp())
        while worker.running or not worker.inbox.empty():
            await asyncio.sleep(REPLACED_CHECK_INTERVAL_S)
        self._replaced.remove(worker)
        self._task_by_worker.pop(worker).cancel()

    def _slots_allowed_to_worker(
        self, worker: LeafWorker, work_s: float
    ) -> int:
        """Return the allowed slots minus those that replaced workers use."""
        if worker in self._replaced:
            return 0
        allowed = self._slots_allowed_at_leaf(
            worker.leaf_id, worker.config, work_s
        )
        in_use = sum(
            previous.running
            for previous in self._replaced
            if previous.leaf_id == worker.leaf_id
        )
        return max(0, allowed - in_use)

    def _observe_latency(self, took_s: float, is_representative: bool) -> None:
        """Add a latency to the median.

        Only representative ones are added, or all until the first of them.
        """
        self._has_representative = (
            self._has_representative or is_representative
        )
        if is_representative or not self._has_representative:
            self._median_latency.add(took_s)

    def _slots_allowed_at_leaf(
        self, leaf_id: str, config: LeafConfig, work_s: float
    ) -> int:
        if self._settings.is_enabled(Mechanism.HOME_ROUTING):
            return self._members.slots_allowed(
                leaf_id, config.slots, config.zone, work_s
            )
        return max(1, config.slots // max(1, len(self._members.members())))

    def _cancel_works(self, works: set[LeafWork]) -> None:
        for work in works:
            if work.outcome is None:
                worker = self._worker_by_leaf.get(work.leaf_id)
                if worker is not None:
                    worker.inbox.put_nowait(CancelWork(work))

    def _build_message(
        self,
        group: PeerSearch,
        refused: list[Part],
        done: list[LeafWork],
        last: bool,
    ) -> PeerParts:
        items: list[Item] = []
        parts = list(refused)
        for work in done:
            parts.append(to_part(work))
            if isinstance(work.outcome, LeafAnswer):
                items.extend(items_of(work.outcome))
        merged = merge_items(items, group.limit)
        stamp = self._observer.stamp()
        return PeerParts(group.request_id, parts, merged, last, stamp)
