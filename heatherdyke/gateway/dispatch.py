"""Finds out how a client's request is served."""

from heatherdyke.gateway.events import REFUSED
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.forward import Forward
from heatherdyke.gateway.messages import Answer
from heatherdyke.gateway.refusal import RefusalReason
from heatherdyke.gateway.refusal import make_refusal
from heatherdyke.gateway.search import Search
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.store_watcher import StoreWatcher

# Without word from the store for this long, a route may be new.
UNSURE_AFTER_S = 1.0
# A first list takes some 20 ms; an urgent request can wait this long.
HOLD_S = 0.05


class Dispatcher:
    """Hands each request to a search or a forward, or refuses it.

    A request that comes before the first lists of the store is held for a
    moment, as they are on their way.
    """

    __slots__ = ("_shared", "_config_watcher", "_leaf_watcher", "_held")

    def __init__(
        self,
        shared: SharedState,
        config_watcher: StoreWatcher,
        leaf_watcher: StoreWatcher,
    ) -> None:
        self._shared = shared
        self._config_watcher = config_watcher
        self._leaf_watcher = leaf_watcher
        self._held: list[Exchange] = []

    def handle(self, exchange: Exchange) -> None:
        """Serve a request, at once or later."""
        request = exchange.request
        self._shared.last_request_at = self._shared.loop.time()
        if not request.target.startswith(b"/") or not request.host:
            self._reject(exchange, 400, RefusalReason.MALFORMED)
            return
        routes = self._shared.routes
        if routes is None or not self._leaf_watcher.listed.is_set():
            self._hold(exchange)
            return
        route = routes.find(request.host, request.path)
        if route is None:
            if self._is_unsure():
                self._refuse(exchange, RefusalReason.UNSURE_ROUTE)
            else:
                self._reject(exchange, 404, RefusalReason.NO_ROUTE)
        elif route.shards:
            Search(self._shared, exchange, route).start()
        else:
            service = self._shared.pick_service(route)
            Forward(self._shared, exchange, route, service).start()

    def take_held(self) -> list[Exchange]:
        """Return the requests that are held, and hold them no longer."""
        held, self._held = self._held, []
        return [exchange for exchange in held if not exchange.answered]

    def _hold(self, exchange: Exchange) -> None:
        """Hold a request, or refuse it if the store does not serve."""
        if (
            self._config_watcher.unavailable_for_s()
            or self._leaf_watcher.unavailable_for_s()
        ):
            self._refuse(exchange, RefusalReason.STARTING)
            return
        self._held.append(exchange)
        self._shared.loop.call_later(HOLD_S, self._end_hold, exchange)

    def _end_hold(self, exchange: Exchange) -> None:
        if exchange in self._held:
            self._held.remove(exchange)
            if not exchange.answered:
                self._refuse(exchange, RefusalReason.STARTING)

    def _is_unsure(self) -> bool:
        return self._config_watcher.unavailable_for_s() > UNSURE_AFTER_S

    def _refuse(self, exchange: Exchange, why: RefusalReason) -> None:
        refusal = make_refusal(
            why, exchange.request.wait_s, self._shared.random
        )
        exchange.answer(refusal.answer)
        self._log(exchange, 503, why, refusal.retry_after_s)

    def _reject(
        self, exchange: Exchange, status: int, why: RefusalReason
    ) -> None:
        exchange.answer(Answer(status))
        self._log(exchange, status, why, None)

    def _log(
        self,
        exchange: Exchange,
        status: int,
        why: RefusalReason,
        retry_after_s: float | None,
    ) -> None:
        shared = self._shared
        config = shared.config
        request = exchange.request
        shared.metrics.count("answers", str(status))
        shared.log.record(
            REFUSED,
            request_id=request.id_text,
            route="",
            status=status,
            why=why.value,
            retry_after_s=retry_after_s,
            inputs=f"host {request.host}, path {request.path}, version "
            f"{config.version if config else None}, store lost for "
            f"{self._config_watcher.unavailable_for_s():.1f} s",
        )
