"""The loopback HTTP server of the stand-in leafs and store."""

import asyncio
from collections.abc import Callable

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.inbound_connection import InboundConnection
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.net.address import Address
from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.net.memory_quota import Source
from heatherdyke.standin.free_address import free_port

LIMITS = ClientLimits(
    max_body_bytes=4_194_304, idle_timeout_s=60.0, header_timeout_s=10.0
)


class Listener:
    """Owns a listening socket and its open connections.

    It provides what InboundConnection, the gateway's connection class, expects
    of a connection manager, and passes each request to ``handle``.

    ``connections_opened`` counts all connections since the start.
    """

    source = Source.CLIENT
    is_busy = False
    __slots__ = (
        "address",
        "memory",
        "is_draining",
        "connections",
        "connections_opened",
        "_handle",
        "_server",
    )

    def __init__(self, handle: Callable[[Exchange], None]) -> None:
        self.address = Address("127.0.0.1", 0)
        self.is_draining = False
        self.memory = MemoryQuota()
        self.connections_opened = 0
        self.connections: set[InboundConnection] = set()
        self._handle = handle
        self._server: asyncio.Server | None = None

    @property
    def is_stopped(self) -> bool:
        """Return whether nothing listens at the address."""
        return self._server is None

    @property
    def limits(self) -> ClientLimits:
        """Return the limits for connections, wide enough for any test."""
        return LIMITS

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def call_in_turn(self, callback: Callable[[], None]) -> None:
        """Call back in the next turn of the event loop."""
        asyncio.get_running_loop().call_soon(callback)

    def connection_opened(self, connection: InboundConnection) -> None:
        """Record a new connection."""
        self.connections_opened += 1
        self.connections.add(connection)

    def connection_closed(self, connection: InboundConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)

    def handle(self, exchange: Exchange) -> None:
        """Pass a request to the handler."""
        self._handle(exchange)

    async def start(self, port: int = 0) -> None:
        """Listen; port 0 stands for one that stays free after a stop."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: InboundConnection(self),
            self.address.host,
            port or free_port(),
            reuse_address=True,
        )
        bound_port = self._server.sockets[0].getsockname()[1]
        self.address = Address(self.address.host, bound_port)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.transport.abort()
        await asyncio.sleep(0)
