"""The pool of connections to one leaf."""

import asyncio
import errno
from typing import Protocol

from heatherdyke.gateway.attempt import Attempt
from heatherdyke.gateway.leaf_connection import LeafConnection
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import Failure
from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.net.memory_quota import Source
from heatherdyke.net.tcp_keepalive import KeepAliveOptions

CONNECT_TIMEOUT_S = 1.0
# Connections within a region are accepted much faster, also by slow leafs.
SLOW_CONNECT_S = 0.1
# Limits for the reuse of a connection by a request that must not be repeated.
# The connection must have been idle for at most MAX_FRESH_IDLE_S, as a leaf
# may forget an idle connection without closing it, and must be kept open by
# the leaf for at least MIN_FRESH_REMAINING_S more.
MAX_FRESH_IDLE_S = 0.25
MIN_FRESH_REMAINING_S = 1.0
# Where idle connections may use up a leaf's limit, one is kept if it can be
# expected to carry this many requests until the leaf closes it.
MIN_EXPECTED_USES = 2.0
TCP_KEEPALIVE = KeepAliveOptions(idle_s=1, interval_s=1, probes=2)


class PoolObserver(Protocol):
    """Is notified of what a pool learns about its leaf."""

    loop: asyncio.AbstractEventLoop
    memory: MemoryQuota
    source: Source

    def can_connect(self) -> bool:
        """Return whether new connections are worth an attempt."""

    def on_connected(self, pool: "LeafPool") -> None:
        """Handle that the leaf accepted a connection."""

    def on_connect_slow(self, pool: "LeafPool", sent_at: float) -> None:
        """Handle that the leaf has not yet accepted a connection."""

    def on_connect_failed(
        self, pool: "LeafPool", error: Exception, sent_at: float
    ) -> None:
        """Handle a failed connection attempt."""

    def on_connections_broken(self, pool: "LeafPool") -> None:
        """Handle that the last connection broke."""


