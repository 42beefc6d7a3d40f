"""Serves other instances: groups of shards and single requests."""

import asyncio
from collections.abc import Callable

import msgspec

from heatherdyke.gateway.connection_manager import BaseConnectionManager
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.forwarded_request import ForwardedRequest
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.part_collector import PartCollector
from heatherdyke.gateway.peer_messages import FORWARD_PATH
from heatherdyke.gateway.peer_messages import HEALTH_PATH
from heatherdyke.gateway.peer_messages import NEWS_PATH
from heatherdyke.gateway.peer_messages import REMAINDER_PATH
from heatherdyke.gateway.peer_messages import SEARCH_PATH
from heatherdyke.gateway.peer_messages import ForwardRequest
from heatherdyke.gateway.peer_messages import ForwardResult
from heatherdyke.gateway.peer_messages import GroupRequest
from heatherdyke.gateway.peer_messages import GroupResult
from heatherdyke.gateway.peer_messages import QuarantineNews
from heatherdyke.gateway.peer_messages import RemainderRequest
from heatherdyke.gateway.peer_messages import decode_message
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_requests import client_request_of
from heatherdyke.gateway.peer_requests import route_of
from heatherdyke.gateway.peer_send import STATUS_DECLINED
from heatherdyke.gateway.peer_send import STATUS_LEAFS_UNREACHABLE
from heatherdyke.gateway.peer_send import STATUS_QUARANTINED
from heatherdyke.gateway.record_merge import top_records
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.gateway.search_progress import Decision
from heatherdyke.gateway.search_progress import SearchProgress
from heatherdyke.gateway.shard_search import ShardSearch
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.platform.headers import LEAF_ID

PEER_LIMITS = ClientLimits(
    max_body_bytes=4_194_304, idle_timeout_s=60.0, header_timeout_s=3.0
)
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
            status = _decline_status(self._shared)
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


class PeerApi(BaseConnectionManager):
    """Serves the listener for other instances.

    ``on_news`` applies quarantine news and returns the news to reply.
    """

    __slots__ = ("_on_config_version", "_on_news", "_open_by_key")

    def __init__(
        self,
        shared: SharedState,
        on_config_version: Callable[[int], None],
        on_news: Callable[[QuarantineNews], QuarantineNews],
    ) -> None:
        super().__init__(shared)
        self._on_config_version = on_config_version
        self._on_news = on_news
        self._open_by_key: dict[tuple[bytes, str], GroupSearch] = {}

    @property
    def limits(self) -> ClientLimits:
        """Return the limits on what other instances may send."""
        return PEER_LIMITS

    def handle(self, exchange: Exchange) -> None:
        """Serve a request of another instance, by its path."""
        target = exchange.request.target
        if target == SEARCH_PATH:
            self._serve_search(exchange)
        elif target == FORWARD_PATH:
            self._serve_forward(exchange)
        elif target == REMAINDER_PATH:
            self._serve_remainder(exchange)
        elif target == NEWS_PATH:
            self._serve_news(exchange)
        elif target == HEALTH_PATH.encode():
            name = self._shared.settings.name.encode()
            status = 503 if self.stopping else 200
            exchange.answer(ClientResponse(status, [(LEAF_ID, name)]))
        else:
            exchange.answer(ClientResponse(404))

    def _serve_search(self, exchange: Exchange) -> None:
        if self._shared.has_lost_leafs:
            self._decline(exchange)
            return
        try:
            message = decode_message(exchange.request.body, GroupRequest)
        except msgspec.MsgspecError:
            self._shared.metrics.count("groups_served", "malformed")
            exchange.answer(ClientResponse(400))
            return
        if not message.shards:
            exchange.answer(ClientResponse(400))
            return
        may_finish = self._shared.can_finish(
            route_of(message), "", message.limit_s
        )
        if self._shared.config is None or not may_finish:
            self._decline(exchange)
            return
        self._shared.last_request_at = self._shared.loop.time()
        self._on_config_version(message.config_version)
        GroupSearch(self._shared, exchange, message, self._track_open).start()

    def _serve_forward(self, exchange: Exchange) -> None:
        """Forward a request; the result holds the response to the client."""
        shared = self._shared
        if shared.has_lost_leafs:
            self._decline(exchange)
            return
        try:
            message = decode_message(exchange.request.body, ForwardRequest)
        except msgspec.MsgspecError:
            exchange.answer(ClientResponse(400))
            return
        route = route_of(message)
        if shared.config is None or not shared.selector.zones_with_leaf(
            message.service, route
        ):
            self._decline(exchange)
            return
        if not shared.can_finish(route, message.service, message.limit_s):
            self._decline(exchange)
            return
        shared.last_request_at = shared.loop.time()
        self._on_config_version(message.config_version)
        request = client_request_of(message, shared.loop.time())

        def answer(response: ClientResponse) -> None:
            result = ForwardResult(
                response.status, response.headers, response.body
            )
            exchange.answer(ClientResponse(200, [], encode_message(result)))

        inner = Exchange(request, answer)
        exchange.on_disconnect(inner.disconnect)
        exchange.on_shutdown(inner.shut_down)
        ForwardedRequest(
            shared, inner, route, message.service, may_relay=False
        ).start()

    def _serve_news(self, exchange: Exchange) -> None:
        try:
            news = decode_message(exchange.request.body, QuarantineNews)
        except msgspec.MsgspecError:
            exchange.answer(ClientResponse(400))
            return
        reply = encode_message(self._on_news(news))
        exchange.answer(ClientResponse(200, [], reply))

    def _decline(self, exchange: Exchange) -> None:
        exchange.answer(ClientResponse(_decline_status(self._shared)))

    def _serve_remainder(self, exchange: Exchange) -> None:
        try:
            message = decode_message(exchange.request.body, RemainderRequest)
        except msgspec.MsgspecError:
            exchange.answer(ClientResponse(400))
            return
        key = (message.request_id, message.first_shard)
        search = self._open_by_key.pop(key, None)
        if search is None:
            exchange.answer(ClientResponse(404))
            return
        search.resume(exchange, message.due_s)

    def _track_open(self, search: GroupSearch, is_open: bool) -> None:
        if is_open:
            self._open_by_key[search.key] = search
        elif self._open_by_key.get(search.key) is search:
            del self._open_by_key[search.key]


def _decline_status(shared: SharedState) -> int:
    """Return the status that tells why a request is not served here."""
    if shared.links.can_connect():
        return STATUS_DECLINED
    return STATUS_LEAFS_UNREACHABLE
