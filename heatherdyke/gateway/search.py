"""Serves one search: sends it to leafs and other instances, and responds.

Shards are queried at their leafs directly, or in groups by other instances
near the leafs, as ``group_shards`` decides.
"""

from heatherdyke.gateway.canary import Canary
from heatherdyke.gateway.crash_guard import Admission
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.group_calls import GroupCalls
from heatherdyke.gateway.grouping import Group
from heatherdyke.gateway.grouping import group_shards
from heatherdyke.gateway.grouping import relayed_groups
from heatherdyke.gateway.leaf_selection import DIRECT_ACCESS
from heatherdyke.gateway.leaf_selection import ZoneAccess
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.outcome_report import OutcomeReport
from heatherdyke.gateway.part_collector import PartCollector
from heatherdyke.gateway.record_merge import top_records
from heatherdyke.gateway.refusal import RefusalReason
from heatherdyke.gateway.refusal import make_failure_answer
from heatherdyke.gateway.refused_request import refuse_quarantined
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.search_plan import SearchPlan
from heatherdyke.gateway.search_plan import plan_search
from heatherdyke.gateway.search_progress import Decision
from heatherdyke.gateway.search_progress import SearchProgress
from heatherdyke.gateway.search_progress import meets_min_share
from heatherdyke.gateway.search_refusal import refuse_search
from heatherdyke.gateway.search_refusal import refuse_without_leafs
from heatherdyke.gateway.shard_search import ShardSearch
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.timing import answer_due_at
from heatherdyke.gateway.timing import final_answer_deadline
from heatherdyke.gateway.zone_probes import PROBE_TIMEOUT_S
from heatherdyke.platform.headers import merged_response_headers

# A search of which a group failed looks this often whether the zones of its
# other shards respond.
ZONE_CHECK_INTERVAL_S = PROBE_TIMEOUT_S / 2


