"""The clients' connections, and when they are ended."""

from collections.abc import Callable

from heatherdyke.gateway.connection_manager import BaseConnectionManager
from heatherdyke.gateway.core import Core
from heatherdyke.gateway.dispatch import Dispatcher
from heatherdyke.gateway.events import UNEXPECTED_ERROR
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.inbound_connection import InboundConnection
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.routing import ClientLimits

DEFAULT_LIMITS = ClientLimits()
# A connection is kept a little longer than the limit, so that a client that
# uses the limit does not meet the close.
IDLE_MARGIN_S = 0.5


class ClientApi(BaseConnectionManager):
    """Owns the connections of the clients' address."""

    __slots__ = ("_dispatcher",)

    def __init__(self, core: Core, dispatcher: Dispatcher) -> None:
        super().__init__(core)
        self._dispatcher = dispatcher

    @property
    def limits(self) -> ClientLimits:
        """Return the limits of the configuration in force."""
        config = self._core.config
        return config.limits if config is not None else DEFAULT_LIMITS

    @property
    def is_draining(self) -> bool:
        """Tell whether clients should come back on other connections."""
        core = self._core
        cut_off = core.isolation.should_turn_away(core.loop.time())
        return self.stopping or cut_off

    def handle(self, exchange: Exchange) -> None:
        """Serve a request; a fault in the program ends it with a 500."""
        try:
            self._dispatcher.handle(exchange)
        except Exception as error:
            request_id = exchange.request.id_text
            self._core.log.record(
                UNEXPECTED_ERROR,
                where=f"request {request_id}",
                error=repr(error),
            )
            if not exchange.answered:
                exchange.answer(ClientResponse(500))

    def maintain(self, now: float) -> None:
        """End connections that are idle or slow beyond the limits."""
        limits = self.limits
        for connection in list(self._connections):
            quiet_s = now - connection.active_at
            if connection.is_reading:
                if quiet_s > limits.header_timeout_s:
                    connection.time_out()
            elif quiet_s > limits.idle_timeout_s + IDLE_MARGIN_S:
                connection.close_if_idle()

    def close_idle(self) -> None:
        """End all connections without a request."""
        self._each(InboundConnection.close_if_idle)

    def _each(self, call: Callable[[InboundConnection], object]) -> None:
        for connection in list(self._connections):
            call(connection)
