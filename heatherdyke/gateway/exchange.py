"""A request and its response, between a connection and its handler."""

from collections.abc import Callable

from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import ClientResponse


class Exchange:
    """Passes on the response; notifies the handler of an early end."""

    __slots__ = (
        "request",
        "answered",
        "_send",
        "_on_disconnect",
        "_on_shutdown",
    )

    def __init__(
        self, request: ClientRequest, send: Callable[[ClientResponse], None]
    ) -> None:
        self.request = request
        self.answered = False
        self._send = send
        self._on_disconnect: Callable[[], None] | None = None
        self._on_shutdown: Callable[[], None] | None = None

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Set the callback for a disconnect before the response."""
        self._on_disconnect = callback

    def on_shutdown(self, callback: Callable[[], None]) -> None:
        """Set the callback that answers at once, as the process is ending."""
        self._on_shutdown = callback

    def shut_down(self) -> None:
        """Have the handler answer now unless it has."""
        if not self.answered and self._on_shutdown is not None:
            self._on_shutdown()

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
