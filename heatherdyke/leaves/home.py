"""The home of leaves: runs parts of searches and reports them in groups."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine

from heatherdyke.clock import Clock
from heatherdyke.component import ConfigView
from heatherdyke.component import MembershipView
from heatherdyke.config.index import ConfigIndexCache
from heatherdyke.config.model import LeafConfig
from heatherdyke.errors import TransportError
from heatherdyke.leaves.limit import LeafLimit
from heatherdyke.leaves.work import GiveBack
from heatherdyke.leaves.work import LeafWork
from heatherdyke.leaves.work import ListedAs
from heatherdyke.leaves.work import Submit
from heatherdyke.leaves.work import Wake
from heatherdyke.leaves.work import Withdraw
from heatherdyke.leaves.work import WorkerPolicy
from heatherdyke.leaves.worker import LeafWorker
from heatherdyke.mechanisms import Mechanism
from heatherdyke.membership.lease_terms import SHORT_WORK_S
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
from heatherdyke.usage.level_book import LeafLevel
from heatherdyke.usage.level_book import LevelBook

REPLACED_CHECK_S = 0.02
MEDIAN = 0.5
MEDIAN_STEP = 0.1


class Home:
    """Does the searches of the leaves whose home this instance is."""

    def __init__(
        self,
        settings: Settings,
        config: ConfigView,
        members: MembershipView,
        observer: SearchObserver,
        levels: LevelBook,
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
        self._median = LatencyQuantile(MEDIAN, step=MEDIAN_STEP)
        self._seen_usual = False
        self._works_by_request: dict[str, set[LeafWork]] = {}

    @property
    def running(self) -> int:
        """Return how many searches and runs are at leaves."""
        workers = [*self._worker_by_leaf.values(), *self._replaced]
        return sum(worker.running for worker in workers)

    def longest_work_s(self, leaf_id: str) -> float:
        """Return how long work may last at the leaf, under the config."""
        run_s = self._index.current().run_s_by_leaf.get(leaf_id, 0.0)
        return max(SHORT_WORK_S, run_s)

    def levels(self) -> list[LeafLevel]:
        """Return how warm the leaves are whose home this instance is."""
        return [
            LeafLevel(leaf, w.limit.level, w.limit.incarnation)
            for leaf, w in self._worker_by_leaf.items()
            if self._may_serve(leaf, w.config)
        ]

    def leaves_at_work(self) -> set[str]:
        """Return the ids of leaves at which this instance has work."""
        workers = [*self._worker_by_leaf.values(), *self._replaced]
        return {worker.leaf_id for worker in workers if worker.running}

    @property
    def worker_by_leaf(self) -> dict[str, LeafWorker]:
        """Return the workers by leaf id."""
        return self._worker_by_leaf

    async def search(self, group: PeerSearch) -> AsyncIterator[PeerParts]:
        """Search a group of shards and yield their parts as they end.

        The first message comes when all parts are done or
        ``report_after_ms`` has passed, the others as parts follow.
        """
        self._observer.hear(group.clock)
        self._observer.parts_taken(group)
        collector = PartCollector(self._clock)
        parts = [self._start(group, part, collector) for part in group.parts]
        refused = [part for part in parts if isinstance(part, Part)]
        works = {work for work in parts if isinstance(work, LeafWork)}
        self._works_by_request[group.request_id] = works
        deadline = self._clock.now() + group.remaining_ms / 1000
        report_at = self._clock.now() + group.report_after_ms / 1000
        try:
            done = await collector.collect(len(works), report_at)
            self._give_back_movable(group, works)
            left = len(works) - len(done)
            yield self._report(group, refused, done, last=not left)
            while left:
                done = await collector.collect(1, deadline)
                left -= len(done)
                last = not left or not done
                yield self._report(group, [], done, last)
                if last:
                    break
        finally:
            self._works_by_request.pop(group.request_id, None)
            self._withdraw(works)

    def _give_back_movable(
        self, group: PeerSearch, works: set[LeafWork]
    ) -> None:
        """Offer unsent parts that have another replica back."""
        movable = {part.shard for part in group.parts if part.movable}
        for work in works:
            waits = work.outcome is None and not work.sent
            if waits and work.question.shard in movable:
                worker = self._worker_by_leaf[work.leaf_id]
                worker.inbox.put_nowait(GiveBack(work))

    async def run_once(
        self, leaf_id: str, question: LeafRun, priority: int
    ) -> LeafRunAnswer | LeafRefusal:
        """Send a run to the leaf, once.

        Raises TransportError whose ``sent`` tells if it may have run.
        """
        worker = self._find_worker(leaf_id)
        if worker is None:
            return LeafRefusal(question.request_id, question.shard, "not_home")
        collector = PartCollector(self._clock)
        now = self._clock.now()
        expires_at = now + question.remaining_ms / 1000
        work = LeafWork(
            leaf_id, question, priority, now, expires_at, collector.take
        )
        worker.inbox.put_nowait(Submit(work))
        try:
            done = await collector.collect(1, expires_at + 1.0)
        finally:
            if not work.sent:
                worker.inbox.put_nowait(Withdraw(work))
        if not done:
            raise TransportError("the leaf gave no answer", sent=work.sent)
        if isinstance(work.outcome, TransportError):
            raise work.outcome
        if isinstance(work.outcome, LeafRefusal) and not work.sent:
            raise TransportError(
                f"leaf {leaf_id} was not asked: {work.outcome.kind}",
                sent=False,
            )
        return work.outcome

    def cancel(self, message: PeerCancel) -> None:
        """Withdraw shards of a search that are no longer wanted."""
        shards = set(message.shards)
        works = self._works_by_request.get(message.request_id, set())
        self._withdraw({w for w in works if w.question.shard in shards})

    def hear_leaf_state(
        self, leaf_id: str, leaving: bool, incarnation: str
    ) -> None:
        """Take in what the platform's list says of a leaf."""
        worker = self._worker_by_leaf.get(leaf_id)
        if worker is not None:
            worker.inbox.put_nowait(ListedAs(leaving, incarnation))

    def stop_workers(self) -> None:
        """End all workers and their connections."""
        for task in self._tasks:
            task.cancel()

    def _start(
        self, group: PeerSearch, part: PartRequest, collector: "PartCollector"
    ) -> LeafWork | Part:
        worker = self._find_worker(part.leaf)
        if worker is None:
            return Part(part.shard, part.leaf, PartState.NOT_HOME)
        question = LeafSearch(
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
            question,
            group.priority if uses_urgency else 0,
            now,
            expires_at,
            collector.take,
        )
        worker.inbox.put_nowait(Submit(work))
        return work

    def _find_worker(self, leaf_id: str) -> LeafWorker | None:
        config = self._index.current().leaf_by_id.get(leaf_id)
        if config is None or not self._may_serve(leaf_id, config):
            return None
        worker = self._worker_by_leaf.get(leaf_id)
        if worker is None or worker.config != config:
            worker = self._start_worker(leaf_id, config)
        return worker

    def _may_serve(self, leaf_id: str, config: LeafConfig) -> bool:
        is_enabled = self._settings.is_enabled
        if is_enabled(Mechanism.ZONE_OUT) and self._may_be_out(config.zone):
            return False
        if not is_enabled(Mechanism.HOME_ROUTING):
            return True
        return self._members.is_home(leaf_id, config.zone)

    def _may_be_out(self, zone: str) -> bool:
        """Tell whether the zone is out, or may be since a pause."""
        return self._config.zone_is_out(zone) or not self._config.is_settled

    def _start_worker(self, leaf_id: str, config: LeafConfig) -> LeafWorker:
        is_enabled = self._settings.is_enabled
        limit = LeafLimit(
            config.slots,
            config.cold_slots,
            config.cold_searches,
            is_enabled(Mechanism.COLD_RAMP),
        )
        heard = self._levels.find(leaf_id, self._clock.now())
        if heard is not None:
            limit.resume(heard.level, heard.incarnation)
        policy = WorkerPolicy(
            is_home=lambda: (
                worker not in self._replaced
                and self._may_serve(leaf_id, config)
            ),
            slots_allowed=lambda work_s: self._slots_left(worker, work_s),
            reference_s=lambda: self._median.value_s,
            observe_latency=self._observe_latency,
            silence_timeout=is_enabled(Mechanism.SILENCE_TIMEOUT),
            match_parts=is_enabled(Mechanism.PART_MATCH),
            heed_drain=is_enabled(Mechanism.LEAF_DRAIN),
            observer=self._observer,
        )
        worker = LeafWorker(leaf_id, config, limit, policy, self._clock)
        former = self._worker_by_leaf.get(leaf_id)
        if former is not None:
            self._replaced.append(former)
            self._start_task(self._end_when_idle(former))
        self._worker_by_leaf[leaf_id] = worker
        self._task_by_worker[worker] = self._start_task(worker.run())
        return worker

    def _start_task(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _end_when_idle(self, worker: LeafWorker) -> None:
        """End a worker whose leaf was edited once its work has ended.

        Its queue is refused, to be asked for again; until its work ends it
        counts against the slots of the worker that took its place.
        """
        worker.inbox.put_nowait(Wake())
        while worker.running or not worker.inbox.empty():
            await asyncio.sleep(REPLACED_CHECK_S)
        self._replaced.remove(worker)
        self._task_by_worker.pop(worker).cancel()

    def _slots_left(self, worker: LeafWorker, work_s: float) -> int:
        """Return the slots allowed less those that former workers use."""
        if worker in self._replaced:
            return 0
        allowed = self._slots_allowed(worker.leaf_id, worker.config, work_s)
        in_use = sum(
            former.running
            for former in self._replaced
            if former.leaf_id == worker.leaf_id
        )
        return max(0, allowed - in_use)

    def _observe_latency(self, took_s: float, usual: bool) -> None:
        """Move the usual time by warm leaves, or by all until one is."""
        self._seen_usual = self._seen_usual or usual
        if usual or not self._seen_usual:
            self._median.add(took_s)

    def _slots_allowed(
        self, leaf_id: str, config: LeafConfig, work_s: float
    ) -> int:
        if self._settings.is_enabled(Mechanism.HOME_ROUTING):
            return self._members.slots_allowed(
                leaf_id, config.slots, config.zone, work_s
            )
        return max(1, config.slots // max(1, len(self._members.members())))

    def _withdraw(self, works: set[LeafWork]) -> None:
        for work in works:
            if work.outcome is None:
                leaf = self._worker_by_leaf.get(work.leaf_id)
                if leaf is not None:
                    leaf.inbox.put_nowait(Withdraw(work))

    def _report(
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
