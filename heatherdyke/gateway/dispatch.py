"""Finds out how a client's request is served."""

from heatherdyke.gateway.core import Core
from heatherdyke.gateway.events import REQUEST_REFUSED
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.feed import Feed
from heatherdyke.gateway.forwarded_request import ForwardedRequest
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.refusal import Why
from heatherdyke.gateway.refusal import refuse
from heatherdyke.gateway.search import Search

# Without word from the store for this long, a route may be new.
UNSURE_AFTER_S = 1.0
# A first list takes some 20 ms; an urgent request can wait this long.
MAX_HOLD_S = 0.05


class Dispatcher:
    """Hands each request to a search or a forward, or refuses it.

    A request that comes before the first lists of the store is held for a
    moment, as they are on their way.
    """

    __slots__ = ("_core", "_config_feed", "_leaf_feed", "_held")

    def __init__(self, core: Core, config_feed: Feed, leaf_feed: Feed) -> None:
        self._core = core
        self._config_feed = config_feed
        self._leaf_feed = leaf_feed
        self._held: list[Exchange] = []

    def handle(self, exchange: Exchange) -> None:
        """Serve a request, at once or later."""
        request = exchange.request
        self._core.asked_at = self._core.loop.time()
        if not request.target.startswith(b"/") or not request.host:
            self._reject(exchange, 400, Why.MALFORMED)
            return
        routes = self._core.routes
        if routes is None or not self._leaf_feed.listed.is_set():
            self._hold(exchange)
            return
        route = routes.find(request.host, request.path)
        if route is None:
            if self._is_unsure():
                self._refuse(exchange, Why.UNSURE_ROUTE)
            else:
                self._reject(exchange, 404, Why.NO_ROUTE)
        elif route.shards:
            Search(self._core, exchange, route).start()
        else:
            service = self._core.split(route)
            ForwardedRequest(self._core, exchange, route, service).start()

    def release_held(self) -> list[Exchange]:
        """Return the requests that are held, and hold them no longer."""
        held, self._held = self._held, []
        return [exchange for exchange in held if not exchange.answered]

    def _hold(self, exchange: Exchange) -> None:
        """Hold a request, or refuse it if the store does not serve."""
        if self._config_feed.lost_for_s() or self._leaf_feed.lost_for_s():
            self._refuse(exchange, Why.STARTING)
            return
        self._held.append(exchange)
        self._core.loop.call_later(MAX_HOLD_S, self._end_hold, exchange)

    def _end_hold(self, exchange: Exchange) -> None:
        if exchange in self._held:
            self._held.remove(exchange)
            if not exchange.answered:
                self._refuse(exchange, Why.STARTING)

    def _is_unsure(self) -> bool:
        return self._config_feed.lost_for_s() > UNSURE_AFTER_S

    def _refuse(self, exchange: Exchange, why: Why) -> None:
        refusal = refuse(why, exchange.request.wait_s, self._core.random)
        exchange.answer(refusal.answer)
        self._log(exchange, 503, why, refusal.retry_after_s)

    def _reject(self, exchange: Exchange, status: int, why: Why) -> None:
        exchange.answer(ClientResponse(status))
        self._log(exchange, status, why, None)

    def _log(
        self,
        exchange: Exchange,
        status: int,
        why: Why,
        retry_after_s: float | None,
    ) -> None:
        core = self._core
        config = core.config
        request = exchange.request
        core.metrics.count("answers", str(status))
        core.log.record(
            REQUEST_REFUSED,
            request_id=request.id_text,
            route="",
            status=status,
            why=why.value,
            retry_after_s=retry_after_s,
            inputs=f"host {request.host}, path {request.path}, version "
            f"{config.version if config else None}, store lost for "
            f"{self._config_feed.lost_for_s():.1f} s",
        )
