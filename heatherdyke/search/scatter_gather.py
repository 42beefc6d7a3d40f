"""Executes one search: sends parts to homes and collects the answers."""

import asyncio

from heatherdyke.errors import ConnectionRefused
from heatherdyke.errors import TransportError
from heatherdyke.mechanisms import Mechanism
from heatherdyke.messages import Item
from heatherdyke.messages import Part
from heatherdyke.messages import PartRequest
from heatherdyke.messages import PartState
from heatherdyke.messages import PeerCancel
from heatherdyke.messages import PeerSearch
from heatherdyke.messages import SearchRequest
from heatherdyke.request_errors import DeadlineExceeded
from heatherdyke.request_errors import RunState
from heatherdyke.search.context import SearchContext
from heatherdyke.search.coverage import CoverageTracker
from heatherdyke.search.merge import merge_items
from heatherdyke.search.part_group import GroupResponse
from heatherdyke.search.part_group import PartGroup
from heatherdyke.search.plan import SearchPlan
from heatherdyke.search.plan import find_child_leaves
from heatherdyke.search.shard_attempts import ShardAttempts
from heatherdyke.usage.leaf_level_cache import LeafLevel

RETURN_MARGIN_S = 0.004
MAX_SNAPSHOT_RESTARTS = 2
HOME_TIMEOUT_FACTOR = 2.0
HOME_TIMEOUT_EXTRA_S = 0.01
EARLY_ANSWER_DELAY_FACTOR = 4.0
RETRYABLE = (
    PartState.REFUSED,
    PartState.LOST,
    PartState.NOT_HOME,
    PartState.TRUNCATED,
)


