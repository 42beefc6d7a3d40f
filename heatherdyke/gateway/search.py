"""Serves one client's search: who asks for which shards, and the answer."""

from heatherdyke.gateway.core import Core
from heatherdyke.gateway.events import FAILED
from heatherdyke.gateway.events import LEFT
from heatherdyke.gateway.events import PARTIAL
from heatherdyke.gateway.events import REFUSED
from heatherdyke.gateway.events import SERVED
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.gathering import Gathering
from heatherdyke.gateway.grouping import Group
from heatherdyke.gateway.grouping import group_shards
from heatherdyke.gateway.messages import Answer
from heatherdyke.gateway.peer_call import PeerCall
from heatherdyke.gateway.peer_messages import GroupResult
from heatherdyke.gateway.peer_messages import group_request
from heatherdyke.gateway.records import greatest_records
from heatherdyke.gateway.refusal import Why
from heatherdyke.gateway.refusal import fail
from heatherdyke.gateway.refusal import refuse
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.search_progress import SearchProgress
from heatherdyke.gateway.search_progress import Verdict
from heatherdyke.gateway.search_progress import enough
from heatherdyke.gateway.shard_search import ShardSearch
from heatherdyke.gateway.timing import answer_due
from heatherdyke.gateway.timing import last_moment
from heatherdyke.platform.headers import merged_response_headers

# An answer that is due goes out before more is asked for.
REST_DELAY_S = 0.002
# A refusal tells of so many of the shards that have no leaf.
MOST_TOLD = 4


