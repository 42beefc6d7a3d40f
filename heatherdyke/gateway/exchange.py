"""A request and its response, between a connection and its handler."""

from collections.abc import Callable

from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import ClientResponse


class Exchange:
    """Passes on the response; notifies the handler of a disconnect."""

    __slots__ = ("request", "answered", "_send", "_on_disconnect")

    def __init__(
        self, request: ClientRequest, send: Callable[[ClientResponse], None]
    ) -> None:
        self.request = request
        self.answered = False
        self._send = send
        self._on_disconnect: Callable[[], None] | None = None

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Set the callback for a disconnect before the response."""
        self._on_disconnect = callback

    def answer(self, response: ClientResponse) -> None:
        """Send the response; raises RuntimeError if one was sent already."""
        if self.answered:
            raise RuntimeError("the request has already been answered")
        self.answered = True
        self._send(response)

    def disconnect(self) -> None:
        """Record that the client has disconnected; no response is sent."""
        if not self.answered:
            self.answered = True
            if self._on_disconnect is not None:
                self._on_disconnect()
