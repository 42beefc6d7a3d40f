"""A connection to a leaf that sends a request and reads its response.

Responses are parsed by httptools.  A response that does not name the request
is ignored: it is a late one, or bytes of a faulty leaf, and says nothing of
whether the request ran.  Bytes received without a request in progress close
the connection, and so does a response that does not end, or whose status is
not one of HTTP's.
"""

import asyncio
from typing import Protocol

import httptools

from heatherdyke.gateway.attempt import Attempt
from heatherdyke.gateway.messages import MAX_FINAL_STATUS
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import Failure
from heatherdyke.gateway.messages import HeaderList
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.net.memory_quota import FIELD_OVERHEAD_BYTES
from heatherdyke.net.memory_quota import PIECE_OVERHEAD_BYTES
from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.net.memory_quota import Reservation
from heatherdyke.net.memory_quota import Source
from heatherdyke.platform import headers as names

# A leaf may close an idle connection slightly before the time that it states.
IDLE_MARGIN_S = 0.5
DEFAULT_IDLE_TIMEOUT_S = 4.0
STATUS_CONTINUE = 100
MIN_STATUS = 100
# A leaf at fault may send a head or a body without end.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Trailers included.
MAX_FIELDS_BYTES = 65_536
MAX_INTERIM_RESPONSES = 100
# Limits what is parsed of each connection in one turn of the event loop.
MAX_READ_BYTES = 8192
# The pieces of a body are joined when it is complete.
BODY_COPIES = 2


class ConnectionOwner(Protocol):
    """The pool of a connection."""

    def now(self) -> float:
        """Return the event loop's time."""

    def release(self, connection: "LeafConnection", reusable: bool) -> None:
        """Take back a connection whose attempt has ended."""

    def connection_lost(
        self, connection: "LeafConnection", broken: bool
    ) -> None:
        """Handle the end of a connection, ``broken`` if unexpected."""