class LeafPool:
    """Opens, reuses and closes the connections to a leaf.

    ``send`` does not enforce ``limit``: call ``has_capacity`` first.  With
    ``closes_unused`` connections that are rarely used are not kept idle.
    """

    __slots__ = (
        "leaf",
        "limit",
        "closes_unused",
        "open_count",
        "closed",
        "_observer",
        "_idle",
        "_last_release_at",
        "_tasks",
    )

    def __init__(
        self, leaf: Leaf, observer: PoolObserver, limit: int = 1
    ) -> None:
        self.leaf = leaf
        self.limit = limit
        self.closes_unused = False
        self.open_count = 0
        self.closed = False
        self._observer = observer
        self._idle: list[LeafConnection] = []
        self._last_release_at = float("-inf")
        self._tasks: set[asyncio.Task] = set()

    def now(self) -> float:
        """Return the event loop's time."""
        return self._observer.loop.time()

    def has_capacity(self) -> bool:
        """Return whether a request can be sent without waiting."""
        if self._idle:
            return True
        return self.is_below_limit() and self._observer.can_connect()

    def is_below_limit(self) -> bool:
        """Return whether one more connection may be opened."""
        return self.open_count < self.limit

    def send(self, attempt: Attempt, at_most_once: bool = False) -> None:
        """Send on an idle connection or a new one.

        A request that is sent ``at_most_once`` must not use a connection
        that the leaf has forgotten or is about to close.
        """
        connection = self._pop_idle(self.now(), at_most_once)
        if connection is None:
            self.send_on_new_connection(attempt)
            return
        self._start(attempt)
        connection.send(attempt)

    def send_on_new_connection(self, attempt: Attempt) -> None:
        """Send on a new connection, also if one is idle."""
        self._start(attempt)
        self.open_count += 1
        task = self._observer.loop.create_task(self._connect(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start(self, attempt: Attempt) -> None:
        attempt.sent_at = self.now()
        self.leaf.start(attempt.number, attempt.sent_at)

    def abandon(self, attempt: Attempt) -> None:
        """Cancel an attempt; closing its connection cancels it on the leaf."""
        attempt.on_end = _ignore
        self.leaf.finish(attempt.number)
        connection = attempt.connection
        if connection is not None and connection.attempt is attempt:
            connection.abort()

    def release(self, connection: LeafConnection, reusable: bool) -> None:
        """Return a connection to the pool, or close it."""
        now = self.now()
        interval_s = now - self._last_release_at
        self._last_release_at = now
        if self.closes_unused:
            kept_s = connection.idle_until - now
            reusable = reusable and MIN_EXPECTED_USES * interval_s < kept_s
        if not reusable or self.closed or connection.is_closed:
            connection.transport.close()
            return
        connection.idle_since = now
        self._idle.append(connection)

    def connection_lost(
        self, connection: LeafConnection, broken: bool
    ) -> None:
        """Remove a connection; check the leaf if the last one broke."""
        self.open_count -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if broken and self.open_count == 0 and not self.closed:
            self._observer.on_connections_broken(self)

    def close_idle(self, now: float) -> None:
        """Close the connections that the leaf is about to close."""
        for connection in [
            idle for idle in self._idle if idle.idle_until <= now
        ]:
            self._idle.remove(connection)
            connection.transport.close()

    def close(self) -> None:
        """Close idle connections now and the others after their responses."""
        self.closed = True
        for connection in self._idle:
            connection.transport.close()
        self._idle.clear()

    def _pop_idle(
        self, now: float, at_most_once: bool
    ) -> LeafConnection | None:
        """Remove and return the last used connection that is still open.

        Return None if there is none, or if it is not fresh enough for an
        ``at_most_once`` request.  If a new connection would then exceed the
        limit, the connection idle for longest is closed.
        """
        while self._idle:
            connection = self._idle[-1]
            usable = not connection.is_closed and connection.idle_until > now
            if usable and not connection.transport.is_closing():
                break
            self._idle.pop()
            connection.transport.close()
        if not self._idle:
            return None
        if at_most_once and not _is_fresh(self._idle[-1], now):
            if self.open_count >= self.limit:
                self._idle.pop(0).transport.close()
            return None
        return self._idle.pop()

    async def _connect(self, attempt: Attempt) -> None:
        address = self.leaf.entry.address
        observer = self._observer
        connection = LeafConnection(self, observer.memory, observer.source)
        slow_timer = observer.loop.call_later(
            SLOW_CONNECT_S, observer.on_connect_slow, self, attempt.sent_at
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._observer.loop.create_connection(
                    lambda: connection, address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            if is_out_of_descriptors(error):
                self.open_count -= 1
                attempt.on_end(
                    attempt, AttemptOutcome(failure=Failure.NO_CONNECTION)
                )
                return
            if connection.transport is None:
                self.open_count -= 1
            else:
                connection.abort()
            self._observer.on_connect_failed(self, error, attempt.sent_at)
            attempt.on_end(
                attempt, AttemptOutcome(failure=Failure.UNREACHABLE)
            )
            return
        finally:
            slow_timer.cancel()
        self._observer.on_connected(self)
        TCP_KEEPALIVE.apply(connection.transport.get_extra_info("socket"))
        if attempt.on_end is _ignore:
            self.release_unused(connection)
            return
        if connection.is_closed:
            attempt.on_end(
                attempt, AttemptOutcome(failure=Failure.UNREACHABLE)
            )
            return
        connection.send(attempt)

    def release_unused(self, connection: LeafConnection) -> None:
        """Pool a new connection whose attempt was abandoned meanwhile."""
        connection.idle_until = self.now() + 1.0
        self.release(connection, reusable=True)


def is_out_of_descriptors(error: Exception) -> bool:
    """Return whether this process, not the other side, is the cause."""
    return isinstance(error, OSError) and error.errno in (
        errno.EMFILE,
        errno.ENFILE,
    )


def _is_fresh(connection: LeafConnection, now: float) -> bool:
    idle_for_s = now - connection.idle_since
    remaining_s = connection.idle_until - now
    return (
        idle_for_s <= MAX_FRESH_IDLE_S and remaining_s >= MIN_FRESH_REMAINING_S
    )


def _ignore(attempt: Attempt, outcome: AttemptOutcome) -> None:
    """Ignore the outcome of an abandoned attempt."""