class Search:
    """One search from its arrival to its answer."""

    __slots__ = (
        "_core",
        "_exchange",
        "_route",
        "_gathering",
        "_own",
        "_calls",
        "_open_calls",
        "_missing",
        "_sent",
        "_extra_sends",
        "_may_have_run",
    )

    def __init__(self, core: Core, exchange: Exchange, route: Route) -> None:
        request = exchange.request
        limit_at = last_moment(
            request.arrived_at, request.wait_s, route.timeout_s
        )
        due_at = answer_due(
            request.arrived_at,
            route.objective_s,
            request.first_on_connection,
            core.settings.cores,
        )
        progress = SearchProgress(
            shard_count=len(route.shards),
            min_share=route.min_share,
            answer_at=min(limit_at, due_at),
            limit_at=limit_at,
        )
        self._core = core
        self._exchange = exchange
        self._route = route
        self._gathering = Gathering(core.loop, progress, self._end)
        self._own: list[ShardSearch] = []
        self._calls: set[PeerCall] = set()
        self._open_calls: dict[PeerCall, GroupResult] = {}
        self._missing: list[str] = []
        self._sent = 0
        self._extra_sends = 0
        self._may_have_run = False

    def start(self) -> None:
        """Ask for all shards, or refuse if too few have a leaf."""
        core = self._core
        route = self._route
        zones_by_shard = {
            shard: core.zones_with_leaf(shard, route) for shard in route.shards
        }
        reachable = sum(map(bool, zones_by_shard.values()))
        if not enough(reachable, len(route.shards), route.min_share):
            lacking = [s for s, zones in zones_by_shard.items() if not zones]
            self._refuse(Why.NO_LEAF, lacking)
            return
        if core.loop.time() >= self._gathering.progress.limit_at:
            self._refuse(Why.NO_TIME, [])
            return
        self._exchange.on_left(self._client_left)
        grouping = group_shards(
            route.shards,
            zones_by_shard,
            core.settings.zone,
            core.peers.zones(),
            core.random,
        )
        for group in grouping.groups:
            self._ask_peer(group)
        if grouping.own:
            self._ask_leafs(grouping.own)
        self._gathering.start()

    def _ask_leafs(self, shards: tuple[str, ...]) -> None:
        search = ShardSearch(
            self._core,
            self._exchange.request,
            self._route,
            list(shards),
            self._gathering,
        )
        self._own.append(search)
        search.start(search.choose_first())

    def _ask_peer(self, group: Group) -> None:
        progress = self._gathering.progress
        message = group_request(
            self._exchange.request,
            self._route,
            group.shards,
            self._core.config.version,
        )
        call = PeerCall(
            self._core,
            group,
            message,
            progress.answer_at,
            progress.limit_at,
            self._group_ended,
        )
        if call.start():
            self._calls.add(call)
        else:
            self._ask_leafs(group.shards)

    def _group_ended(self, call: PeerCall, result: GroupResult | None) -> None:
        self._calls.discard(call)
        if self._gathering.closed:
            return
        if result is not None:
            self._take_result(call, result)
        elif call.begun:
            self._may_have_run = True
            for shard in call.group.shards:
                self._gathering.add_loss(shard)
        else:
            self._ask_leafs(call.group.shards)
        self._gathering.decide()

    def _take_result(self, call: PeerCall, result: GroupResult) -> None:
        self._may_have_run = True
        self._gathering.add_merged(result.parts, result.records)
        if result.is_open:
            self._open_calls[call] = result
            loop = self._core.loop
            at = max(loop.time(), self._gathering.progress.answer_at)
            loop.call_at(at + REST_DELAY_S, self._ask_rest, call)
            return
        self._note_missing(result)
        for shard in call.group.shards:
            self._gathering.add_loss(shard)

    def _ask_rest(self, call: PeerCall) -> None:
        """Ask for the rest of a group if the search still waits."""
        if self._open_calls.pop(call, None) is None:
            return
        if not self._gathering.closed:
            self._calls.add(call)
            call.ask_rest()

    def _note_missing(self, result: GroupResult) -> None:
        self._sent += result.sent
        self._extra_sends += result.extra_sends
        self._missing += result.missing

    def _end(self, verdict: Verdict) -> None:
        self._gathering.close()
        for result in self._open_calls.values():
            self._note_missing(result)
        self._open_calls.clear()
        if verdict is Verdict.ANSWER:
            self._answer()
        else:
            self._give_up()

    def _answer(self) -> None:
        gathering = self._gathering
        body = greatest_records(gathering.bodies, self._route.record_limit)
        headers = merged_response_headers(
            gathering.signatures,
            gathering.progress.missing,
            self._exchange.request.request_id,
        )
        self._exchange.answer(Answer(200, headers, body))
        for search in self._own:
            search.finish()
        self._report_answer()
        self._abandon_calls()

    def _report_answer(self) -> None:
        core = self._core
        elapsed_s = core.loop.time() - self._exchange.request.arrived_at
        core.metrics.record_latency("search", self._route.name, elapsed_s)
        core.metrics.count("answers", "200")
        core.isolation.hear_request(refused=False)
        missing = self._gathering.progress.missing
        if missing:
            core.metrics.count("missing_shards", "", missing)
            core.log.record(
                PARTIAL,
                request_id=self._exchange.request.id_text,
                route=self._route.name,
                missing=self._describe_missing(),
                elapsed_ms=round(elapsed_s * 1000, 1),
                attempts=self._attempts(),
            )
            return
        core.log.record(
            SERVED,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            elapsed_ms=round(elapsed_s * 1000, 1),
            extra_sends=self._extra_sends
            + sum(search.extra_sends for search in self._own),
        )

    def _describe_missing(self) -> list[str]:
        """Return the missing shards with the leafs that were asked."""
        missing = list(self._missing)
        for search in self._own:
            missing += search.describe_missing()
        for call in self._calls:
            missing.append(f"{len(call.group.shards)} at {call.group.zone}")
        return missing

    def _attempts(self) -> int:
        return self._sent + sum(search.sent for search in self._own)

    def _give_up(self) -> None:
        core = self._core
        late = core.loop.time() >= self._gathering.progress.limit_at
        why = Why.TIMEOUT if late else Why.SHARE
        not_run = not self._may_have_run and not self._has_reached_leafs()
        answer = fail(why, not_run, core.random)
        core.metrics.count("answers", str(answer.status))
        core.isolation.hear_request(refused=True)
        self._exchange.answer(answer)
        core.log.record(
            FAILED,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            status=answer.status,
            why=f"{why.value}: {self._describe_missing()}",
            elapsed_ms=self._elapsed_ms(),
            attempts=self._attempts(),
        )
        self._abandon()

    def _has_reached_leafs(self) -> bool:
        """Tell whether a leaf has run the request, or may yet run it."""
        own = any(
            search.may_have_run or search.running for search in self._own
        )
        return own or bool(self._calls) or bool(self._gathering.bodies)

    def _refuse(self, why: Why, lacking: list[str]) -> None:
        core = self._core
        told = [core.describe_leafs(s) for s in lacking[:MOST_TOLD]]
        refusal = refuse(why, self._exchange.request.wait_s, core.random)
        core.metrics.count("answers", "503")
        core.isolation.hear_request(refused=True)
        self._exchange.answer(refusal.answer)
        core.log.record(
            REFUSED,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            status=503,
            why=why.value,
            retry_after_s=round(refusal.retry_after_s, 3),
            inputs=f"{len(lacking)} of {len(self._route.shards)} shards "
            f"without a leaf, at least {self._route.min_share} asked; "
            f"{'; '.join(told)}",
        )

    def _client_left(self) -> None:
        self._gathering.close()
        self._open_calls.clear()
        self._abandon()
        self._core.metrics.count("clients_left", self._route.name)
        self._core.log.record(
            LEFT,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            elapsed_ms=self._elapsed_ms(),
        )

    def _abandon(self) -> None:
        for search in self._own:
            search.abandon()
        self._abandon_calls()

    def _abandon_calls(self) -> None:
        for call in self._calls:
            call.abandon()
        self._calls.clear()

    def _elapsed_ms(self) -> float:
        now = self._core.loop.time()
        return round((now - self._exchange.request.arrived_at) * 1000, 1)
