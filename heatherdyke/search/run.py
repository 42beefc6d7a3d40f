"""One search under way: sends groups of parts and collects them."""

import asyncio
from dataclasses import dataclass

from heatherdyke.errors import ConnectionRefused
from heatherdyke.errors import DeadlineExceeded
from heatherdyke.errors import RunState
from heatherdyke.errors import TransportError
from heatherdyke.mechanisms import Mechanism
from heatherdyke.messages import Item
from heatherdyke.messages import Part
from heatherdyke.messages import PartRequest
from heatherdyke.messages import PartState
from heatherdyke.messages import PeerCancel
from heatherdyke.messages import PeerParts
from heatherdyke.messages import PeerSearch
from heatherdyke.messages import SearchRequest
from heatherdyke.search.context import SearchContext
from heatherdyke.search.coverage import CoverageCount
from heatherdyke.search.merge import merge_items
from heatherdyke.search.plan import SearchPlan
from heatherdyke.search.plan import find_child_leaves
from heatherdyke.search.shard_tries import ShardTries
from heatherdyke.usage.level_book import LeafLevel

RETURN_MARGIN_S = 0.004
MAX_SNAPSHOT_RESTARTS = 2
HOME_SILENCE_FACTOR = 2.0
HOME_SILENCE_EXTRA_S = 0.01
EARLY_DELAYS = 4.0
RETRYABLE = (
    PartState.REFUSED,
    PartState.LOST,
    PartState.NOT_HOME,
    PartState.TRUNCATED,
)


@dataclass(slots=True, eq=False)
class Group:
    """Parts that went to one home, and which have not come back."""

    address: str | None
    pending_leaf_by_shard: dict[str, str]
    restart: int
    hedge_at: float
    hedged: bool = False
    answered: bool = False


@dataclass(frozen=True, slots=True)
class GroupReport:
    """A home's message, or its failure, for the search's task."""

    group: Group
    parts: PeerParts | None
    error: TransportError | None = None


