"""Serves the clients' connections."""

from heatherdyke.gateway.connection_manager import BaseConnectionManager
from heatherdyke.gateway.dispatch import Dispatcher
from heatherdyke.gateway.events import UNEXPECTED_ERROR
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.gateway.shared_state import SharedState

DEFAULT_LIMITS = ClientLimits()
# A connection of a stopping process is closed after this long without a
# request: a client that has just connected is about to send one.
STOPPING_IDLE_S = 0.3


class ClientApi(BaseConnectionManager):
    """Manages the connections of the listener for clients."""

    __slots__ = ("_dispatcher",)

    def __init__(self, shared: SharedState, dispatcher: Dispatcher) -> None:
        super().__init__(shared)
        self._dispatcher = dispatcher

    @property
    def limits(self) -> ClientLimits:
        """Return the limits of the active configuration."""
        config = self._shared.config
        return config.limits if config is not None else DEFAULT_LIMITS

    @property
    def is_draining(self) -> bool:
        """Return whether clients should reconnect, to another instance."""
        return self.stopping or self._shared.is_isolated

    def handle(self, exchange: Exchange) -> None:
        """Serve a request; an unexpected exception is answered with 500."""
        try:
            self._dispatcher.handle(exchange)
        except Exception as error:
            request_id = exchange.request.id_text
            self._shared.log.record(
                UNEXPECTED_ERROR,
                where=f"request {request_id}",
                error=repr(error),
            )
            if not exchange.answered:
                exchange.answer(ClientResponse(500))

    def close_idle(self) -> None:
        """Close the connections that have been without a request."""
        idle_since = self.now() - STOPPING_IDLE_S
        for connection in list(self._connections):
            if connection.last_active_at <= idle_since:
                connection.close_if_idle()
