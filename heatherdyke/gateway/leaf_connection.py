"""One connection to a leaf: sends a request, collects its response.

Parsing is httptools'.  A response that names another request is a late one
and is passed over; bytes that no request waits for end the connection.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from heatherdyke.gateway.messages import Failure
from heatherdyke.gateway.messages import HeaderList
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.messages import Outcome
from heatherdyke.platform import headers as names

if TYPE_CHECKING:
    from heatherdyke.gateway.leaf_pool import LeafPool

# A leaf may close just before the time that it states.
IDLE_MARGIN_S = 0.5
IDLE_DEFAULT_S = 4.0
STATUS_CONTINUE = 100


class Attempt:
    """One request on its way to one leaf.

    ``on_end`` is called once with the attempt and its outcome, unless the
    attempt is abandoned before.  What ``continuation`` returns is sent
    after the receiver's ``100 Continue``; ``continued`` tells that it was.
    """

    __slots__ = (
        "number",
        "request_id",
        "message",
        "is_head",
        "sent_at",
        "pool",
        "on_end",
        "connection",
        "context",
        "continuation",
        "continued",
    )

    def __init__(
        self,
        number: int,
        request_id: bytes,
        message: bytes,
        is_head: bool,
        pool: "LeafPool",
        on_end: Callable[["Attempt", Outcome], None],
        context: str = "",
        continuation: Callable[[], bytes] | None = None,
    ) -> None:
        self.number = number
        self.request_id = request_id
        self.message = message
        self.is_head = is_head
        self.sent_at = 0.0
        self.pool = pool
        self.on_end = on_end
        self.connection: LeafConnection | None = None
        self.context = context
        self.continuation = continuation
        self.continued = False


class LeafConnection(asyncio.Protocol):
    """A connection of a leaf's pool; it serves one attempt at a time."""

    __slots__ = (
        "pool",
        "transport",
        "attempt",
        "idle_since",
        "idle_until",
        "lost",
        "_parser",
        "_headers",
        "_chunks",
        "_until_close",
        "_idle_s",
        "_response_ready",
        "_reusable",
    )

    def __init__(self, pool: "LeafPool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.idle_until = 0.0
        self.lost = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: HeaderList = []
        self._chunks: list[bytes] = []
        self._until_close = False
        self._idle_s = IDLE_DEFAULT_S
        self._response_ready: LeafResponse | None = None
        self._reusable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def send(self, attempt: Attempt) -> None:
        """Send the attempt's message; its response is the next one."""
        self.attempt = attempt
        attempt.connection = self
        self.transport.write(attempt.message)

    def abort(self) -> None:
        """Close at once; the attempt's end is not reported."""
        self.attempt = None
        self._drop()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes without a request end the connection."""
        if self.attempt is None:
            self._drop()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._reusable = False
            if self._response_ready is None:
                self._fail()
        if self._response_ready is not None:
            self._finish()

    def eof_received(self) -> None:
        """Complete a response that ends with its connection."""
        if self._until_close and self.attempt is not None:
            self._complete(reusable=False)
            if self._response_ready is not None:
                self._finish()

    def connection_lost(self, error: Exception | None) -> None:
        """Report that an attempt's response did not come."""
        self.lost = True
        attempt, self.attempt = self.attempt, None
        broken = error is not None or attempt is not None
        self.pool.connection_lost(self, broken)
        if attempt is not None:
            attempt.on_end(attempt, Outcome(failure=Failure.BROKEN))

    # What httptools calls while it parses.

    def on_message_begin(self) -> None:
        """Start a response, unless the one waited for has ended."""
        if self._response_ready is not None:
            raise ValueError("bytes after the response")
        self._headers = []
        self._chunks = []
        self._until_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Find out how the body is framed."""
        status = self._parser.get_status_code()
        framed = status < 200 or status in (204, 304)
        for name, value in self._headers:
            lower = name.lower()
            if lower in (b"content-length", b"transfer-encoding"):
                framed = True
            elif lower == b"keep-alive":
                self._idle_s = _idle_seconds(value, self._idle_s)
        self._until_close = not framed
        if self.attempt.is_head and status >= 200:
            self._complete(reusable=False)

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Note the response, unless it is an interim or late one."""
        status = self._parser.get_status_code()
        if self._response_ready is not None:
            return
        if status < 200:
            self._continue(status)
            return
        self._complete(reusable=self._parser.should_keep_alive())

    def _continue(self, status: int) -> None:
        """Send the rest of a request whose receiver asks for it."""
        attempt = self.attempt
        waits = attempt.continuation is not None and not attempt.continued
        if status == STATUS_CONTINUE and waits:
            attempt.continued = True
            self.transport.write(attempt.continuation())

    def _complete(self, reusable: bool) -> None:
        echoed = find_id(self._headers)
        if echoed is not None and echoed != self.attempt.request_id:
            return
        self._until_close = False
        self._reusable = reusable
        self._response_ready = self._response()

    def _finish(self) -> None:
        """Give the connection back, then report the response."""
        attempt, self.attempt = self.attempt, None
        response, self._response_ready = self._response_ready, None
        self.idle_until = self.pool.now() + self._idle_s - IDLE_MARGIN_S
        self.pool.give_back(self, self._reusable)
        attempt.on_end(attempt, Outcome(response=response))

    def _response(self) -> LeafResponse:
        response = LeafResponse(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=b"".join(self._chunks),
        )
        for name, value in self._headers:
            lower = name.lower()
            if lower == names.SIGNATURE:
                response.signature = value
            elif lower == names.NOT_RUN:
                response.not_run = True
            elif lower == b"content-encoding":
                response.encoded = value.lower() != b"identity"
            elif lower == names.LEAF_ID:
                response.leaf_id = value
            elif lower == names.COLD_REMAINING:
                response.cold_s = names.parse_milliseconds(value) or 0.0
        if response.status == 421:
            response.not_run = True
        return response

    def _fail(self) -> None:
        """End the connection and report the attempt as broken."""
        attempt, self.attempt = self.attempt, None
        self._drop()
        attempt.on_end(attempt, Outcome(failure=Failure.BROKEN))

    def _drop(self) -> None:
        self.lost = True
        self.transport.abort()


def find_id(headers: HeaderList) -> bytes | None:
    """Return the request id that a response names, None if none."""
    for name, value in headers:
        if name.lower() == names.REQUEST_ID:
            return value
    return None


def _idle_seconds(value: bytes, default: float) -> float:
    """Return the ``timeout`` of a ``Keep-Alive`` field in seconds."""
    for item in value.split(b","):
        key, _, seconds = item.strip().partition(b"=")
        if key.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return default
