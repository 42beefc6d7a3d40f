"""One client's connection: reads whole requests, writes their answers."""

import asyncio
from collections import deque
from typing import Protocol

import httptools

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.header_rules import encode_answer
from heatherdyke.gateway.header_rules import find_header
from heatherdyke.gateway.messages import Answer
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import HeaderList
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.platform import headers as names

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Colon, space and line end of a header field.
FIELD_FRAMING_BYTES = 4


class ConnectionOwner(Protocol):
    """What a connection asks of the process it belongs to."""

    @property
    def limits(self) -> ClientLimits:
        """Return what clients may send."""

    @property
    def closing(self) -> bool:
        """Tell whether connections end with their next answer."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def opened(self, connection: "ClientConnection") -> None:
        """Note a new connection."""

    def closed(self, connection: "ClientConnection") -> None:
        """Note that a connection has ended."""

    def handle(self, exchange: Exchange) -> None:
        """Serve a request, at once or later."""


class ClientConnection(asyncio.Protocol):
    """Handles one request at a time; pipelined ones wait their turn."""

    __slots__ = (
        "owner",
        "transport",
        "exchange",
        "active_at",
        "_parser",
        "_headers",
        "_target",
        "_chunks",
        "_head_bytes",
        "_body_bytes",
        "_in_head",
        "_in_message",
        "_waiting",
        "_keep_alive",
        "_served",
        "_broken",
    )

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.active_at = owner.now()
        self._parser = httptools.HttpRequestParser(self)
        self._headers: HeaderList = []
        self._target = b""
        self._chunks: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._in_head = False
        self._in_message = False
        self._waiting: deque[tuple[ClientRequest, bool]] = deque()
        self._keep_alive = True
        self._served = 0
        self._broken = False

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read or served."""
        return self.exchange is None and not self._in_message

    @property
    def is_reading(self) -> bool:
        """Tell whether a request has begun and is not whole yet."""
        return self._in_message

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport
        self.owner.opened(self)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes that are no request end the connection."""
        if self._broken:
            return
        if self.is_idle:
            self.active_at = self.owner.now()
        if self._in_head or not self._in_message:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        if self._in_head and (
            self._head_bytes > self.owner.limits.max_header_bytes
        ):
            self._reject(431)

    def eof_received(self) -> None:
        """Take the end of the client's bytes as its leaving."""
        if self.exchange is not None:
            self.exchange.leave()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the handler that the client is gone."""
        self._broken = True
        if self.exchange is not None:
            self.exchange.leave()
        self.owner.closed(self)

    def close_if_idle(self) -> bool:
        """Close a connection without a request; return whether it was."""
        if not self.is_idle or self._waiting:
            return False
        self._broken = True
        self.transport.close()
        return True

    def time_out(self) -> None:
        """End a connection whose request does not become whole."""
        self._reject(408)

    # What httptools calls while it parses.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._headers = []
        self._chunks = []
        self._target = b""
        self._body_bytes = 0
        self._in_head = True
        self._in_message = True

    def on_url(self, url: bytes) -> None:
        """Keep a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Ask for the body if the client waits for that."""
        self._in_head = False
        self._head_bytes = 0
        fields = sum(
            len(name) + len(value) + FIELD_FRAMING_BYTES
            for name, value in self._headers
        )
        if fields + len(self._target) > self.owner.limits.max_header_bytes:
            self._reject(431)
            return
        expect = find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self.transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body, up to the limit."""
        self._body_bytes += len(body)
        if self._body_bytes <= self.owner.limits.max_body_bytes:
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Serve the whole request, or queue it behind the present one."""
        self._in_message = False
        if self._broken:
            return
        if self._body_bytes > self.owner.limits.max_body_bytes:
            self._reject(413)
            return
        request = self._request()
        self._waiting.append((request, self._parser.should_keep_alive()))
        if self.exchange is None:
            self._serve_next()

    def _request(self) -> ClientRequest:
        headers = self._headers
        host = find_header(headers, b"host") or b""
        wait = find_header(headers, names.DEADLINE_REMAINING)
        self._served += 1
        return ClientRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=headers,
            body=b"".join(self._chunks),
            host=host.decode("latin-1"),
            request_id=find_header(headers, names.REQUEST_ID) or b"",
            wait_s=names.parse_deadline(wait),
            arrived_at=self.owner.now(),
            first_on_connection=self._served == 1,
        )

    def _serve_next(self) -> None:
        request, self._keep_alive = self._waiting.popleft()
        self.exchange = Exchange(request, self._send)
        self.owner.handle(self.exchange)

    def _send(self, answer: Answer) -> None:
        request = self.exchange.request
        self.exchange = None
        self.active_at = self.owner.now()
        if self.transport.is_closing():
            return
        close = self.owner.closing or not self._keep_alive
        is_head = request.method == b"HEAD"
        self.transport.write(encode_answer(answer, is_head, close))
        if close:
            self._broken = True
            self.transport.close()
        elif self._waiting:
            self._serve_next()

    def _reject(self, status: int) -> None:
        """Answer a request that cannot be read, and close."""
        if self._broken:
            return
        self._broken = True
        if self.exchange is None and not self.transport.is_closing():
            self.transport.write(encode_answer(Answer(status), False, True))
        self.transport.close()
