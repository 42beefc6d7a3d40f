"""Queries one leaf of each of several shards, with retries and hedges."""

import asyncio

from heatherdyke.gateway.attempt import Attempt
from heatherdyke.gateway.attempt_sender import AttemptSender
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import Failure
from heatherdyke.gateway.part_collector import PartCollector
from heatherdyke.gateway.record_merge import shorten
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.shared_state import SharedState


class ShardSearch:
    """The attempts of one search at the leafs of its shards.

    Parts and lost shards are passed to the collector.
    """

    __slots__ = (
        "extra_sends",
        "may_have_run",
        "_shared",
        "_route",
        "_shards",
        "_collector",
        "_latency",
        "_sender",
        "_tried_leafs_by_shard",
        "_in_flight_by_shard",
        "_broken_count",
        "_has_part",
        "_postponed_shards",
        "_timer",
    )

    def __init__(
        self,
        shared: SharedState,
        request: ClientRequest,
        route: Route,
        shards: list[str],
        collector: PartCollector,
    ) -> None:
        self.extra_sends = 0
        self.may_have_run = False
        self._shared = shared
        self._route = route
        self._shards = shards
        self._collector = collector
        self._latency = shared.latencies.of(route.name, "", route.objective_s)
        self._sender = AttemptSender(
            shared,
            request,
            self._latency,
            collector.progress.deadline_at,
            self._on_attempt_end,
            route.name,
        )
        self._tried_leafs_by_shard: dict[str, list[Leaf]] = {}
        self._in_flight_by_shard: dict[str, int] = {}
        self._broken_count = 0
        self._has_part = False
        # Shards whose retry waits until a leaf has completed the search.
        self._postponed_shards: list[str] = []
        self._timer: asyncio.TimerHandle | None = None

    @property
    def has_reached_leafs(self) -> bool:
        """Return whether a leaf may have run the search."""
        return self.may_have_run or self._sender.has_reached_leafs

    @property
    def sent(self) -> int:
        """Return the number of attempts sent."""
        return self._sender.sent

    def start(self) -> None:
        """Send to a leaf per shard; report shards without one as lost."""
        shared = self._shared
        now = shared.loop.time()
        for shard in self._shards:
            leaf = shared.selector.choose(
                shard, self._route, (), self._latency.median_s
            )
            if leaf is None:
                self._collector.add_loss(shard)
            else:
                shared.budget.count_request(shard, now)
                self._send(shard, leaf)
        remaining_s = self._collector.progress.answer_at - now
        delay_s = self._latency.hedge_delay_s(remaining_s)
        if self._route.max_attempts > 1 and shared.has(Mechanism.HEDGING):
            self._timer = shared.loop.call_later(delay_s, self._hedge)

    def finish(self) -> None:
        """Send nothing more; keep the attempts in flight for a while."""
        self._stop_timer()
        self._sender.finish()

    def abandon(self) -> None:
        """Abandon all attempts now."""
        self._stop_timer()
        self._sender.abandon()

    def describe_missing(self) -> list[str]:
        """Return the shards without a part, with the leafs queried."""
        answered = self._collector.progress.answered
        return [
            f"{shard}:"
            + ",".join(
                leaf.leaf_id
                for leaf in self._tried_leafs_by_shard.get(shard, ())
            )
            for shard in self._shards
            if shard not in answered
        ]

    def _send(self, shard: str, leaf: Leaf, reason: str | None = None) -> None:
        self._tried_leafs_by_shard.setdefault(shard, []).append(leaf)
        self._in_flight_by_shard[shard] = (
            self._in_flight_by_shard.get(shard, 0) + 1
        )
        if reason is not None:
            self.extra_sends += 1
            self._shared.metrics.count("extra_sends", reason)
        self._sender.send(leaf, shard)

    def _send_extra(self, shard: str, reason: str) -> bool:
        """Send a retry or hedge if the limits and the budget allow it."""
        shared = self._shared
        tried = self._tried_leafs_by_shard[shard]
        if len(tried) >= self._route.max_attempts:
            return False
        leaf = shared.selector.choose(
            shard, self._route, tried, self._latency.median_s
        )
        if leaf is None or not shared.budget.try_acquire(
            shard, shared.loop.time()
        ):
            return False
        self._send(shard, leaf, reason)
        return True

    def _on_attempt_end(
        self, attempt: Attempt, outcome: AttemptOutcome
    ) -> None:
        shard = attempt.service
        collector = self._collector
        self._in_flight_by_shard[shard] -= 1
        response = outcome.response
        if not outcome.not_run:
            self.may_have_run = True
        if outcome.failure is Failure.BROKEN:
            self._broken_count += 1
        if response is not None and response.is_signed_success:
            body = shorten(response.body, self._route.record_limit)
            collector.add_part(shard, response.signature, body)
            self._has_part = True
        elif shard not in collector.progress.answered:
            reason = "rejected" if outcome.not_run else "failed"
            self._retry(shard, reason)
        if self._postponed_shards and (
            self._has_part or not self._sender.running
        ):
            self._retry_postponed()
        collector.decide()

    def _retry(self, shard: str, reason: str) -> None:
        """Retry a shard, now or once the search seems not to crash leafs."""
        if self._may_crash_leafs:
            self._postponed_shards.append(shard)
            return
        sent = self._shared.has(Mechanism.RETRIES) and self._send_extra(
            shard, reason
        )
        if not sent and self._in_flight_by_shard[shard] == 0:
            self._collector.add_loss(shard)

    def _retry_postponed(self) -> None:
        """Retry the postponed shards, or lose them if no leaf is left."""
        shards, self._postponed_shards = self._postponed_shards, []
        for shard in shards:
            if self._has_part:
                self._retry(shard, "failed")
            else:
                self._collector.add_loss(shard)

    @property
    def _may_crash_leafs(self) -> bool:
        """Return whether no leaf has completed the search and some broke."""
        crash_guard = self._shared.crash_guard
        return not self._has_part and crash_guard.may_crash_more(
            self._broken_count
        )

    def _hedge(self) -> None:
        self._timer = None
        if self._may_crash_leafs:
            return
        answered = self._collector.progress.answered
        for shard, in_flight in list(self._in_flight_by_shard.items()):
            if in_flight > 0 and shard not in answered:
                self._send_extra(shard, "straggler")

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