class SearchRun:
    """Works on one search until it is whole, good enough or late."""

    def __init__(
        self,
        context: SearchContext,
        plan: SearchPlan,
        request: SearchRequest,
        request_id: str,
        snapshot: int,
    ) -> None:
        self.snapshot = snapshot
        self.cost = 0
        self._context = context
        self._plan = plan
        self._request = request
        self._request_id = request_id
        self._inbox: asyncio.Queue[GroupReport] = asyncio.Queue()
        self._groups: set[Group] = set()
        self._restarts = 0
        self._newer_snapshot = 0
        self._deadline = 0.0
        self._started_at = 0.0
        self._begin()

    def items(self) -> list[Item]:
        """Return the best items of the shards that answered."""
        return merge_items(self._items, self._request.limit)

    async def work(self, deadline: float) -> CoverageCount:
        """Search until done or ``deadline`` and return what is covered.

        Raises DeadlineExceeded if no shard answered at all.
        """
        self._deadline = deadline - RETURN_MARGIN_S
        self._started_at = self._context.clock.now()
        self._send(list(self._plan.weight_by_shard), hedge=False)
        while self._is_open() and not self._is_enough():
            report = await self._next_report()
            if report is not None:
                self._take(report)
            elif self._context.clock.now() >= self._deadline:
                break
            self._send(self._tries.take_due(self._context.clock.now()), True)
            self._hedge_stragglers()
        self._cancel_rest()
        self._check_answer()
        return self._coverage

    def _begin(self) -> None:
        check = self._context.settings.is_enabled(Mechanism.COVERAGE_CHECK)
        self._coverage = CoverageCount(self._plan.weight_by_shard, check)
        self._items: list[Item] = []
        self._tries = ShardTries(self._plan.leaves_by_shard)

    def _send(self, shards: list[str], hedge: bool) -> None:
        """Ask one more replica of each of the shards."""
        now = self._context.clock.now()
        group_by_address: dict[str | None, dict[str, str]] = {}
        for shard in shards:
            leaf = self._choose(shard)
            if leaf is None:
                continue
            route = self._context.find_route(leaf)
            leaf_by_shard = group_by_address.setdefault(route.address, {})
            leaf_by_shard[shard] = leaf
        hedge_at = now + self._silence_s()
        for address, leaf_by_shard in group_by_address.items():
            group = Group(address, leaf_by_shard, self._restarts, hedge_at)
            group.hedged = hedge
            self._start(group, now)

    def _choose(self, shard: str) -> str | None:
        leaves = self._untried_leaves(shard)
        if not leaves:
            return None
        answering = [
            leaf for leaf in leaves if not self._context.is_home_suspect(leaf)
        ]
        leaf = self._context.choose_leaf(answering or leaves)
        self._tries.start(shard, leaf)
        return leaf

    def _start(self, group: Group, now: float) -> None:
        self._groups.add(group)
        for leaf in group.pending_leaf_by_shard.values():
            self._context.views.start(leaf)
        if not group.hedged:
            self._context.hedges.budget.earn(len(group.pending_leaf_by_shard))
        message = PeerSearch(
            self._request_id,
            self._context.settings.name,
            self.snapshot,
            self._request.query,
            self._plan.urgency.priority,
            max(0.0, self._deadline - now) * 1000,
            self._context.hedges.delay_s() * 1000,
            self._request.limit,
            [
                PartRequest(shard, leaf, self._has_other(shard))
                for shard, leaf in group.pending_leaf_by_shard.items()
            ],
            self._context.observer.stamp(),
        )
        home = group.address or self._context.settings.address
        self._context.observer.parts_sent(message, home, group.hedged)
        self._context.spawn(self._ask(group, message))

    async def _ask(self, group: Group, message: PeerSearch) -> None:
        """Pass a home's messages on to the search's task."""
        if group.address is None:
            reports = self._context.home.search(message)
        else:
            reports = self._context.peers.search(group.address, message)
        try:
            async for parts in reports:
                self._context.observer.hear(parts.clock)
                self._inbox.put_nowait(GroupReport(group, parts))
        except TransportError as error:
            self._inbox.put_nowait(GroupReport(group, None, error))

    async def _next_report(self) -> GroupReport | None:
        if not self._inbox.empty():
            return self._inbox.get_nowait()
        now = self._context.clock.now()
        times = [g.hedge_at for g in self._groups if not g.hedged]
        due_at = self._tries.next_due_at
        if due_at is not None:
            times.append(due_at)
        early_at = self._early_at()
        if early_at > now:
            times.append(early_at)
        until = min([*times, self._deadline])
        try:
            async with asyncio.timeout(max(0.0, until - now)):
                return await self._inbox.get()
        except TimeoutError:
            return None

    def _take(self, report: GroupReport) -> None:
        group = report.group
        if group.restart != self._restarts or group not in self._groups:
            return
        if report.parts is None:
            self._fail(group, report.error)
            return
        self._context.peer_health.note_answer(group.address)
        self._items.extend(report.parts.items)
        for part in report.parts.parts:
            self._take_part(group, part)
        if report.parts.last or not group.pending_leaf_by_shard:
            self._groups.discard(group)
        else:
            group.answered = True
            group.hedge_at = self._context.clock.now()
        self._restart_if_gone()

    def _take_part(self, group: Group, part: Part) -> None:
        group.pending_leaf_by_shard.pop(part.shard, None)
        now = self._context.clock.now()
        self._context.views.finish(part, now)
        level = LeafLevel(part.leaf, part.level, part.incarnation)
        self._context.levels.learn(level, now)
        self.cost += part.asked
        self._tries.finish(part.shard)
        self._coverage.add(part)
        if part.state is PartState.WHOLE:
            self._context.hedges.latency.add(part.leaf_ms / 1000)
        elif part.state is PartState.SPLIT:
            self._ask_children(part)
        elif part.state is PartState.SNAPSHOT_GONE:
            self._note_gone(part)
        elif part.state in RETRYABLE:
            self._retry(group, part)

    def _retry(self, group: Group, part: Part) -> None:
        """Ask another replica for a part that is not whole."""
        now = self._context.clock.now()
        budget = self._context.hedges.budget
        if part.state is PartState.REFUSED and part.asked:
            budget.punish_shed()
        if self._coverage.is_whole(part.shard):
            return
        if part.state is PartState.NOT_HOME:
            self._context.refresh_route(part.leaf, group.address)
            self._tries.follow_home(part.shard, part.leaf, now)
        elif part.asked and not budget.spend():
            return
        elif self._has_other(part.shard):
            self._send([part.shard], hedge=True)
        elif not self._tries.is_open(part.shard):
            self._tries.try_all_again(part.shard, now)

    def _ask_children(self, part: Part) -> None:
        """Ask for the shards that a split made of one.

        Until the configuration declares them, the leaves of the split shard
        are taken to hold them.
        """
        service = part.shard.partition("/")[0]
        index = self._context.index.current()
        parents = self._tries.replicas(part.shard)
        for child in part.children:
            name = child.rpartition("/")[2]
            leaves = find_child_leaves(index, service, name)
            self._tries.add_shard(child, leaves or parents)
        self._send(part.children, hedge=True)

    def _note_gone(self, part: Part) -> None:
        newest = max(part.snapshots, default=0)
        self._newer_snapshot = max(self._newer_snapshot, newest)
        if newest <= self.snapshot:
            self._send([part.shard], hedge=True)

    def _restart_if_gone(self) -> None:
        """Pin a newer snapshot when a leaf has dropped the pinned one."""
        if self._newer_snapshot <= self.snapshot:
            return
        if self._restarts >= MAX_SNAPSHOT_RESTARTS:
            return
        self._cancel_rest()
        self._restarts += 1
        self.snapshot = self._newer_snapshot
        self._context.observer.restarted(self._request_id, self.snapshot)
        self._context.snapshots.learn(self._plan.index, self.snapshot)
        if self._context.settings.is_enabled(Mechanism.SNAPSHOT_PIN):
            self._begin()
            self._send(list(self._plan.weight_by_shard), hedge=False)
            return
        missing = self._coverage.result().missing
        self._tries.restart()
        self._send(missing, hedge=False)

    def _fail(self, group: Group, error: TransportError) -> None:
        self._groups.discard(group)
        now = self._context.clock.now()
        self._context.peer_health.note_failure(group.address, now)
        if isinstance(error, ConnectionRefused):
            self._context.note_refused(group.address)
        for shard, leaf in list(group.pending_leaf_by_shard.items()):
            part = Part(shard, leaf, PartState.LOST, asked=int(error.sent))
            self._take_part(group, part)

    def _hedge_stragglers(self) -> None:
        now = self._context.clock.now()
        for group in list(self._groups):
            if group.hedged or group.hedge_at > now:
                continue
            group.hedged = True
            if not group.answered:
                self._context.peer_health.note_silence(group.address, now)
            self._hedge(group)

    def _hedge(self, group: Group) -> None:
        """Ask other replicas; those of a suspect home cost no budget.

        Its parts are taken for not being worked on.
        """
        now = self._context.clock.now()
        free = self._context.peer_health.is_suspect(group.address, now)
        chosen = []
        for shard in group.pending_leaf_by_shard:
            if self._coverage.is_whole(shard) or not self._has_other(shard):
                continue
            if not free and not self._context.hedges.may_hedge():
                break
            chosen.append(shard)
        if chosen:
            self._send(chosen, hedge=True)

    def _has_other(self, shard: str) -> bool:
        return bool(self._untried_leaves(shard))

    def _untried_leaves(self, shard: str) -> list[str]:
        return [
            leaf
            for leaf in self._context.leaves_in_use(self._tries.untried(shard))
            if self._context.find_route(leaf) is not None
        ]

    def _silence_s(self) -> float:
        delay_s = self._context.hedges.delay_s()
        return HOME_SILENCE_FACTOR * delay_s + HOME_SILENCE_EXTRA_S

    def _is_open(self) -> bool:
        return bool(self._groups) or self._tries.next_due_at is not None

    def _early_at(self) -> float:
        """Return when an answer with the wanted coverage need not wait."""
        delay_s = self._context.hedges.delay_s()
        return self._started_at + EARLY_DELAYS * delay_s

    def _is_enough(self) -> bool:
        share = self._coverage.covered_share()
        if share >= 1.0:
            return True
        if share == 0.0 or self._context.clock.now() < self._early_at():
            return False
        return share >= self._plan.wanted_coverage or self._is_cut_off()

    def _is_cut_off(self) -> bool:
        """Tell whether all that is missing is at homes that do not answer."""
        now = self._context.clock.now()
        return self._tries.next_due_at is None and all(
            self._context.peer_health.is_suspect(group.address, now)
            for group in self._groups
        )

    def _cancel_rest(self) -> None:
        for group in self._groups:
            shards = list(group.pending_leaf_by_shard)
            if not shards:
                continue
            self.cost += len(shards)
            for leaf in group.pending_leaf_by_shard.values():
                view = self._context.views.of(leaf)
                view.outstanding = max(0, view.outstanding - 1)
            message = PeerCancel(self._request_id, shards)
            if group.address is None:
                self._context.home.cancel(message)
            else:
                self._context.spawn(
                    self._context.peers.cancel(group.address, message)
                )
        self._groups.clear()

    def _check_answer(self) -> None:
        if self._coverage.has_answers or not self._plan.weight_by_shard:
            return
        raise DeadlineExceeded(
            "no shard answered in time",
            "come back later or give a longer deadline",
            RunState.MAY_HAVE_RUN if self.cost else RunState.NOT_RUN,
            retry_after_s=1.0,
        )
