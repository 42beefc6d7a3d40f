"""Tracks the connections that were accepted on one listener."""

from heatherdyke.gateway.core import Core
from heatherdyke.gateway.inbound_connection import InboundConnection


class BaseConnectionManager:
    """Tracks open connections; subclasses serve their requests."""

    __slots__ = ("stopping", "_core", "_connections")

    def __init__(self, core: Core) -> None:
        self.stopping = False
        self._core = core
        self._connections: set[InboundConnection] = set()

    @property
    def is_draining(self) -> bool:
        """Tell whether connections are closed after their next response."""
        return self.stopping

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def running_count(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(not item.is_idle for item in self._connections)

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._core.loop.time()

    def connection_opened(self, connection: InboundConnection) -> None:
        """Register a new connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: InboundConnection) -> None:
        """Remove a connection that was closed."""
        self._connections.discard(connection)
