"""The requests of one connection that wait to be served."""

from collections import deque

from heatherdyke.gateway.messages import ClientRequest

# No more is parsed while this many requests, or bytes of them, wait behind the
# one that is served.
MAX_PIPELINED = 16
MAX_WAITING_BYTES = 65_536


class QueuedRequest:
    """A complete request, and whether its connection may be kept."""

    __slots__ = ("request", "keep_alive")

    def __init__(self, request: ClientRequest, keep_alive: bool) -> None:
        self.request = request
        self.keep_alive = keep_alive


class RequestQueue:
    """Complete requests, in the order in which they are to be served."""

    __slots__ = ("_waiting", "_body_bytes")

    def __init__(self) -> None:
        self._waiting: deque[QueuedRequest] = deque()
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Return whether no more requests should be parsed."""
        return (
            len(self._waiting) >= MAX_PIPELINED
            or self._body_bytes >= MAX_WAITING_BYTES
        )

    def add(self, request: ClientRequest, keep_alive: bool) -> None:
        """Add a request behind the others."""
        self._body_bytes += len(request.body)
        self._waiting.append(QueuedRequest(request, keep_alive))

    def take(self) -> QueuedRequest:
        """Remove and return the next request."""
        queued = self._waiting.popleft()
        self._body_bytes -= len(queued.request.body)
        return queued

    def clear(self) -> None:
        """Drop all requests."""
        self._waiting.clear()
        self._body_bytes = 0
