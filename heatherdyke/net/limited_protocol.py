"""uvicorn's HTTP protocol with bounds on size and time of a request."""

import asyncio
from dataclasses import dataclass

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from heatherdyke.errors import BodyTooLarge
from heatherdyke.errors import HeadersTooLarge
from heatherdyke.errors import RequestError
from heatherdyke.errors import RequestTooSlow
from heatherdyke.net.http_payloads import encode_problem_response


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a request may take; its first byte starts ``read_timeout_s``."""

    header_bytes: int
    body_bytes: int
    read_timeout_s: float


# Common servers allow 8 to 16 KiB; a search's JSON is some hundred bytes.
CALLER_LIMITS = RequestLimits(16 << 10, 1 << 20, 10.0)
# A group of a thousand shards, or a whole configuration, from a peer.
PEER_LIMITS = RequestLimits(16 << 10, 16 << 20, 10.0)


class LimitedProtocol(HttpToolsProtocol):
    """Answers what exceeds its limits with a problem and closes.

    A connection on which nothing is sent counts as a slow request.
    """

    def __init__(self, limits: RequestLimits, *arguments, **named) -> None:
        super().__init__(*arguments, **named)
        self._limits = limits
        self._header_bytes = 0
        self._body_bytes = 0
        self._fault: RequestError | None = None
        self._reading: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Await the first request for as long as one may take."""
        super().connection_made(transport)
        self._begin_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the clock."""
        self._end_reading()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Count a new request from zero."""
        self._header_bytes = 0
        self._body_bytes = 0
        self._begin_reading()
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Count the request's target as one of its headers."""
        self._count_header(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header field."""
        self._count_header(len(name) + len(value))
        super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Count a piece of the body."""
        self._body_bytes += len(body)
        limit = self._limits.body_bytes
        if self._body_bytes > limit:
            self._fail(
                BodyTooLarge(
                    f"the body is longer than {limit} bytes",
                    "send a smaller request",
                )
            )
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Stop the clock of a request that is whole."""
        self._end_reading()
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Answer the fault that ended the parsing, and close."""
        if self._fault is None:
            super().send_400_response(msg)
            return
        self._end(self._fault)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        limit = self._limits.header_bytes
        if self._header_bytes > limit:
            self._fail(
                HeadersTooLarge(
                    f"the headers are longer than {limit} bytes",
                    "send fewer or shorter headers",
                )
            )

    def _fail(self, fault: RequestError) -> None:
        """End the parsing; ``data_received`` answers then."""
        self._fault = fault
        raise fault

    def _begin_reading(self) -> None:
        self._end_reading()
        self._reading = self.loop.call_later(
            self._limits.read_timeout_s, self._read_too_slowly
        )

    def _end_reading(self) -> None:
        if self._reading is not None:
            self._reading.cancel()
            self._reading = None

    def _read_too_slowly(self) -> None:
        self._end(
            RequestTooSlow(
                "no whole request came within "
                f"{self._limits.read_timeout_s:.0f} s",
                "send the request at once",
            )
        )

    def _end(self, fault: RequestError) -> None:
        """Close; the fault is told unless another answer is due first."""
        self._end_reading()
        if self.transport.is_closing():
            return
        if self._is_next_answer():
            self.transport.write(encode_problem_response(fault))
        self.transport.close()

    def _is_next_answer(self) -> bool:
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return True
        begun = cycle.response_started or bool(self.pipeline)
        return cycle.more_body and not begun