class Search:
    """One search, from its arrival to its response."""

    __slots__ = (
        "_shared",
        "_exchange",
        "_route",
        "_collector",
        "_leaf_searches",
        "_groups",
        "_canary",
        "_checks_zones",
        "_report",
    )

    def __init__(
        self, shared: SharedState, exchange: Exchange, route: Route
    ) -> None:
        request = exchange.request
        deadline_at = final_answer_deadline(
            request.arrived_at, request.wait_s, route.timeout_s
        )
        due_at = answer_due_at(
            request.arrived_at,
            route.objective_s,
            request.first_on_connection,
            shared.settings.cores,
        )
        progress = SearchProgress(
            shard_count=len(route.shards),
            min_share=route.min_share,
            answer_at=min(deadline_at, due_at),
            deadline_at=deadline_at,
        )
        self._shared = shared
        self._exchange = exchange
        self._route = route
        self._collector = PartCollector(
            shared.loop, progress, self._on_decision
        )
        self._leaf_searches: list[ShardSearch] = []
        self._groups = GroupCalls(
            shared,
            request,
            route,
            self._collector,
            self._on_group_declined,
            self._on_group_failed,
        )
        self._canary: Canary | None = None
        self._checks_zones = False
        self._report = OutcomeReport(shared, request, route, "search")

    def start(self) -> None:
        """Query the shards; refuse without time or leafs for enough shards.

        A search that may crash leafs is sent to one of them first.
        """
        shared = self._shared
        route = self._route
        admission = shared.crash_guard.admission(self._exchange.request)
        if admission is Admission.REFUSED:
            refuse_quarantined(shared, self._exchange, route.name)
            return
        access = shared.selector.zone_access()
        plan = plan_search(shared, route, access, route.shards)
        if not plan.meets_min_share(route):
            refuse_without_leafs(
                shared, self._exchange, route, plan.without_leaf
            )
            return
        if shared.loop.time() >= self._collector.progress.deadline_at:
            self._refuse(RefusalReason.NO_TIME_LEFT)
            return
        self._exchange.on_disconnect(self._on_client_disconnect)
        self._exchange.on_shutdown(self._collector.end_now)
        if admission is Admission.CAREFUL:
            self._start_canary(plan)
        else:
            self._query(plan, access)
            self._collector.start()

    def _query(self, plan: SearchPlan, access: ZoneAccess) -> None:
        """Send to the leafs of the planned shards, directly or in groups."""
        shared = self._shared
        grouping = group_shards(
            plan.direct,
            plan.zones_by_shard,
            shared.settings.zone,
            access.with_instance,
            shared.random,
            access.suspect,
        )
        relayed = relayed_groups(plan.relayed, shared.settings.zone)
        for group in (*grouping.groups, *relayed):
            self._query_peer(group)
        if grouping.own:
            self._query_leafs(grouping.own)

    def _start_canary(self, plan: SearchPlan) -> None:
        self._canary = Canary(
            self._shared,
            self._exchange.request,
            self._route,
            self._collector.progress.deadline_at,
            self._on_canary_end,
        )
        if self._canary.start(plan.direct):
            self._collector.start()
        else:
            self._refuse(RefusalReason.SUSPECT)

    def _on_canary_end(self, shard: str, part: LeafResponse | None) -> None:
        """Query the other shards once a leaf has completed the search."""
        collector = self._collector
        if collector.closed:
            return
        if part is None:
            collector.close()
            self._give_up()
            return
        collector.add_part(shard, part.signature, part.body)
        access = self._shared.selector.zone_access()
        others = tuple(x for x in self._route.shards if x != shard)
        plan = plan_search(self._shared, self._route, access, others)
        self._query(plan, access)
        collector.add_losses(plan.without_leaf)
        collector.decide()

    def _query_leafs(self, shards: tuple[str, ...]) -> None:
        search = ShardSearch(
            self._shared,
            self._exchange.request,
            self._route,
            list(shards),
            self._collector,
        )
        self._leaf_searches.append(search)
        search.start()

    def _query_peer(self, group: Group) -> None:
        if self._groups.start(group):
            return
        if group.relayed:
            self._collector.add_losses(group.shards)
        else:
            self._query_leafs(group.shards)

    def _on_group_declined(self, group: Group) -> None:
        """Query the shards directly or by others, but no relayed ones."""
        shared = self._shared
        if group.relayed:
            now = shared.loop.time()
            shared.relays.record_failure(group.shards, now)
            self._collector.add_losses(group.shards)
            return
        if shared.crash_guard.entry_of(self._exchange.request) is not None:
            self._collector.add_losses(group.shards)
            return
        plan = plan_search(shared, self._route, DIRECT_ACCESS, group.shards)
        if plan.direct or plan.without_leaf:
            self._query_leafs(plan.direct + plan.without_leaf)
        for relayed in relayed_groups(plan.relayed, shared.settings.zone):
            self._query_peer(relayed)

    def _on_group_failed(self) -> None:
        if not self._checks_zones:
            self._checks_zones = True
            self._check_zones()

    def _check_zones(self) -> None:
        """Give up once too many shards are in zones that do not respond."""
        if self._collector.closed:
            return
        if self._is_cut_off():
            self._collector.close()
            self._give_up()
            return
        self._shared.loop.call_later(ZONE_CHECK_INTERVAL_S, self._check_zones)

    def _is_cut_off(self) -> bool:
        """Return whether unreachable zones have too many of the shards."""
        selector = self._shared.selector
        unreachable = selector.zone_access().unreachable
        if not unreachable:
            return False
        route = self._route
        answered = self._collector.progress.answered
        count = len(route.shards)
        out_of_reach = sum(
            shard not in answered
            and selector.lies_in(shard, route, unreachable)
            for shard in route.shards
        )
        return not meets_min_share(
            count - out_of_reach, count, route.min_share
        )

    def _on_decision(self, decision: Decision) -> None:
        self._collector.close()
        self._groups.close()
        if decision is Decision.ANSWER:
            self._answer()
        else:
            self._give_up()

    def _answer(self) -> None:
        collector = self._collector
        body = top_records(collector.bodies, self._route.record_limit)
        headers = merged_response_headers(
            collector.signatures,
            collector.progress.missing,
            self._exchange.request.request_id,
        )
        self._exchange.answer(ClientResponse(200, headers, body))
        for search in self._leaf_searches:
            search.finish()
        self._report_answer()
        self._groups.abandon()

    def _report_answer(self) -> None:
        self._shared.isolation.record_request(refused=False)
        missing = self._collector.progress.missing
        if missing:
            self._report.answered_in_part(
                missing, self._describe_missing(), self._attempts()
            )
            return
        extra_sends = sum(search.extra_sends for search in self._leaf_searches)
        self._report.answered(self._groups.extra_sends + extra_sends)

    def _describe_missing(self) -> list[str]:
        """Return the missing shards with the leafs that were queried."""
        missing = self._groups.describe_missing()
        for search in self._leaf_searches:
            missing += search.describe_missing()
        return missing

    def _attempts(self) -> int:
        canary_sent = 0 if self._canary is None else 1
        own_sent = sum(search.sent for search in self._leaf_searches)
        return self._groups.sent + canary_sent + own_sent

    def _give_up(self) -> None:
        shared = self._shared
        late = shared.loop.time() >= self._collector.progress.deadline_at
        reason = (
            RefusalReason.TIMEOUT if late else RefusalReason.SHARE_NOT_REACHED
        )
        answer = make_failure_answer(
            reason, not self._has_reached_leafs(), shared.random
        )
        self._exchange.answer(answer)
        shared.isolation.record_request(refused=True)
        why = f"{reason.value}: {self._describe_missing()}"
        self._report.failed(answer.status, why, self._attempts())
        self._abandon()

    def _has_reached_leafs(self) -> bool:
        """Return whether a leaf may have run the request or may yet do so."""
        if self._canary is not None and self._canary.has_reached_leaf:
            return True
        return (
            bool(self._collector.bodies)
            or any(item.has_reached_leafs for item in self._leaf_searches)
            or self._groups.have_reached_leafs
        )

    def _refuse(self, reason: RefusalReason) -> None:
        refuse_search(self._shared, self._exchange, self._route, reason)

    def _on_client_disconnect(self) -> None:
        self._collector.close()
        self._groups.close()
        self._abandon()
        self._report.client_left()

    def _abandon(self) -> None:
        if self._canary is not None:
            self._canary.abandon()
        for search in self._leaf_searches:
            search.abandon()
        self._groups.abandon()
