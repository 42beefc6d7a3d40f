"""An HTTP/1.1 client connection, used by one task at a time.

Responses are parsed by httptools.  Unlike client libraries with connection
pools, it reports whether a failed request may have reached the peer and for
how long the peer made no progress.
"""

import asyncio
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass

import httptools

from heatherdyke.errors import ConnectionRefused
from heatherdyke.errors import ConnectionSilent
from heatherdyke.errors import ResponseTooLarge
from heatherdyke.errors import TransportError
from heatherdyke.net.address import split_address
from heatherdyke.net.memory_quota import Reservation
from heatherdyke.net.tcp_keepalive import KeepAliveOptions

READ_BUFFER_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
# How much of a response is kept to look up fields of its header.
MAX_HEAD_BYTES = 4096
HEAD_END = b"\r\n\r\n"
# The pieces of a body, the whole, and what is decoded from it.
BODY_COPIES = 3

_source_host: str | None = None


def set_source_host(host: str) -> None:
    """Bind new connections of this process to the source IP ``host``."""
    global _source_host
    _source_host = host or None


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and body of a response, or status and a line of it.

    ``head`` is the start of its text, of MAX_HEAD_BYTES at most.
    """

    status: int
    body: bytes
    head: bytes = b""

    def field(self, name: bytes) -> bytes | None:
        """Return the value of a header field, by its name in lower case."""
        lines = self.head.partition(HEAD_END)[0].split(b"\r\n")
        for line in lines[1:]:
            found, _, value = line.partition(b":")
            if found.lower() == name:
                return value.strip()
        return None


class _ResponseSink:
    """Collects one response from httptools' callbacks."""

    __slots__ = (
        "chunks",
        "complete",
        "keep_alive",
        "parser",
        "head",
    )

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.complete = False
        self.keep_alive = False
        self.head = b""
        self.parser = httptools.HttpResponseParser(self)

    def add_head(self, data: bytes) -> None:
        """Keep the start of the response; it may have fields without end."""
        if len(self.head) < MAX_HEAD_BYTES and HEAD_END not in self.head:
            self.head += data[: MAX_HEAD_BYTES - len(self.head)]

    def on_body(self, body: bytes) -> None:
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        self.complete = True
        # The parser discards the header fields after this callback.
        self.keep_alive = self.parser.should_keep_alive()

    def pop_body(self) -> bytes:
        data = b"".join(self.chunks)
        self.chunks.clear()
        return data


