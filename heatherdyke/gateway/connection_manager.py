"""Tracks the connections that were accepted on one listener."""

import resource
from collections.abc import Callable
from operator import attrgetter

from heatherdyke.gateway.closable_connections import ClosableConnections
from heatherdyke.gateway.inbound_connection import InboundConnection
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.turn_queue import TurnQueue
from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.net.memory_quota import Source

# A connection is closed if nothing was read from it for this long although
# responses are unsent.
MAX_UNREAD_S = 10.0
# By how much waits for turns may extend the time to receive a request.
MAX_WAITS_S = 10.0
# Idle connections are kept a little longer than the limit: a client that sends
# a request just within the limit must not meet a closed connection.
IDLE_MARGIN_S = 0.5
# How long the memory of a request is reserved after its client has left.
MAX_WAIT_S = 10.0
# Sockets for leafs, other instances and the store, and files; half of what is
# granted if that is less.
RESERVED_DESCRIPTORS = 200
INBOUND_SHARE = 0.75


class BaseConnectionManager:
    """Tracks open connections and enforces their limits.

    Subclasses serve their requests.
    """

    source = Source.CLIENT
    __slots__ = (
        "stopping",
        "_shared",
        "_connections",
        "_closable",
        "_sharers",
        "_is_closed",
    )

    def __init__(self, shared: SharedState) -> None:
        self.stopping = False
        self._shared = shared
        self._connections: set[InboundConnection] = set()
        self._closable = ClosableConnections()
        # Those whose connections together are limited, this one included.
        self._sharers: list[BaseConnectionManager] = [self]
        self._is_closed = False

    def share_limit(self, other: "BaseConnectionManager") -> None:
        """Limit the connections of both together."""
        self._sharers = other._sharers = [self, other]

    @property
    def limits(self) -> ClientLimits:
        """Return the limits on what may be sent."""
        return ClientLimits()

    @property
    def memory(self) -> MemoryQuota:
        """Return the quota of the memory that connections use."""
        return self._shared.memory

    @property
    def turns(self) -> TurnQueue:
        """Return the queue of connections that have more to do."""
        return self._shared.turns

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

    def close(self) -> None:
        """Close all connections, and those that are yet being accepted."""
        self._is_closed = True
        for connection in list(self._connections):
            connection.abort()

    def maintain(self, now: float) -> None:
        """Close connections that send, read or do nothing for too long."""
        self._closable.forget()
        for connection in list(self._connections):
            is_unread = connection.unread_for_s(now) > MAX_UNREAD_S
            if is_unread or connection.is_abandoned():
                connection.abort()
            else:
                self._close_inactive(connection, now)

    def _close_inactive(
        self, connection: InboundConnection, now: float
    ) -> None:
        """Close a connection past the header or the idle timeout."""
        limits = self.limits
        inactive_s = now - connection.last_active_at
        if connection.is_reading:
            reading_s = connection.reading_for_s(now)
            timeout_s = limits.header_timeout_s
            if reading_s > timeout_s or inactive_s > timeout_s + MAX_WAITS_S:
                connection.time_out()
        elif inactive_s > limits.idle_timeout_s + IDLE_MARGIN_S:
            connection.close_if_idle()

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._shared.loop.time()

    @property
    def is_busy(self) -> bool:
        """Return whether connections wait for their turn."""
        return not self.turns.is_empty

    def call_in_turn(self, callback: Callable[[], None]) -> None:
        """Call back in a later turn of the event loop, after those before."""
        self.turns.add(callback)

    def connection_opened(self, connection: InboundConnection) -> None:
        """Register a new connection; close another one above the limit.

        The listener that holds most gives it up, so that clients do not crowd
        out other instances, or the reverse.
        """
        if self._is_closed:
            connection.abort()
            return
        open_count = 1 + sum(item.open_count for item in self._sharers)
        if open_count > self.max_connections:
            largest = max(self._sharers, key=attrgetter("open_count"))
            if not largest.close_one():
                connection.close_if_idle()
        self._connections.add(connection)

    @property
    def max_connections(self) -> int:
        """Return how many connections leave descriptors for others."""
        descriptors = self._shared.settings.max_descriptors
        granted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if granted != resource.RLIM_INFINITY:
            descriptors = min(descriptors, granted)
        reserved = min(RESERVED_DESCRIPTORS, descriptors // 2)
        return int(INBOUND_SHARE * (descriptors - reserved))

    def close_one(self) -> bool:
        """Close a connection; return False if all of them are in use."""
        return self._closable.close_one(self._connections, self.now())

    def connection_closed(self, connection: InboundConnection) -> None:
        """Remove a connection that was closed.

        A request that is running may go on without its client until its
        deadline, and keeps its memory.
        """
        self._connections.discard(connection)
        exchange = connection.exchange
        if exchange is not None and exchange.request.reservation is not None:
            request = exchange.request
            wait_s = MAX_WAIT_S if request.wait_s is None else request.wait_s
            self._shared.loop.call_later(
                min(wait_s, MAX_WAIT_S), request.reservation.release
            )
