"""The connections of this instance to one leaf."""

import asyncio
from typing import TYPE_CHECKING

from heatherdyke.gateway.leaf_connection import Attempt
from heatherdyke.gateway.leaf_connection import LeafConnection
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import Failure
from heatherdyke.gateway.messages import Outcome
from heatherdyke.net.tcp_keepalive import KeepAliveOptions

if TYPE_CHECKING:
    from heatherdyke.gateway.leaf_pools import LeafPools

CONNECT_TIMEOUT_S = 1.0
# What must not be repeated goes on connections that rested no longer, since a
# leaf may forget one without a word, and that it keeps this much longer.
MOST_RESTED_S = 0.25
LEAST_LEFT_S = 1.0
PROBES = KeepAliveOptions(idle_s=1, interval_s=1, probes=2)


class LeafPool:
    """Opens, reuses and closes connections, up to ``limit`` of them."""

    __slots__ = (
        "leaf",
        "limit",
        "open_count",
        "closed",
        "_pools",
        "_idle",
        "_tasks",
    )

    def __init__(self, leaf: Leaf, pools: "LeafPools", limit: int) -> None:
        self.leaf = leaf
        self.limit = limit
        self.open_count = 0
        self.closed = False
        self._pools = pools
        self._idle: list[LeafConnection] = []
        self._tasks: set[asyncio.Task] = set()

    def now(self) -> float:
        """Return the loop's time."""
        return self._pools.loop.time()

    def has_room(self) -> bool:
        """Tell whether a request can be sent without waiting."""
        return bool(self._idle) or self.open_count < self.limit

    def send(self, attempt: Attempt, once: bool = False) -> None:
        """Send on an idle connection or a new one.

        A request that is sent ``once`` only must not meet a connection that
        the leaf has forgotten or is about to close.
        """
        now = self.now()
        attempt.sent_at = now
        self.leaf.start(attempt.number, now)
        connection = self._take_idle(now, once)
        if connection is not None:
            connection.send(attempt)
            return
        self.open_count += 1
        task = self._pools.loop.create_task(self._connect(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def abandon(self, attempt: Attempt) -> None:
        """Stop waiting; the leaf drops the request with its connection."""
        attempt.on_end = _ignore
        self.leaf.finish(attempt.number)
        connection = attempt.connection
        if connection is not None and connection.attempt is attempt:
            connection.abort()

    def give_back(self, connection: LeafConnection, reusable: bool) -> None:
        """Keep a connection for the next request, or close it."""
        if not reusable or self.closed or connection.lost:
            connection.transport.close()
            return
        connection.idle_since = self.now()
        self._idle.append(connection)

    def connection_lost(self, connection: LeafConnection, reset: bool) -> None:
        """Forget a connection; the last one's reset puts the leaf in doubt."""
        self.open_count -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if reset and self.open_count == 0 and not self.closed:
            self._pools.doubt(self)

    def close_idle(self, now: float) -> None:
        """Close the connections that the leaf is about to close."""
        for connection in [
            idle for idle in self._idle if idle.idle_until <= now
        ]:
            self._idle.remove(connection)
            connection.transport.close()

    def close(self) -> None:
        """Close what is idle now and the rest after its response."""
        self.closed = True
        for connection in self._idle:
            connection.transport.close()
        self._idle.clear()

    def _take_idle(self, now: float, once: bool) -> LeafConnection | None:
        """Return the connection that was used last, if it will do."""
        while self._idle:
            connection = self._idle[-1]
            usable = not connection.lost and connection.idle_until > now
            if usable and not connection.transport.is_closing():
                break
            self._idle.pop()
            connection.transport.close()
        if not self._idle:
            return None
        if once and not _is_fresh(self._idle[-1], now):
            if self.open_count >= self.limit:
                self._idle.pop(0).transport.close()
            return None
        return self._idle.pop()

    async def _connect(self, attempt: Attempt) -> None:
        address = self.leaf.entry.address
        connection = LeafConnection(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._pools.loop.create_connection(
                    lambda: connection, address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            if connection.transport is None:
                self.open_count -= 1
            else:
                connection.abort()
            self._pools.unreachable(self, error)
            attempt.on_end(attempt, Outcome(failure=Failure.UNREACHABLE))
            return
        PROBES.apply(connection.transport.get_extra_info("socket"))
        if attempt.on_end is _ignore:
            self.give_back_unused(connection)
            return
        if connection.lost:
            attempt.on_end(attempt, Outcome(failure=Failure.UNREACHABLE))
            return
        connection.send(attempt)

    def give_back_unused(self, connection: LeafConnection) -> None:
        """Keep a connection whose request is not wanted any more."""
        connection.idle_until = self.now() + 1.0
        self.give_back(connection, reusable=True)


def _is_fresh(connection: LeafConnection, now: float) -> bool:
    rested_s = now - connection.idle_since
    left_s = connection.idle_until - now
    return rested_s <= MOST_RESTED_S and left_s >= LEAST_LEFT_S


def _ignore(attempt: Attempt, outcome: Outcome) -> None:
    """Drop the outcome of an abandoned attempt."""
