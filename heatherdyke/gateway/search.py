"""Serves one search: asks a leaf of each shard, merges what comes in time."""

import asyncio

from heatherdyke.gateway.attempts import Sender
from heatherdyke.gateway.core import Core
from heatherdyke.gateway.events import FAILED
from heatherdyke.gateway.events import LEFT
from heatherdyke.gateway.events import PARTIAL
from heatherdyke.gateway.events import REFUSED
from heatherdyke.gateway.events import SERVED
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.leaf_connection import Attempt
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import Answer
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.messages import Outcome
from heatherdyke.gateway.records import greatest_records
from heatherdyke.gateway.refusal import Why
from heatherdyke.gateway.refusal import fail
from heatherdyke.gateway.refusal import refuse
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.search_progress import SearchProgress
from heatherdyke.gateway.search_progress import Verdict
from heatherdyke.gateway.search_progress import enough
from heatherdyke.gateway.timing import answer_due
from heatherdyke.gateway.timing import last_moment
from heatherdyke.platform.headers import merged_headers


class Search:
    """One search from its arrival to its answer."""

    __slots__ = (
        "_core",
        "_exchange",
        "_route",
        "_sender",
        "_progress",
        "_pace",
        "_parts",
        "_tried_by_shard",
        "_open_by_shard",
        "_timer",
        "_hedge_at",
        "_extra_sends",
        "_may_have_run",
    )

    def __init__(self, core: Core, exchange: Exchange, route: Route) -> None:
        request = exchange.request
        limit_at = last_moment(
            request.arrived_at, request.wait_s, route.timeout_s
        )
        self._core = core
        self._exchange = exchange
        self._route = route
        self._pace = core.paces.of(route.name, "", route.objective_s)
        self._sender = Sender(
            core, request, self._pace, limit_at, self._on_end
        )
        self._progress = SearchProgress(
            shard_count=len(route.shards),
            min_share=route.min_share,
            answer_at=min(
                limit_at,
                answer_due(
                    request.arrived_at,
                    route.objective_s,
                    request.first_on_connection,
                ),
            ),
            limit_at=limit_at,
        )
        self._parts: list[LeafResponse] = []
        self._tried_by_shard: dict[str, list[Leaf]] = {}
        self._open_by_shard: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._hedge_at = 0.0
        self._extra_sends = 0
        self._may_have_run = False

    def start(self) -> None:
        """Ask one leaf of each shard, or refuse if too few have one."""
        core = self._core
        now = core.loop.time()
        first_by_shard: dict[str, Leaf] = {}
        for shard in self._route.shards:
            core.budget.count_request(shard, now)
            leaf = core.choose(shard, self._route, (), self._pace.usual_s)
            if leaf is not None:
                first_by_shard[shard] = leaf
        shard_count = len(self._route.shards)
        if not enough(len(first_by_shard), shard_count, self._route.min_share):
            self._refuse(Why.NO_LEAF, shard_count - len(first_by_shard))
            return
        if now >= self._progress.limit_at:
            self._refuse(Why.NO_TIME, 0)
            return
        self._exchange.on_left(self._client_left)
        for shard in self._route.shards:
            leaf = first_by_shard.get(shard)
            if leaf is None:
                self._progress.add_loss(shard)
            else:
                self._send(shard, leaf)
        left_s = self._progress.answer_at - now
        self._hedge_at = now + self._pace.hedge_delay_s(left_s)
        self._set_timer(now)

    def _send(self, shard: str, leaf: Leaf, why: str | None = None) -> None:
        self._tried_by_shard.setdefault(shard, []).append(leaf)
        self._open_by_shard[shard] = self._open_by_shard.get(shard, 0) + 1
        if why is None:
            self._sender.send(leaf, shard)
        else:
            self._extra_sends += 1
            self._sender.send_extra(leaf, shard, why)

    def _send_extra(self, shard: str, why: str) -> bool:
        """Ask another leaf of the shard if attempts and budget allow it."""
        core = self._core
        tried = self._tried_by_shard[shard]
        if len(tried) >= self._route.max_attempts:
            return False
        leaf = core.choose(shard, self._route, tried, self._pace.usual_s)
        if leaf is None or not core.budget.take(shard, core.loop.time()):
            return False
        self._send(shard, leaf, why)
        return True

    def _on_end(self, attempt: Attempt, outcome: Outcome) -> None:
        shard = attempt.context
        self._open_by_shard[shard] -= 1
        response = outcome.response
        if not outcome.not_run:
            self._may_have_run = True
        if response is not None and response.is_good:
            if self._progress.add_answer(shard):
                self._parts.append(response)
        elif shard not in self._progress.answered:
            why = "rejected" if outcome.not_run else "failed"
            sent = self._send_extra(shard, why)
            if not sent and self._open_by_shard[shard] == 0:
                self._progress.add_loss(shard)
        self._decide()

    def _on_timer(self) -> None:
        self._timer = None
        now = self._core.loop.time()
        if now >= self._hedge_at:
            self._hedge(now)
        self._decide()
        if not self._exchange.answered:
            self._set_timer(now)

    def _hedge(self, now: float) -> None:
        self._hedge_at = self._progress.limit_at + 1.0
        for shard in self._route.shards:
            is_open = self._open_by_shard.get(shard, 0) > 0
            if is_open and shard not in self._progress.answered:
                self._send_extra(shard, "straggler")

    def _set_timer(self, now: float) -> None:
        progress = self._progress
        due = [self._hedge_at, progress.limit_at]
        if now < progress.answer_at:
            due.append(progress.answer_at)
        at = max(now + 0.001, min(due))
        self._timer = self._core.loop.call_at(at, self._on_timer)

    def _decide(self) -> None:
        if self._exchange.answered:
            return
        verdict = self._progress.verdict(self._core.loop.time())
        if verdict is Verdict.ANSWER:
            self._answer()
        elif verdict is Verdict.GIVE_UP:
            self._give_up()

    def _answer(self) -> None:
        self._stop_timer()
        body = greatest_records(
            (part.body for part in self._parts), self._route.record_limit
        )
        headers = merged_headers(
            [part.signature for part in self._parts],
            self._progress.missing,
            self._exchange.request.request_id,
        )
        self._exchange.answer(Answer(200, headers, body))
        self._sender.finish()
        self._report_answer()

    def _report_answer(self) -> None:
        core = self._core
        elapsed_s = core.loop.time() - self._exchange.request.arrived_at
        core.metrics.record_latency("search", self._route.name, elapsed_s)
        core.metrics.count("answers", "200")
        core.isolation.hear_request(refused=False)
        if self._progress.missing:
            core.metrics.count("missing_shards", "", self._progress.missing)
            core.log.record(
                PARTIAL,
                request_id=self._exchange.request.id_text,
                route=self._route.name,
                missing=self._missing_shards(),
                elapsed_ms=round(elapsed_s * 1000, 1),
                attempts=self._sender.sent,
            )
            return
        core.log.record(
            SERVED,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            elapsed_ms=round(elapsed_s * 1000, 1),
            extra_sends=self._extra_sends,
        )

    def _missing_shards(self) -> list[str]:
        """Return the missing shards with the leafs that were asked."""
        return [
            shard
            + ":"
            + ",".join(
                leaf.leaf_id for leaf in self._tried_by_shard.get(shard, ())
            )
            for shard in self._route.shards
            if shard not in self._progress.answered
        ]

    def _give_up(self) -> None:
        self._stop_timer()
        core = self._core
        now = core.loop.time()
        late = now >= self._progress.limit_at
        why = Why.TIMEOUT if late else Why.SHARE
        not_run = not self._may_have_run and self._sender.running == 0
        answer = fail(why, not_run and not self._parts, core.random)
        core.metrics.count("answers", str(answer.status))
        core.isolation.hear_request(refused=True)
        self._exchange.answer(answer)
        core.log.record(
            FAILED,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            status=answer.status,
            why=f"{why.value}: {self._missing_shards()}",
            elapsed_ms=self._elapsed_ms(),
            attempts=self._sender.sent,
        )
        self._sender.abandon()

    def _refuse(self, why: Why, missing: int) -> None:
        core = self._core
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
            inputs=f"{missing} of {len(self._route.shards)} shards without "
            f"a leaf, at least {self._route.min_share} asked",
        )

    def _client_left(self) -> None:
        self._stop_timer()
        self._sender.abandon()
        self._core.metrics.count("clients_left", self._route.name)
        self._core.log.record(
            LEFT,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            elapsed_ms=self._elapsed_ms(),
        )

    def _elapsed_ms(self) -> float:
        now = self._core.loop.time()
        return round((now - self._exchange.request.arrived_at) * 1000, 1)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
