"""A small HTTP/1.1 server for the stand-ins.

It feeds httptools' request parser from an asyncio.Protocol instead of using
a web framework: a test runs a hundred stand-ins on one machine, and faults
need direct access to the connection, to stop answering on it, close it
without a reply, or refuse it over the connection limit.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import Any
from urllib.parse import parse_qsl

import httptools
from loguru import logger

from heatherdyke.codec import encode
from heatherdyke.net.address import split_address

ADMIN_PREFIX = "/admin/"
MAX_ADMIN_CONNECTIONS = 2
LISTEN_BACKLOG = 512


@dataclass(frozen=True, slots=True)
class HttpReply:
    """An HTTP response with a JSON body."""

    status: int
    body: bytes = b""

    @classmethod
    def from_message(cls, message: Any, status: int = 200) -> "HttpReply":
        """Return a reply with the message encoded as JSON."""
        return cls(status, encode(message))

    def to_bytes(self) -> bytes:
        """Return the status line, headers and body as sent."""
        head = (
            f"HTTP/1.1 {self.status} X\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        )
        return head.encode("ascii") + self.body


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request and the connection that it arrived on."""

    method: str
    path: str
    query_by_name: dict[str, str]
    body: bytes
    connection: "ServerConnection"

    @property
    def is_admin(self) -> bool:
        """Tell whether the request is for the admin interface."""
        return self.path.startswith(ADMIN_PREFIX)


# A handler returns None to close the connection without a reply.
Handler = Callable[[HttpRequest], Awaitable[HttpReply | None]]


class ServerConnection(asyncio.Protocol):
    """One accepted connection, whose requests are served in order.

    ``is_admin`` is True once the connection has carried an admin request.
    """

    def __init__(self, server: "HttpServer") -> None:
        self.opened_at = monotonic()
        self.requests_served = 0
        self.is_admin = False
        self.closed = False
        self._server = server
        self._silent = False
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body = bytearray()
        self._requests: asyncio.Queue[HttpRequest | None] = asyncio.Queue()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection unless the server is over its limit."""
        self._transport = transport
        if not self._server.admit(self):
            transport.abort()
            return
        self._server.track_task(asyncio.create_task(self._serve()))

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection; a request in progress is not cancelled."""
        self.closed = True
        self._requests.put_nowait(None)
        self._server.remove_connection(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or ignore them if silenced."""
        if self._silent:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_url(self, url: bytes) -> None:
        """Start a new request."""
        self._url = url
        self._body.clear()

    def on_body(self, body: bytes) -> None:
        """Append a chunk to the request's body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        parsed = httptools.parse_url(self._url)
        query = (parsed.query or b"").decode("utf-8")
        request = HttpRequest(
            method=self._parser.get_method().decode("ascii"),
            path=parsed.path.decode("utf-8"),
            query_by_name=dict(parse_qsl(query)),
            body=bytes(self._body),
            connection=self,
        )
        self._requests.put_nowait(request)

    def silence(self) -> None:
        """Stop receiving and sending without closing the connection."""
        self._silent = True

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is silenced or closed."""
        if not self._silent and not self.closed:
            self._transport.write(data)

    def abort(self) -> None:
        """Abort the connection and drop its queued requests."""
        self.closed = True
        self._transport.abort()

    async def _serve(self) -> None:
        while True:
            request = await self._requests.get()
            if request is None or self.closed:
                return
            self.is_admin = self.is_admin or request.is_admin
            try:
                reply = await self._server.handle(request)
            except Exception:
                logger.exception(
                    "stand-in failed to handle a request for {}", request.path
                )
                reply = HttpReply(500)
            self.requests_served += 1
            if reply is None:
                self.abort()
                return
            self.write(reply.to_bytes())


class HttpServer:
    """Listens on one address and passes requests to a handler."""

    def __init__(
        self, listen: str, handler: Handler, max_connections: int = 0
    ) -> None:
        self._listen = listen
        self._handler = handler
        self._max_connections = max_connections
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._address = listen
        self.connections: set[ServerConnection] = set()
        self.connections_max = 0
        self.connections_refused = 0

    @property
    def address(self) -> str:
        """Return ``host:port``, with the actual port once started."""
        return self._address

    @property
    def connections_now(self) -> int:
        """Return the number of open connections, without admin ones."""
        return sum(not c.is_admin for c in self.connections)

    async def start(self) -> None:
        """Listen; port 0 lets the system choose one."""
        host, _, port = self._listen.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
        )
        bound_port = self._server.sockets[0].getsockname()[1]
        self._address = f"{host}:{bound_port}"
        split_address(self._address)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for connection in list(self.connections):
            connection.abort()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close_connections(self) -> None:
        """Abort all open connections but the admin ones."""
        for connection in list(self.connections):
            if not connection.is_admin:
                connection.abort()

    def silence_connections(self) -> None:
        """Silence all open connections but the admin ones; new ones work."""
        for connection in self.connections:
            if not connection.is_admin:
                connection.silence()

    def admit(self, connection: ServerConnection) -> bool:
        """Accept a new connection, or refuse it over the limit.

        Only its first request shows whether it is an admin connection, so
        MAX_ADMIN_CONNECTIONS more are accepted here; ``handle`` enforces
        the limit.
        """
        limit = self._max_connections
        if limit and self.connections_now >= limit + MAX_ADMIN_CONNECTIONS:
            self.connections_refused += 1
            return False
        self.connections.add(connection)
        return True

    def track_task(self, task: asyncio.Task) -> None:
        """Keep a reference to a connection's task until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)

    async def handle(self, request: HttpRequest) -> HttpReply | None:
        """Handle one request, or refuse its connection over the limit."""
        if not request.is_admin:
            limit = self._max_connections
            is_first = request.connection.requests_served == 0
            if is_first and limit and self.connections_now > limit:
                self.connections_refused += 1
                return None
            self.connections_max = max(
                self.connections_max, self.connections_now
            )
        return await self._handler(request)
