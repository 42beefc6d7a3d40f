"""Tracks the connections that were accepted on one listener."""

from heatherdyke.gateway.inbound_connection import InboundConnection
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.net.memory_quota import Source

# A connection is closed if nothing was read from it for this long although
# responses are unsent.
MAX_UNREAD_S = 10.0


class BaseConnectionManager:
    """Tracks open connections; subclasses serve their requests."""

    source = Source.CLIENT
    __slots__ = ("stopping", "_shared", "_connections")

    def __init__(self, shared: SharedState) -> None:
        self.stopping = False
        self._shared = shared
        self._connections: set[InboundConnection] = set()

    @property
    def memory(self) -> MemoryQuota:
        """Return the quota of the memory that connections use."""
        return self._shared.memory

    @property
    def is_draining(self) -> bool:
        """Return whether connections are closed after their next response."""
        return self.stopping

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def running_count(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(not item.is_idle for item in self._connections)

    def shut_down(self) -> None:
        """Have all running requests answered now, as the process ends."""
        for connection in list(self._connections):
            connection.shut_down()

    def abort_unread(self, now: float) -> None:
        """Close the connections whose clients do not read the responses."""
        for connection in list(self._connections):
            if connection.unread_for_s(now) > MAX_UNREAD_S:
                connection.abort()

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._shared.loop.time()

    def connection_opened(self, connection: InboundConnection) -> None:
        """Register a new connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: InboundConnection) -> None:
        """Remove a connection that was closed."""
        self._connections.discard(connection)
