"""A connection that was accepted: reads requests, writes responses."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.header_rules import encode_answer
from heatherdyke.gateway.header_rules import find_header
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.messages import HeaderList
from heatherdyke.gateway.refusal import RETRY_AFTER
from heatherdyke.gateway.request_parser import ParsedRequest
from heatherdyke.gateway.request_parser import RequestParser
from heatherdyke.gateway.request_queue import RequestQueue
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.net.memory_quota import Source
from heatherdyke.net.memory_quota import fields_size
from heatherdyke.net.tcp_state import has_ended
from heatherdyke.platform import headers as names

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# What a complete request takes beside its fields and its body.
REQUEST_OVERHEAD_BYTES = 1024
# Limit what is read, and parsed, before it is looked at how much waits.
MAX_READ_BYTES = 32_768
MAX_PARSED_BYTES = 4096
EVICTED_RETRY_AFTER = b"0.500"


class ConnectionManager(Protocol):
    """The interface through which a connection reaches its listener."""

    @property
    def limits(self) -> ClientLimits:
        """Return the limits on what clients may send."""

    @property
    def memory(self) -> MemoryQuota:
        """Return the quota of the memory that connections use."""

    @property
    def source(self) -> Source:
        """Return who connects to this listener."""

    @property
    def is_draining(self) -> bool:
        """Return whether connections are closed after their next response."""

    def now(self) -> float:
        """Return monotonic seconds."""

    @property
    def is_busy(self) -> bool:
        """Return whether connections wait for their turn."""

    def call_in_turn(self, callback: Callable[[], None]) -> None:
        """Call back in a later turn of the event loop, after those before."""

    def connection_opened(self, connection: "InboundConnection") -> None:
        """Register a new connection."""

    def connection_closed(self, connection: "InboundConnection") -> None:
        """Remove a connection that was closed."""

    def handle(self, exchange: Exchange) -> None:
        """Serve a request; the response may follow later."""


class InboundConnection(asyncio.Protocol):
    """Serves one request at a time; pipelined requests are queued.

    The next one is served once the client reads the responses, and in another
    turn of the event loop, so that other connections get theirs; nor is more
    than MAX_PARSED_BYTES of a connection parsed in one turn.  Memory is
    reserved for requests and for all else that the connection holds; while no
    request is served, the connection may be closed to free it.
    """

    __slots__ = (
        "manager",
        "transport",
        "exchange",
        "last_active_at",
        "_parser",
        "_pipelined",
        "_keep_alive",
        "_request_count",
        "_closing",
        "_reservation",
        "_unparsed",
        "_is_advancing",
        "_waits_for_turn",
        "_waits_since",
        "_waited_s",
        "_has_ended",
        "_is_write_paused",
        "_unsent_bytes",
        "_unsent_since",
    )

    def __init__(self, manager: ConnectionManager) -> None:
        self.manager = manager
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.last_active_at = manager.now()
        self._parser = RequestParser()
        self._pipelined = RequestQueue()
        self._keep_alive = True
        self._request_count = 0
        self._closing = False
        self._reservation = manager.memory.reserve(manager.source)
        self._unparsed = b""
        self._is_advancing = False
        self._waits_for_turn = False
        # For its turns, since the connection was last active.
        self._waits_since = 0.0
        self._waited_s = 0.0
        self._has_ended = False
        self._is_write_paused = False
        self._unsent_bytes = 0
        self._unsent_since = 0.0

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read, waits or is served."""
        return (
            self.exchange is None
            and not self._parser.in_message
            and not self._pipelined
            and not self._unparsed
        )

    @property
    def is_reading(self) -> bool:
        """Return whether the next request to serve is received in part."""
        return (
            self.exchange is None
            and not self._pipelined
            and self._parser.in_message
        )

    @property
    def is_incomplete(self) -> bool:
        """Return whether all that was received is a part of a request."""
        return (
            self.exchange is None and not self._pipelined and not self.is_idle
        )

    @property
    def is_closing(self) -> bool:
        """Return whether the connection ends once all is sent."""
        return self._closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register with the manager."""
        self.transport = transport
        transport.max_size = MAX_READ_BYTES
        self.manager.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse the data, as far as the requests in it may wait."""
        if self._closing:
            return
        if self.is_idle:
            self._record_activity()
        self._unparsed += data
        if self.manager.is_busy:
            self._continue_in_turn()
        self._advance()

    def pause_writing(self) -> None:
        """Serve no further request until the client reads the responses."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Serve the next request."""
        self._is_write_paused = False
        self._advance()

    def reading_for_s(self, now: float) -> float:
        """Return how long the client takes, without waits for turns here."""
        waited_s = self._waited_s
        if self._waits_for_turn:
            waited_s += now - self._waits_since
        return now - self.last_active_at - waited_s

    def unread_for_s(self, now: float) -> float:
        """Return since when the client has read none of what is unsent.

        Call it regularly.
        """
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes == 0 or unsent_bytes != self._unsent_bytes:
            self._unsent_since = now
        self._unsent_bytes = unsent_bytes
        return now - self._unsent_since

    def is_abandoned(self) -> bool:
        """Return whether a request runs whose client has left.

        While reading is paused the end of the client's stream is read only
        after all that precedes it.
        """
        is_paused = self.exchange is not None and bool(self._unparsed)
        return is_paused and has_ended(self.transport)

    def eof_received(self) -> bool:
        """Treat the end of the client's stream as its disconnect.

        Requests that wait for their turn are served as long as they are
        answered at once; returns whether the transport stays open for them.
        """
        self._has_ended = True
        if self.exchange is not None:
            self.exchange.disconnect()
            return False
        return bool(self._pipelined)

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the exchange and the manager that the client disconnected."""
        self._closing = True
        self._discard()
        self._reservation.release()
        if self.exchange is not None:
            self.exchange.disconnect()
        self.manager.connection_closed(self)

    def _advance(self) -> None:
        """Serve the next request and parse more, as far as possible.

        Nothing more is read before all is parsed.
        """
        if self._is_advancing:
            return
        if not self._waits_for_turn:
            self._is_advancing = True
            try:
                self._take_turn()
            finally:
                self._is_advancing = False
            if self._has_ended:
                self._close_if_served()
        self._reserve()
        if self._unparsed:
            self.transport.pause_reading()
        elif not self._closing:
            self.transport.resume_reading()

    def _take_turn(self) -> None:
        """Serve one request and parse one piece, as far as possible."""
        has_served = has_parsed = False
        while not self._closing:
            if self._may_serve():
                if has_served:
                    self._continue_in_turn()
                    return
                has_served = True
                self._serve_next()
            elif self._is_rejected():
                self._reject(self._parser.rejection)
            elif self._unparsed and self._may_parse():
                if has_parsed:
                    self._continue_in_turn()
                    return
                has_parsed = True
                self._parse_next()
            else:
                return

    def _record_activity(self) -> None:
        self.last_active_at = self.manager.now()
        self._waited_s = 0.0

    def _close_if_served(self) -> None:
        """Close after the last answer to a client that has left.

        A request that is not answered at once is not waited for.
        """
        if self.exchange is not None:
            self.exchange.disconnect()
        elif self._pipelined:
            return
        self._closing = True
        self.transport.close()

    def _continue_in_turn(self) -> None:
        if not self._waits_for_turn:
            self._waits_for_turn = True
            self._waits_since = self.manager.now()
            self.manager.call_in_turn(self._continue)

    def _continue(self) -> None:
        self._waits_for_turn = False
        self._waited_s += self.manager.now() - self._waits_since
        if not self._closing:
            self._advance()

    def _may_serve(self) -> bool:
        """Return whether a request waits that can be served now."""
        return (
            bool(self._pipelined)
            and self.exchange is None
            and not self._is_write_paused
        )

    def _is_rejected(self) -> bool:
        """Return whether all requests before a rejected one are answered."""
        return (
            self._parser.rejection is not None
            and self.exchange is None
            and not self._pipelined
        )

    def _may_parse(self) -> bool:
        """Return whether one more request may wait."""
        if self._parser.rejection is not None:
            return False
        if self.exchange is None and not self._pipelined:
            return True
        return not (self._pipelined.is_full or self.manager.memory.is_exceeded)

    def _parse_next(self) -> None:
        """Feed the parser; queue the requests that are complete."""
        data = self._unparsed[:MAX_PARSED_BYTES]
        self._unparsed = self._unparsed[MAX_PARSED_BYTES:]
        for parsed in self._parser.feed(data, self.manager.limits):
            self._enqueue(parsed)
        if self._parser.take_continue():
            self._send_continue()

    def _send_continue(self) -> None:
        """Ask for the body, unless the client has reset the connection.

        asyncio reports each further write to one on standard error.
        """
        if not self.transport.is_closing():
            self.transport.write(CONTINUE_RESPONSE)

    def _reserve(self) -> None:
        """Reserve memory for what is read in part, and what is unsent."""
        size = (
            len(self._unparsed)
            + self.transport.get_write_buffer_size()
            + self._parser.incomplete_size()
        )
        if size > 0 or self._reservation.size > 0:
            may_close = self.exchange is None
            self._reservation.resize(size, self.evict if may_close else None)

    def evict(self) -> None:
        """Close the connection, as others need its place or its memory.

        A request that is being served is not given up.
        """
        if self.exchange is not None:
            return
        if self.transport.get_write_buffer_size() > 0:
            self.abort()
        elif not self.close_if_idle():
            retry_after = (RETRY_AFTER, EVICTED_RETRY_AFTER)
            self._reject(503, [retry_after])
        self._discard()

    def _discard(self) -> None:
        """Free what was read of the next requests."""
        self._unparsed = b""
        self._parser.discard()
        self._pipelined.clear()

    def abort(self) -> None:
        """Close the connection without sending what is unsent."""
        self._closing = True
        self.transport.abort()

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle; return whether it was."""
        if not self.is_idle:
            return False
        self._closing = True
        self.transport.close()
        return True

    def shut_down(self) -> None:
        """Have a running request answered; close the connection."""
        if self.exchange is not None:
            self.exchange.shut_down()
        elif self.is_reading:
            self.time_out()
        else:
            self.close_if_idle()

    def time_out(self) -> None:
        """Answer 408 to an incomplete request and close the connection."""
        self._reject(408)

    def _enqueue(self, parsed: ParsedRequest) -> None:
        """Have a complete request served after those before it."""
        request = self._build_request(parsed)
        self._pipelined.add(request, parsed.keep_alive)

    def _build_request(self, parsed: ParsedRequest) -> ClientRequest:
        headers = parsed.headers
        host = find_header(headers, b"host") or b""
        remaining = find_header(headers, names.DEADLINE_REMAINING)
        self._request_count += 1
        request = ClientRequest(
            method=parsed.method,
            target=parsed.target,
            headers=headers,
            body=parsed.body,
            host=host.decode("latin-1"),
            request_id=find_header(headers, names.REQUEST_ID) or b"",
            wait_s=names.parse_deadline(remaining),
            arrived_at=self.manager.now(),
            first_on_connection=self._request_count == 1,
            reservation=self.manager.memory.reserve(self.manager.source),
        )
        # The request takes over what was reserved while it was read.
        self._reservation.release()
        request.reservation.resize(
            REQUEST_OVERHEAD_BYTES
            + len(request.target)
            + fields_size(headers)
            + len(request.body)
        )
        return request

    def _serve_next(self) -> None:
        queued = self._pipelined.take()
        self._keep_alive = queued.keep_alive
        self.exchange = Exchange(queued.request, self._send)
        self.manager.handle(self.exchange)

    def _send(self, answer: ClientResponse) -> None:
        request = self.exchange.request
        self.exchange = None
        if request.reservation is not None:
            request.reservation.release()
        self._record_activity()
        if self.transport.is_closing():
            return
        # A pipelined request has been read, so it is answered too.
        has_next = bool(self._pipelined or self._unparsed)
        is_last = self.manager.is_draining and not has_next
        close = is_last or not self._keep_alive
        is_head = request.method == b"HEAD"
        self.transport.write(encode_answer(answer, is_head, close))
        if close:
            self._closing = True
            self._reserve()
            self.transport.close()
            return
        self._reserve()
        self._advance()

    def _reject(self, status: int, headers: HeaderList | None = None) -> None:
        """Close; answer an error status if no request is being served."""
        if self._closing:
            return
        self._closing = True
        if self.exchange is None and not self.transport.is_closing():
            self.transport.write(
                encode_answer(
                    ClientResponse(status, headers or []), False, True
                )
            )
        self.transport.close()
