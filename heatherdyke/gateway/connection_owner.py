"""The connections that others opened to one address of this process."""

from heatherdyke.gateway.client_connection import ClientConnection
from heatherdyke.gateway.shared_state import SharedState


class ConnectionOwner:
    """Knows its connections; subclasses serve their requests."""

    __slots__ = ("stopping", "_shared", "_connections")

    def __init__(self, shared: SharedState) -> None:
        self.stopping = False
        self._shared = shared
        self._connections: set[ClientConnection] = set()

    @property
    def closing(self) -> bool:
        """Tell whether others should come back on other connections."""
        return self.stopping

    @property
    def open_count(self) -> int:
        """Return the number of connections."""
        return len(self._connections)

    @property
    def running_count(self) -> int:
        """Return the number of connections with a request."""
        return sum(not item.is_idle for item in self._connections)

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._shared.loop.time()

    def opened(self, connection: ClientConnection) -> None:
        """Note a new connection."""
        self._connections.add(connection)

    def closed(self, connection: ClientConnection) -> None:
        """Note that a connection has ended."""
        self._connections.discard(connection)
