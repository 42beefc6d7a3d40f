"""Serves a group of shards of a search for another instance."""

import asyncio
from collections.abc import Callable

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.part_collector import PartCollector
from heatherdyke.gateway.peer_messages import GroupRequest
from heatherdyke.gateway.peer_messages import GroupResult
from heatherdyke.gateway.peer_messages import QuarantineNews
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_requests import client_request_of
from heatherdyke.gateway.peer_requests import route_of
from heatherdyke.gateway.peer_send import STATUS_DECLINED
from heatherdyke.gateway.peer_send import STATUS_LEAFS_UNREACHABLE
from heatherdyke.gateway.peer_send import STATUS_QUARANTINED
from heatherdyke.gateway.record_merge import top_records
from heatherdyke.gateway.search_progress import Decision
from heatherdyke.gateway.search_progress import SearchProgress
from heatherdyke.gateway.shard_search import ShardSearch
from heatherdyke.gateway.shared_state import SharedState

# A group is declined if a larger share of its shards has no usable leaf here.
MAX_SHARE_WITHOUT_LEAF = 0.1
# How long an open search is kept for a remainder request.
REMAINDER_WAIT_S = 0.1


class GroupSearch:
    """The search of one group of shards for another instance.

    ``on_open_change`` is called when the search becomes open, that is, ready
    for a remainder request, and when it no longer is.
    """

    __slots__ = (
        "key",
        "_shared",
        "_exchange",
        "_message",
        "_request",
        "_route",
        "_collector",
        "_search",
        "_reported_parts",
        "_on_open_change",
        "_timer",
    )

    def __init__(
        self,
        shared: SharedState,
        exchange: Exchange,
        message: GroupRequest,
        on_open_change: Callable[["GroupSearch", bool], None],
    ) -> None:
        self.key = (message.request_id, message.shards[0])
        self._shared = shared
        self._exchange: Exchange | None = exchange
        self._reported_parts = 0
        self._on_open_change = on_open_change
        self._timer: asyncio.TimerHandle | None = None
        self._message = message
        self._route = route_of(message)
        now = shared.loop.time()
        progress = SearchProgress(
            shard_count=len(message.shards),
            min_share=message.min_share,
            answer_at=now + message.due_s,
            deadline_at=now + message.limit_s,
            is_group=True,
        )
        self._collector = PartCollector(
            shared.loop, progress, self._on_decision
        )
        self._request = client_request_of(message, now)
        self._search = ShardSearch(
            shared, self._request, self._route, message.shards, self._collector
        )

    def start(self) -> None:
        """Query the leafs, or decline if too few shards have one here.

        The sender has a leaf for each shard in its own state, which may be
        more recent.
        """
        entry = self._shared.crash_guard.entry_of(self._request)
        if entry is not None:
            self._shared.metrics.count("groups_served", "quarantined")
            verdict = entry.to_verdict(self._shared.loop.time())
            body = encode_message(QuarantineNews(verdicts=[verdict]))
            self._exchange.answer(ClientResponse(STATUS_QUARANTINED, [], body))
            return
        if self._lacks_leafs():
            self._shared.metrics.count("groups_served", "declined")
            status = decline_status(self._shared)
            self._exchange.answer(ClientResponse(status))
            return
        self._exchange.on_disconnect(self._on_sender_disconnect)
        self._exchange.on_shutdown(self._collector.end_now)
        self._search.start()
        self._collector.start()

    def _lacks_leafs(self) -> bool:
        """Return whether too few shards have a leaf that gets requests."""
        shards = self._message.shards
        selector = self._shared.selector
        with_leaf = sum(
            bool(selector.zones_with_leaf(shard, self._route))
            for shard in shards
        )
        return with_leaf < (1.0 - MAX_SHARE_WITHOUT_LEAF) * len(shards)

    def resume(self, exchange: Exchange, due_s: float) -> None:
        """Answer with the parts that arrive within ``due_s``."""
        self._stop_timer()
        self._exchange = exchange
        exchange.on_disconnect(self._on_sender_disconnect)
        exchange.on_shutdown(self._collector.end_now)
        self._collector.resume(self._shared.loop.time() + due_s)

    def _on_decision(self, decision: Decision) -> None:
        """Answer with the new parts, even if they are too few."""
        progress = self._collector.progress
        is_open = decision is Decision.ANSWER and not progress.is_settled
        exchange, self._exchange = self._exchange, None
        self._shared.metrics.count(
            "groups_served", "open" if is_open else "whole"
        )
        exchange.answer(
            ClientResponse(200, [], encode_message(self._result(is_open)))
        )
        if is_open:
            self._on_open_change(self, True)
            self._timer = self._shared.loop.call_later(
                REMAINDER_WAIT_S, self._close
            )
        else:
            self._close()

    def _result(self, is_open: bool) -> GroupResult:
        """Return the parts that arrived since the last result."""
        collector = self._collector
        start = self._reported_parts
        self._reported_parts = len(collector.signatures)
        missing = collector.progress.missing
        return GroupResult(
            parts=list(
                zip(
                    collector.answered_shards[start:],
                    collector.signatures[start:],
                    strict=True,
                )
            ),
            records=top_records(
                collector.bodies[start:], self._message.record_limit
            ),
            missing=self._search.describe_missing() if missing else [],
            sent=self._search.sent,
            extra_sends=self._search.extra_sends,
            is_open=is_open,
        )

    def _close(self) -> None:
        """End the search; a remainder request can no longer resume it."""
        self._stop_timer()
        self._on_open_change(self, False)
        self._collector.close()
        self._search.finish()

    def _on_sender_disconnect(self) -> None:
        self._stop_timer()
        self._on_open_change(self, False)
        self._collector.close()
        self._search.abandon()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def decline_status(shared: SharedState) -> int:
    """Return the status that tells why a request is not served here."""
    if shared.links.can_connect():
        return STATUS_DECLINED
    return STATUS_LEAFS_UNREACHABLE
