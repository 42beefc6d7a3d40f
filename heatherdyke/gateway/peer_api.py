"""Serves other instances: groups of shards and single requests."""

from collections.abc import Callable

import msgspec

from heatherdyke.gateway.connection_manager import BaseConnectionManager
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.forwarded_request import ForwardedRequest
from heatherdyke.gateway.group_search import GroupSearch
from heatherdyke.gateway.group_search import decline_status
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.peer_messages import FORWARD_PATH
from heatherdyke.gateway.peer_messages import FRESHNESS_PATH
from heatherdyke.gateway.peer_messages import HEALTH_PATH
from heatherdyke.gateway.peer_messages import NEWS_PATH
from heatherdyke.gateway.peer_messages import REMAINDER_PATH
from heatherdyke.gateway.peer_messages import SEARCH_PATH
from heatherdyke.gateway.peer_messages import ZONE_PATH
from heatherdyke.gateway.peer_messages import ForwardRequest
from heatherdyke.gateway.peer_messages import ForwardResult
from heatherdyke.gateway.peer_messages import GroupRequest
from heatherdyke.gateway.peer_messages import QuarantineNews
from heatherdyke.gateway.peer_messages import RemainderRequest
from heatherdyke.gateway.peer_messages import ZoneReport
from heatherdyke.gateway.peer_messages import decode_message
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_requests import client_request_of
from heatherdyke.gateway.peer_requests import prior_attempts_of
from heatherdyke.gateway.peer_requests import route_of
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.turn_queue import TurnQueue
from heatherdyke.net.memory_quota import Source
from heatherdyke.platform.headers import LEAF_ID

PEER_LIMITS = ClientLimits(
    max_body_bytes=4_194_304, idle_timeout_s=60.0, header_timeout_s=3.0
)


def _answer_not_found(exchange: Exchange) -> None:
    exchange.answer(ClientResponse(404))


class PeerApi(BaseConnectionManager):
    """Serves the listener for other instances.

    ``on_news`` applies quarantine news and returns the news to reply;
    ``on_zone_report`` is called with the zones that do not respond to another
    instance; ``on_freshness_asked`` answers what is known of the store's
    latest changes.
    """

    source = Source.INSTANCE
    __slots__ = (
        "_on_config_version",
        "_on_news",
        "_on_zone_report",
        "_on_freshness_asked",
        "_open_by_key",
        "_turns",
    )

    def __init__(
        self,
        shared: SharedState,
        on_config_version: Callable[[int], None],
        on_news: Callable[[QuarantineNews], QuarantineNews],
        on_zone_report: Callable[[ZoneReport], None] = lambda report: None,
        on_freshness_asked: Callable[[Exchange], None] = _answer_not_found,
    ) -> None:
        super().__init__(shared)
        # Clients that send much do not hold up other instances.
        self._turns = TurnQueue(shared.loop)
        self._on_config_version = on_config_version
        self._on_news = on_news
        self._on_zone_report = on_zone_report
        self._on_freshness_asked = on_freshness_asked
        self._open_by_key: dict[tuple[bytes, str], GroupSearch] = {}

    @property
    def turns(self) -> TurnQueue:
        """Return the queue of this listener."""
        return self._turns

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
        elif target == ZONE_PATH:
            self._serve_zone_report(exchange)
        elif target == FRESHNESS_PATH:
            self._on_freshness_asked(exchange)
        elif target == HEALTH_PATH.encode():
            name = self._shared.settings.name.encode()
            status = 503 if self.stopping else 200
            exchange.answer(ClientResponse(status, [(LEAF_ID, name)]))
        else:
            _answer_not_found(exchange)

    def _serve_search(self, exchange: Exchange) -> None:
        if self._shared.has_lost_leafs or self.memory.is_exceeded:
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
        if shared.has_lost_leafs or self.memory.is_exceeded:
            self._decline(exchange)
            return
        try:
            message = decode_message(exchange.request.body, ForwardRequest)
        except msgspec.MsgspecError:
            exchange.answer(ClientResponse(400))
            return
        route = route_of(message)
        prior = prior_attempts_of(message)
        if shared.config is None or not shared.selector.zones_with_leaf(
            message.service, route, tried=shared.leafs.find(prior.rejected_by)
        ):
            self._decline(exchange)
            return
        if not shared.can_finish(route, message.service, message.limit_s):
            self._decline(exchange)
            return
        if prior.is_uncharged_retry and not shared.budget.allows(
            message.service, shared.loop.time()
        ):
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
        ForwardedRequest(shared, inner, route, message.service, prior).start()

    def _serve_news(self, exchange: Exchange) -> None:
        try:
            news = decode_message(exchange.request.body, QuarantineNews)
        except msgspec.MsgspecError:
            exchange.answer(ClientResponse(400))
            return
        reply = encode_message(self._on_news(news))
        exchange.answer(ClientResponse(200, [], reply))

    def _serve_zone_report(self, exchange: Exchange) -> None:
        try:
            report = decode_message(exchange.request.body, ZoneReport)
        except msgspec.MsgspecError:
            exchange.answer(ClientResponse(400))
            return
        exchange.answer(ClientResponse(200))
        self._on_zone_report(report)

    def _decline(self, exchange: Exchange) -> None:
        exchange.answer(ClientResponse(decline_status(self._shared)))

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