class LeafConnection(asyncio.Protocol):
    """A connection in a leaf's pool; carries one attempt at a time."""

    __slots__ = (
        "pool",
        "transport",
        "attempt",
        "idle_since",
        "idle_until",
        "is_closed",
        "_parser",
        "_headers",
        "_chunks",
        "_is_close_delimited",
        "_idle_timeout_s",
        "_completed_response",
        "_reusable",
        "_received_bytes",
        "_in_head",
        "_head_bytes",
        "_fields_bytes",
        "_interim_responses",
        "_memory",
        "_source",
        "_reservation",
    )

    def __init__(
        self,
        pool: ConnectionOwner,
        memory: MemoryQuota | None = None,
        source: Source = Source.LEAF,
    ) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.idle_until = 0.0
        self.is_closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: HeaderList = []
        self._chunks: list[bytes] = []
        self._is_close_delimited = False
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._completed_response: LeafResponse | None = None
        self._reusable = False
        self._received_bytes = 0
        self._in_head = True
        self._head_bytes = 0
        self._fields_bytes = 0
        self._interim_responses = 0
        self._memory = memory or MemoryQuota()
        self._source = source
        # Of a response that is being received.
        self._reservation: Reservation | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport
        transport.max_size = MAX_READ_BYTES

    def send(self, attempt: Attempt) -> None:
        """Send the attempt's message; its response is expected next."""
        self.attempt = attempt
        self._received_bytes = 0
        self._head_bytes = 0
        self._in_head = True
        self._interim_responses = 0
        attempt.connection = self
        self.transport.write(b"".join(attempt.message))
        self._reserve_unsent()

    def abort(self) -> None:
        """Close at once, without reporting an outcome."""
        self.attempt = None
        self._discard_message()
        self._close_now()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close on bytes without a request in progress."""
        if self.attempt is None:
            self._close_now()
            return
        self._received_bytes += len(data)
        if self._received_bytes > MAX_RESPONSE_BYTES:
            self._fail()
            return
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reusable = False
            if self._completed_response is None:
                self._fail()
        if self._completed_response is not None:
            self._finish()
        elif self.attempt is not None:
            self._keep_incomplete()

    def _keep_incomplete(self) -> None:
        """Reserve the memory of an incomplete response, or give it up."""
        if self._in_head and self._head_bytes > MAX_FIELDS_BYTES:
            self._fail()
            return
        if self._reservation is None:
            self._reservation = self._memory.reserve(self._source)
        self._reservation.resize(
            BODY_COPIES * self._received_bytes
            + FIELD_OVERHEAD_BYTES * len(self._headers)
            + PIECE_OVERHEAD_BYTES * len(self._chunks),
            self._evict,
        )

    def _reserve_unsent(self) -> None:
        """Reserve the memory of a request that the leaf does not read yet."""
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes > 0:
            self._reservation = self._memory.reserve(self._source)
            self._reservation.resize(unsent_bytes)

    def _discard_message(self) -> None:
        """Free the memory of the response that was being received."""
        self._headers = []
        self._chunks = []
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    def eof_received(self) -> None:
        """Complete a response whose body is delimited by the close."""
        if self._is_close_delimited and self.attempt is not None:
            self._complete(reusable=False)
            if self._completed_response is not None:
                self._finish()

    def connection_lost(self, error: Exception | None) -> None:
        """Report a broken attempt if its response was not received."""
        self.is_closed = True
        self._discard_message()
        attempt, self.attempt = self.attempt, None
        broken = error is not None or attempt is not None
        self.pool.connection_lost(self, broken)
        if attempt is not None:
            attempt.on_end(attempt, AttemptOutcome(failure=Failure.BROKEN))

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Start a response; raises ValueError after a complete one."""
        if self._completed_response is not None:
            raise ValueError("bytes after the response")
        self._headers = []
        self._chunks = []
        self._is_close_delimited = False
        self._in_head = True
        self._head_bytes = 0
        self._fields_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a field; raises ValueError if there are too many."""
        self._fields_bytes += len(name) + len(value)
        if self._fields_bytes > MAX_FIELDS_BYTES:
            raise ValueError("too many header fields")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine the end of the body and the idle timeout.

        A response to HEAD is completed here, as the parser would wait for a
        body; its connection cannot be reused.  Raises ValueError if the status
        is invalid.
        """
        self._in_head = False
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_FINAL_STATUS:
            raise ValueError("invalid status")
        has_known_length = status < 200 or status in (204, 304)
        for name, value in self._headers:
            lower = name.lower()
            if lower in (b"content-length", b"transfer-encoding"):
                has_known_length = True
            elif lower == b"keep-alive":
                self._idle_timeout_s = _parse_idle_timeout(
                    value, self._idle_timeout_s
                )
        self._is_close_delimited = not has_known_length
        if self.attempt.is_head and status >= 200:
            self._complete(reusable=False)

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete the response unless it is an interim or late one."""
        status = self._parser.get_status_code()
        if self._completed_response is not None:
            return
        if status < 200:
            self._continue(status)
            return
        self._complete(reusable=self._parser.should_keep_alive())

    def _continue(self, status: int) -> None:
        """Send the continuation after ``100 Continue``.

        Raises ValueError if there are too many interim responses.
        """
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise ValueError("too many interim responses")
        attempt = self.attempt
        has_continuation = (
            attempt.continuation is not None and not attempt.continued
        )
        if status == STATUS_CONTINUE and has_continuation:
            attempt.continued = True
            self.transport.write(attempt.continuation())

    def _complete(self, reusable: bool) -> None:
        """Keep the response as the attempt's if it names the request."""
        request_id = self.attempt.request_id
        if request_id and find_request_id(self._headers) != request_id:
            self._discard_message()
            return
        self._is_close_delimited = False
        self._reusable = reusable
        self._completed_response = self._build_response()

    def _finish(self) -> None:
        """Return the connection to the pool and report the response."""
        attempt, self.attempt = self.attempt, None
        response, self._completed_response = self._completed_response, None
        self.idle_until = (
            self.pool.now() + self._idle_timeout_s - IDLE_MARGIN_S
        )
        self.pool.release(self, self._reusable)
        attempt.on_end(attempt, AttemptOutcome(response=response))

    def _build_response(self) -> LeafResponse:
        response = LeafResponse(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=b"".join(self._chunks),
        )
        self._chunks = []
        if self._reservation is not None:
            # The response keeps its memory for as long as it exists.
            self._reservation.resize(len(response.body))
            response.reservation = self._reservation
            self._reservation = None
        for name, value in self._headers:
            lower = name.lower()
            if lower == names.SIGNATURE:
                response.signature = value
            elif lower == names.NOT_RUN:
                response.not_run = True
            elif lower == b"content-encoding":
                response.has_content_encoding = value.lower() != b"identity"
            elif lower == names.LEAF_ID:
                response.leaf_id = value
            elif lower == names.COLD_REMAINING:
                response.cold_s = names.parse_milliseconds(value) or 0.0
            elif lower == names.RATE_LIMIT:
                response.rate_limit = names.parse_rate(value)
            elif lower == names.LEAVING:
                response.is_leaving = value.strip() == names.LEAVING_VALUE
            elif lower == names.RETRY_AFTER:
                response.retry_after = value
        if response.status == 421:
            response.not_run = True
        return response

    def _evict(self) -> None:
        """Give the response up, as the memory is needed for others."""
        self._fail(Failure.EVICTED)

    def _fail(self, failure: Failure = Failure.BROKEN) -> None:
        """Close the connection and report the attempt as failed."""
        attempt, self.attempt = self.attempt, None
        self._discard_message()
        self._close_now()
        attempt.on_end(attempt, AttemptOutcome(failure=failure))

    def _close_now(self) -> None:
        self.is_closed = True
        self.transport.abort()


def find_request_id(headers: HeaderList) -> bytes | None:
    """Return the request id in a response's headers, None if absent."""
    for name, value in headers:
        if name.lower() == names.REQUEST_ID:
            return value
    return None


def _parse_idle_timeout(value: bytes, default: float) -> float:
    """Return the ``timeout`` parameter of a ``Keep-Alive`` header."""
    for item in value.split(b","):
        key, _, seconds = item.strip().partition(b"=")
        if key.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return default
