"""One request and its one answer, between a connection and its handler."""

from collections.abc import Callable

from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import ClientResponse


class Exchange:
    """Takes the final answer; tells the handler if the client leaves."""

    __slots__ = ("request", "answered", "_send", "_on_left")

    def __init__(
        self, request: ClientRequest, send: Callable[[ClientResponse], None]
    ) -> None:
        self.request = request
        self.answered = False
        self._send = send
        self._on_left: Callable[[], None] | None = None

    def on_disconnect(self, call: Callable[[], None]) -> None:
        """Have ``call`` made if the client leaves before the answer."""
        self._on_left = call

    def answer(self, answer: ClientResponse) -> None:
        """Send the answer; a second one is a fault of the caller."""
        if self.answered:
            raise RuntimeError("the request is answered already")
        self.answered = True
        self._send(answer)

    def disconnect(self) -> None:
        """Note that the client is gone; its answer goes nowhere."""
        if not self.answered:
            self.answered = True
            if self._on_left is not None:
                self._on_left()
