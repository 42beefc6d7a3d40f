"""uvicorn's HTTP protocol with limits on request size and read time."""

import asyncio
from dataclasses import dataclass

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from heatherdyke.net.http_payloads import encode_problem_response
from heatherdyke.request_errors import BodyTooLarge
from heatherdyke.request_errors import HeadersTooLarge
from heatherdyke.request_errors import RequestError
from heatherdyke.request_errors import RequestTooSlow


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of one request; its first byte starts the read timeout."""

    header_bytes: int
    body_bytes: int
    read_timeout_s: float


# Common HTTP servers allow headers of 8 to 16 KiB; the JSON of a search has a
# few hundred bytes.
CALLER_LIMITS = RequestLimits(16 << 10, 1 << 20, 10.0)
# A peer may send a group of a thousand shards or a whole configuration.
PEER_LIMITS = RequestLimits(16 << 10, 16 << 20, 10.0)


class LimitedProtocol(HttpToolsProtocol):
    """Responds to a request over its limits with a problem and closes.

    The read timeout also applies to a new connection without a request.
    """

    def __init__(self, limits: RequestLimits, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self._limits = limits
        self._header_bytes = 0
        self._body_bytes = 0
        self._error: RequestError | None = None
        self._read_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the read timeout for the first request."""
        super().connection_made(transport)
        self._start_read_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the read timeout."""
        self._cancel_read_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Reset the counts and restart the read timeout."""
        self._header_bytes = 0
        self._body_bytes = 0
        self._start_read_timer()
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Count the request target towards the header limit."""
        self._count_header(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header field towards the header limit."""
        self._count_header(len(name) + len(value))
        super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Count a chunk of the body towards the body limit."""
        self._body_bytes += len(body)
        limit = self._limits.body_bytes
        if self._body_bytes > limit:
            self._abort_parsing(
                BodyTooLarge(
                    f"the request body exceeds {limit} bytes",
                    "send a smaller request",
                )
            )
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Cancel the read timeout of a complete request."""
        self._cancel_read_timer()
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Respond with the error that ended the parsing, and close."""
        if self._error is None:
            super().send_400_response(msg)
            return
        self._respond_and_close(self._error)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        limit = self._limits.header_bytes
        if self._header_bytes > limit:
            self._abort_parsing(
                HeadersTooLarge(
                    f"the request headers exceed {limit} bytes",
                    "send fewer or shorter headers",
                )
            )

    def _abort_parsing(self, error: RequestError) -> None:
        """Abort the parsing; ``data_received`` then sends the response."""
        self._error = error
        raise error

    def _start_read_timer(self) -> None:
        self._cancel_read_timer()
        self._read_timer = self.loop.call_later(
            self._limits.read_timeout_s, self._on_read_timeout
        )

    def _cancel_read_timer(self) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None

    def _on_read_timeout(self) -> None:
        self._respond_and_close(
            RequestTooSlow(
                "no complete request was received within "
                f"{self._limits.read_timeout_s:.0f} s",
                "send the complete request without delay",
            )
        )

    def _respond_and_close(self, error: RequestError) -> None:
        """Close the connection, after an error response if one can be sent.

        It cannot be sent before the response to an earlier request.
        """
        self._cancel_read_timer()
        if self.transport.is_closing():
            return
        if self._can_send_error():
            self.transport.write(encode_problem_response(error))
        self.transport.close()

    def _can_send_error(self) -> bool:
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return True
        busy = cycle.response_started or bool(self.pipeline)
        return cycle.more_body and not busy