class HttpConnection:
    """A connection to one address; not safe for concurrent requests."""

    __slots__ = (
        "address",
        "_reader",
        "_writer",
        "_usable",
        "_reservation",
        "_received_bytes",
    )

    def __init__(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        reservation: Reservation | None = None,
    ) -> None:
        self.address = address
        self._reader = reader
        self._writer = writer
        self._usable = True
        self._reservation = reservation
        self._received_bytes = 0

    @classmethod
    async def open(
        cls,
        address: str,
        timeout_s: float = CONNECT_TIMEOUT_S,
        reservation: Reservation | None = None,
    ) -> "HttpConnection":
        """Connect to ``host:port``.

        Incomplete responses are held within the ``reservation``, if given.

        Raises ConnectionRefused if nothing listens there, and
        TransportError if connecting fails or exceeds ``timeout_s``.
        """
        host, port = split_address(address)
        source = (_source_host, 0) if _source_host else None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    host, port, local_addr=source
                )
        except ConnectionRefusedError as error:
            raise ConnectionRefused(
                f"{address} refused the connection", sent=False
            ) from error
        except (OSError, TimeoutError) as error:
            raise TransportError(
                f"connecting to {address} failed: {error!r}", sent=False
            ) from error
        return cls(address, reader, writer, reservation)

    def set_tcp_user_timeout(self, timeout_s: float) -> None:
        """Have the kernel drop data unacknowledged for ``timeout_s``.

        It does so even while the process is paused, so that a request
        delayed in the network is not delivered much later.
        """
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(timeout_s * 1000),
        )

    def enable_keepalive(self, options: KeepAliveOptions) -> None:
        """Have the kernel detect a silent peer by keep-alive probes."""
        options.apply(self._writer.get_extra_info("socket"))

    @property
    def usable(self) -> bool:
        """Tell whether another request can be sent on this connection."""
        return self._usable and not self._reader.at_eof()

    def close(self) -> None:
        """Close the connection immediately."""
        self._usable = False
        self._writer.transport.abort()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = 10.0,
        headers: str = "",
    ) -> HttpResponse:
        """Send a request and return the complete response.

        ``headers`` are further header lines, each ending in CRLF.  Raises
        ConnectionSilent if no progress is made for ``timeout_s`` and
        TransportError if the connection breaks; both close it.
        """
        sink = _ResponseSink()
        parser = sink.parser
        try:
            self._send(method, target, body, headers)
            await self._read_until_complete(parser, sink, timeout_s)
        except BaseException:
            self.close()
            # The traceback keeps the sink until the error was handled.
            sink.chunks.clear()
            raise
        finally:
            if self._reservation is not None:
                self._reservation.release()
        self._usable = sink.keep_alive
        return HttpResponse(
            parser.get_status_code(), sink.pop_body(), sink.head
        )

    async def stream_lines(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        headers: str = "",
    ) -> AsyncIterator[HttpResponse]:
        """Send a request and yield each line of the response as it arrives.

        Raises as ``request`` does; closing the iterator early closes the
        connection.
        """
        sink = _ResponseSink()
        parser = sink.parser
        partial_line = b""
        try:
            self._send(method, target, body, headers)
            while not sink.complete:
                await self._read_and_parse(parser, timeout_s)
                *lines, partial_line = (partial_line + sink.pop_body()).split(
                    b"\n"
                )
                for line in lines:
                    yield HttpResponse(parser.get_status_code(), line)
            if partial_line:
                yield HttpResponse(parser.get_status_code(), partial_line)
        except BaseException:
            self.close()
            raise
        self._usable = sink.keep_alive

    def _send(
        self, method: str, target: str, body: bytes, headers: str
    ) -> None:
        if not self.usable:
            raise TransportError(
                f"the connection to {self.address} is closed", sent=False
            )
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Type: application/json\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._writer.write(head.encode("ascii") + body)

    async def _read_until_complete(
        self,
        parser: httptools.HttpResponseParser,
        sink: _ResponseSink,
        timeout_s: float,
    ) -> None:
        self._received_bytes = 0
        while not sink.complete:
            sink.add_head(await self._read_and_parse(parser, timeout_s))
            self._reserve()

    def _reserve(self) -> None:
        """Reserve the memory of what was received of a response.

        Raises ResponseTooLarge if it takes too much.
        """
        if self._reservation is None:
            return
        size = BODY_COPIES * self._received_bytes
        self._reservation.resize(size, self.close)
        if not self._usable:
            raise ResponseTooLarge(
                f"{self.address} sent a response of over "
                f"{self._received_bytes} bytes, more than the memory allows",
                sent=True,
            )

    async def _read_and_parse(
        self, parser: httptools.HttpResponseParser, timeout_s: float
    ) -> bytes:
        """Parse what arrives next, and return it."""
        try:
            async with asyncio.timeout(timeout_s):
                data = await self._reader.read(READ_BUFFER_BYTES)
        except TimeoutError as error:
            raise ConnectionSilent(
                f"{self.address} made no progress for {timeout_s:.3f} s",
                sent=True,
            ) from error
        except OSError as error:
            raise TransportError(
                f"the connection to {self.address} failed: {error!r}",
                sent=True,
            ) from error
        if not data:
            raise TransportError(
                f"{self.address} closed the connection", sent=True
            )
        self._received_bytes += len(data)
        try:
            parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise TransportError(
                f"{self.address} sent a malformed HTTP response: {error}",
                sent=True,
            ) from error
        return data
