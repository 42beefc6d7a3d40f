"""Routes each request of a client to its handler."""

import asyncio

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.forwarded_request import ForwardedRequest
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.refusal import Refusal
from heatherdyke.gateway.refusal import RefusalReason
from heatherdyke.gateway.refusal import make_refusal
from heatherdyke.gateway.refused_request import send_refusal
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.search import Search
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.store_watcher import StoreWatcher
from heatherdyke.gateway.timing import final_answer_deadline
from heatherdyke.platform.configuration import KIND as CONFIG_KIND

# Once the store has been unreachable for this long, a path without a route may
# belong to a route that this instance has not received yet.
ROUTES_STALE_AFTER_S = 1.0
# The first list takes about 20 ms; an urgent request can wait this long.
MAX_HOLD_S = 0.05


class Dispatcher:
    """Starts a search or forwards the request, or refuses it.

    A request that arrives before ``started`` is set is held for up to
    MAX_HOLD_S, as the first reads of the store are usually in flight by then.
    """

    __slots__ = (
        "_shared",
        "_config_watcher",
        "_leaf_watcher",
        "_started",
        "_held",
    )

    def __init__(
        self,
        shared: SharedState,
        config_watcher: StoreWatcher,
        leaf_watcher: StoreWatcher,
        started: asyncio.Event,
    ) -> None:
        self._shared = shared
        self._config_watcher = config_watcher
        self._leaf_watcher = leaf_watcher
        self._started = started
        self._held: list[Exchange] = []

    def handle(self, exchange: Exchange) -> None:
        """Serve a request; the response may follow later."""
        request = exchange.request
        self._shared.last_request_at = self._shared.loop.time()
        if not request.target.startswith(b"/") or not request.host:
            self._reject(exchange, 400, RefusalReason.MALFORMED)
            return
        if self._shared.memory.is_exceeded:
            self._refuse(exchange, RefusalReason.MEMORY)
            return
        routes = self._shared.routes
        if routes is None or not self._started.is_set():
            self._hold(exchange)
            return
        route = routes.find(request.host, request.path)
        if route is None:
            if self._may_lack_routes():
                self._refuse(exchange, RefusalReason.UNSURE_ROUTE)
            else:
                self._reject(exchange, 404, RefusalReason.NO_ROUTE)
        else:
            self._serve(exchange, route)

    def release_held(self) -> list[Exchange]:
        """Remove and return the held requests that are still open."""
        held, self._held = self._held, []
        return [exchange for exchange in held if not exchange.answered]

    def _serve(self, exchange: Exchange, route: Route) -> None:
        """Search or forward; a stopping process refuses what it cannot end."""
        shared = self._shared
        request = exchange.request
        service = "" if route.shards else shared.pick_service(route)
        deadline_at = final_answer_deadline(
            request.arrived_at, request.wait_s, route.timeout_s
        )
        remaining_s = deadline_at - shared.loop.time()
        if not shared.can_finish(route, service, remaining_s):
            self._refuse(exchange, RefusalReason.STOPPING, route.name)
        elif route.shards:
            Search(shared, exchange, route).start()
        else:
            ForwardedRequest(shared, exchange, route, service).start()

    def _hold(self, exchange: Exchange) -> None:
        """Hold a request, or refuse it if the store is unavailable."""
        if (
            self._config_watcher.unavailable_for_s()
            or self._leaf_watcher.unavailable_for_s()
        ):
            self._refuse(exchange, RefusalReason.STARTING)
            return
        self._held.append(exchange)
        exchange.on_shutdown(lambda: self._on_hold_timeout(exchange))
        self._shared.loop.call_later(
            MAX_HOLD_S, self._on_hold_timeout, exchange
        )

    def _on_hold_timeout(self, exchange: Exchange) -> None:
        if exchange in self._held:
            self._held.remove(exchange)
            if not exchange.answered:
                self._refuse(exchange, RefusalReason.STARTING)

    def _may_lack_routes(self) -> bool:
        shared = self._shared
        if shared.lacks_version or shared.config.unusable_parts:
            return True
        complete_at = shared.freshness.by_kind[CONFIG_KIND].complete_at
        age_s = shared.loop.time() - complete_at
        return (
            age_s > shared.settings.bounds.config_s
            or self._config_watcher.unavailable_for_s() > ROUTES_STALE_AFTER_S
        )

    def _refuse(
        self, exchange: Exchange, reason: RefusalReason, route: str = ""
    ) -> None:
        refusal = make_refusal(
            reason, exchange.request.wait_s, self._shared.random
        )
        self._send(exchange, reason, refusal, route)

    def _reject(
        self, exchange: Exchange, status: int, reason: RefusalReason
    ) -> None:
        self._send(exchange, reason, Refusal(ClientResponse(status), None))

    def _send(
        self,
        exchange: Exchange,
        reason: RefusalReason,
        refusal: Refusal,
        route: str = "",
    ) -> None:
        shared = self._shared
        request = exchange.request
        remaining_s = shared.shutdown.remaining_s(shared.loop.time())
        send_refusal(
            shared,
            exchange,
            route,
            reason,
            refusal,
            f"host {request.host}, path {request.path}, store lost for "
            f"{self._config_watcher.unavailable_for_s():.1f} s, process ends "
            f"in {remaining_s:.1f} s",
        )