class ScatterGather:
    """Executes one search until it is complete, sufficient or late.

    Once EARLY_ANSWER_DELAY_FACTOR hedge delays have passed, an answer is
    sufficient if it has the wanted coverage, or if all that is missing is at
    suspect homes.
    """

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
        self._responses: asyncio.Queue[GroupResponse] = asyncio.Queue()
        self._groups: set[PartGroup] = set()
        self._restarts = 0
        self._newer_snapshot = 0
        self._deadline = 0.0
        self._started_at = 0.0
        self._reset()

    def items(self) -> list[Item]:
        """Return the best items of the shards that answered."""
        return merge_items(self._items, self._request.limit)

    async def run(self, deadline: float) -> CoverageTracker:
        """Search until done or ``deadline`` and return the coverage.

        Raises DeadlineExceeded if no shard answered at all.
        """
        self._deadline = deadline - RETURN_MARGIN_S
        self._started_at = self._context.clock.now()
        self._send(list(self._plan.weight_by_shard), hedge=False)
        while self._has_pending() and not self._is_sufficient():
            response = await self._next_response()
            if response is not None:
                self._handle_response(response)
            elif self._context.clock.now() >= self._deadline:
                break
            self._send(self._attempts.pop_due(self._context.clock.now()), True)
            self._hedge_stragglers()
        self._cancel_pending()
        self._raise_if_unanswered()
        return self._coverage

    def _reset(self) -> None:
        exclude_truncated = self._context.settings.is_enabled(
            Mechanism.COVERAGE_CHECK
        )
        self._coverage = CoverageTracker(
            self._plan.weight_by_shard, exclude_truncated
        )
        self._items: list[Item] = []
        self._attempts = ShardAttempts(self._plan.leaves_by_shard)

    def _send(self, shards: list[str], hedge: bool) -> None:
        """Send each of the shards to one more replica."""
        now = self._context.clock.now()
        group_by_address: dict[str | None, dict[str, str]] = {}
        for shard in shards:
            leaf = self._choose_leaf(shard)
            if leaf is None:
                continue
            route = self._context.find_route(leaf)
            leaf_by_shard = group_by_address.setdefault(route.address, {})
            leaf_by_shard[shard] = leaf
        hedge_at = now + self._home_timeout_s()
        for address, leaf_by_shard in group_by_address.items():
            group = PartGroup(address, leaf_by_shard, self._restarts, hedge_at)
            group.hedged = hedge
            self._start(group, now)

    def _choose_leaf(self, shard: str) -> str | None:
        leaves = self._untried_leaves(shard)
        if not leaves:
            return None
        reachable = [
            leaf for leaf in leaves if not self._context.is_home_suspect(leaf)
        ]
        leaf = self._context.choose_leaf(reachable or leaves)
        self._attempts.start(shard, leaf)
        return leaf

    def _start(self, group: PartGroup, now: float) -> None:
        self._groups.add(group)
        for leaf in group.pending_leaf_by_shard.values():
            self._context.replica_stats.record_sent(leaf)
        if not group.hedged:
            self._context.hedges.budget.deposit(
                len(group.pending_leaf_by_shard)
            )
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
                PartRequest(shard, leaf, self._has_untried(shard))
                for shard, leaf in group.pending_leaf_by_shard.items()
            ],
            self._context.observer.stamp(),
        )
        home = group.address or self._context.settings.address
        self._context.observer.parts_sent(message, home, group.hedged)
        self._context.spawn(self._receive_responses(group, message))

    async def _receive_responses(
        self, group: PartGroup, message: PeerSearch
    ) -> None:
        """Queue a home's messages for the task that executes the search."""
        if group.address is None:
            responses = self._context.dispatcher.search(message)
        else:
            responses = self._context.peers.search(group.address, message)
        try:
            async for parts in responses:
                self._context.observer.observe_clock(parts.clock)
                self._responses.put_nowait(GroupResponse(group, parts))
        except TransportError as error:
            self._responses.put_nowait(GroupResponse(group, None, error))

    async def _next_response(self) -> GroupResponse | None:
        if not self._responses.empty():
            return self._responses.get_nowait()
        now = self._context.clock.now()
        times = [g.hedge_at for g in self._groups if not g.hedged]
        retry_at = self._attempts.next_retry_at
        if retry_at is not None:
            times.append(retry_at)
        early_answer_at = self._early_answer_at()
        if early_answer_at > now:
            times.append(early_answer_at)
        until = min([*times, self._deadline])
        try:
            async with asyncio.timeout(max(0.0, until - now)):
                return await self._responses.get()
        except TimeoutError:
            return None

    def _handle_response(self, response: GroupResponse) -> None:
        group = response.group
        if group.restart_number != self._restarts or group not in self._groups:
            return
        if response.parts is None:
            self._handle_failure(group, response.error)
            return
        self._context.peer_health.record_success(group.address)
        self._items.extend(response.parts.items)
        for part in response.parts.parts:
            self._handle_part(group, part)
        if response.parts.last or not group.pending_leaf_by_shard:
            self._groups.discard(group)
        else:
            group.has_response = True
            # The remaining shards are late: hedge them at once.
            group.hedge_at = self._context.clock.now()
        self._restart_if_snapshot_gone()

    def _handle_part(self, group: PartGroup, part: Part) -> None:
        group.pending_leaf_by_shard.pop(part.shard, None)
        now = self._context.clock.now()
        self._context.replica_stats.record_part(part, now)
        level = LeafLevel(part.leaf, part.level, part.incarnation)
        self._context.levels.record(level, now)
        self.cost += part.asked
        self._attempts.finish(part.shard)
        self._coverage.add(part)
        if part.state is PartState.WHOLE:
            self._context.hedges.latency.add(part.leaf_ms / 1000)
        elif part.state is PartState.SPLIT:
            self._send_to_children(part)
        elif part.state is PartState.SNAPSHOT_GONE:
            self._handle_snapshot_gone(part)
        elif part.state in RETRYABLE:
            self._retry_part(group, part)

    def _retry_part(self, group: PartGroup, part: Part) -> None:
        """Retry a part that is not whole at another replica."""
        now = self._context.clock.now()
        budget = self._context.hedges.budget
        if part.state is PartState.REFUSED and part.asked:
            budget.penalize_shed()
        if self._coverage.is_whole(part.shard):
            return
        if part.state is PartState.NOT_HOME:
            self._context.refresh_route(part.leaf, group.address)
            self._attempts.retry_at_new_home(part.shard, part.leaf, now)
        elif part.asked and not budget.try_withdraw():
            return
        elif self._has_untried(part.shard):
            self._send([part.shard], hedge=True)
        elif not self._attempts.has_pending(part.shard):
            self._attempts.retry_all_replicas(part.shard, now)

    def _send_to_children(self, part: Part) -> None:
        """Search the children of a shard that was split.

        Until the configuration declares a child, the leaves of the split
        shard are assumed to hold it.
        """
        service = part.shard.partition("/")[0]
        index = self._context.index.current()
        parents = self._attempts.replicas(part.shard)
        for child in part.children:
            name = child.rpartition("/")[2]
            leaves = find_child_leaves(index, service, name)
            self._attempts.add_shard(child, leaves or parents)
        self._send(part.children, hedge=True)

    def _handle_snapshot_gone(self, part: Part) -> None:
        newest = max(part.snapshots, default=0)
        self._newer_snapshot = max(self._newer_snapshot, newest)
        if newest <= self.snapshot:
            self._send([part.shard], hedge=True)

    def _restart_if_snapshot_gone(self) -> None:
        """Restart at a newer snapshot if a leaf has dropped the pinned one."""
        if self._newer_snapshot <= self.snapshot:
            return
        if self._restarts >= MAX_SNAPSHOT_RESTARTS:
            return
        self._cancel_pending()
        self._restarts += 1
        self.snapshot = self._newer_snapshot
        self._context.observer.restarted(self._request_id, self.snapshot)
        self._context.snapshots.update(self._plan.index, self.snapshot)
        if self._context.settings.is_enabled(Mechanism.SNAPSHOT_PIN):
            self._reset()
            self._send(list(self._plan.weight_by_shard), hedge=False)
            return
        missing = self._coverage.result().missing
        self._attempts.reset()
        self._send(missing, hedge=False)

    def _handle_failure(self, group: PartGroup, error: TransportError) -> None:
        self._groups.discard(group)
        now = self._context.clock.now()
        self._context.peer_health.record_failure(group.address, now)
        if isinstance(error, ConnectionRefused):
            self._context.report_connection_refused(group.address)
        for shard, leaf in list(group.pending_leaf_by_shard.items()):
            part = Part(shard, leaf, PartState.LOST, asked=int(error.sent))
            self._handle_part(group, part)

    def _hedge_stragglers(self) -> None:
        now = self._context.clock.now()
        for group in list(self._groups):
            if group.hedged or group.hedge_at > now:
                continue
            group.hedged = True
            if not group.has_response:
                self._context.peer_health.record_timeout(group.address, now)
            self._hedge(group)

    def _hedge(self, group: PartGroup) -> None:
        """Send unanswered parts of the group to other replicas.

        Parts at a suspect home cost no budget, because they are assumed not
        to be executed there.
        """
        now = self._context.clock.now()
        costs_no_token = self._context.peer_health.is_suspect(
            group.address, now
        )
        chosen = []
        for shard in group.pending_leaf_by_shard:
            if self._coverage.is_whole(shard) or not self._has_untried(shard):
                continue
            if not costs_no_token and not self._context.hedges.try_acquire():
                break
            chosen.append(shard)
        if chosen:
            self._send(chosen, hedge=True)

    def _has_untried(self, shard: str) -> bool:
        return bool(self._untried_leaves(shard))

    def _untried_leaves(self, shard: str) -> list[str]:
        return [
            leaf
            for leaf in self._context.eligible_leaves(
                self._attempts.untried_leaves(shard)
            )
            if self._context.find_route(leaf) is not None
        ]

    def _home_timeout_s(self) -> float:
        delay_s = self._context.hedges.delay_s()
        return HOME_TIMEOUT_FACTOR * delay_s + HOME_TIMEOUT_EXTRA_S

    def _has_pending(self) -> bool:
        return bool(self._groups) or self._attempts.next_retry_at is not None

    def _early_answer_at(self) -> float:
        """Return the time from which the wanted coverage is sufficient."""
        delay_s = self._context.hedges.delay_s()
        return self._started_at + EARLY_ANSWER_DELAY_FACTOR * delay_s

    def _is_sufficient(self) -> bool:
        share = self._coverage.covered_share()
        if share >= 1.0:
            return True
        if share == 0.0 or self._context.clock.now() < self._early_answer_at():
            return False
        return (
            share >= self._plan.wanted_coverage
            or self._is_pending_unreachable()
        )

    def _is_pending_unreachable(self) -> bool:
        """Tell whether all pending parts are at suspect homes."""
        now = self._context.clock.now()
        return self._attempts.next_retry_at is None and all(
            self._context.peer_health.is_suspect(group.address, now)
            for group in self._groups
        )

    def _cancel_pending(self) -> None:
        for group in self._groups:
            shards = list(group.pending_leaf_by_shard)
            if not shards:
                continue
            self.cost += len(shards)
            for leaf in group.pending_leaf_by_shard.values():
                stats = self._context.replica_stats.get(leaf)
                stats.outstanding = max(0, stats.outstanding - 1)
            message = PeerCancel(self._request_id, shards)
            if group.address is None:
                self._context.dispatcher.cancel(message)
            else:
                self._context.spawn(
                    self._context.peers.cancel(group.address, message)
                )
        self._groups.clear()

    def _raise_if_unanswered(self) -> None:
        if self._coverage.has_answers or not self._plan.weight_by_shard:
            return
        raise DeadlineExceeded(
            "no shard answered in time",
            "retry later or set a longer deadline",
            RunState.MAY_HAVE_RUN if self.cost else RunState.NOT_RUN,
            retry_after_s=1.0,
        )
