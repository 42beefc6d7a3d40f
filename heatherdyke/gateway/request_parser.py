"""Parses the requests of one connection, within limits on their size."""

import httptools

from heatherdyke.gateway.header_rules import find_header
from heatherdyke.gateway.messages import HeaderList
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.net.memory_quota import PIECE_OVERHEAD_BYTES
from heatherdyke.net.memory_quota import fields_size

# The colon, space and CRLF of a header field.
FIELD_FRAMING_BYTES = 4
# The pieces of a body are joined when it is complete.
BODY_COPIES = 2


class ParsedRequest:
    """A complete request, and whether its connection may be kept."""

    __slots__ = ("method", "target", "headers", "body", "keep_alive")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: HeaderList,
        body: bytes,
        keep_alive: bool,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive


class RequestParser:
    """Parses requests by httptools; offers to switch protocols are ignored.

    After a request that cannot be served ``rejection`` is its status, and
    nothing more is parsed.
    """

    __slots__ = (
        "rejection",
        "in_message",
        "_limits",
        "_parser",
        "_headers",
        "_target",
        "_chunks",
        "_head_bytes",
        "_body_bytes",
        "_framing_bytes",
        "_in_head",
        "_wants_continue",
        "_complete",
    )

    def __init__(self) -> None:
        self.rejection: int | None = None
        self.in_message = False
        self._limits = ClientLimits()
        self._parser = httptools.HttpRequestParser(self)
        self._headers: HeaderList = []
        self._target = b""
        self._chunks: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        # Of trailers, and of lines between the chunks of a body.
        self._framing_bytes = 0
        self._in_head = False
        self._wants_continue = False
        self._complete: list[ParsedRequest] = []

    def feed(self, data: bytes, limits: ClientLimits) -> list[ParsedRequest]:
        """Parse data; return the requests that it completes."""
        self._limits = limits
        if self._in_head or not self.in_message:
            self._head_bytes += len(data)
        self._framing_bytes += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserError:
            self._reject(400)
        fields_bytes = (
            self._head_bytes if self._in_head else self._framing_bytes
        )
        if self.in_message and fields_bytes > limits.max_header_bytes:
            self._reject(431)
        complete, self._complete = self._complete, []
        return complete

    def take_continue(self) -> bool:
        """Return whether a client has come to wait for ``100 Continue``."""
        wants_continue, self._wants_continue = self._wants_continue, False
        return wants_continue

    def incomplete_size(self) -> int:
        """Return the memory, in bytes, of a request received in part."""
        if not self.in_message:
            return 0
        body_bytes = min(self._body_bytes, self._limits.max_body_bytes)
        return (
            self._head_bytes
            + BODY_COPIES * body_bytes
            + fields_size(self._headers)
            + PIECE_OVERHEAD_BYTES * len(self._chunks)
        )

    def discard(self) -> None:
        """Free what was received of an incomplete request."""
        self._headers = []
        self._chunks = []

    def _reject(self, status: int) -> None:
        if self.rejection is None:
            self.rejection = status

    def _feed(self, data: bytes) -> None:
        """Feed the parser; ignore offers to switch to another protocol.

        The parser takes what follows the head of such a request for the other
        protocol, so the head is parsed again without the offer.
        """
        while data and self.rejection is None:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                if self._parser.get_method() == b"CONNECT":
                    self._reject(400)
                    return
                rest = data[offer.args[0] :]
                data = self._head_without_offer() + rest

    def _head_without_offer(self) -> bytes:
        parts = [
            self._parser.get_method(),
            b" ",
            self._target,
            b" HTTP/%s\r\n" % self._parser.get_http_version().encode(),
        ]
        for name, value in self._headers:
            if name.lower() != b"upgrade":
                parts += (name, b": ", value, b"\r\n")
        parts.append(b"\r\n")
        return b"".join(parts)

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        self._headers = []
        self._chunks = []
        self._target = b""
        self._body_bytes = 0
        self._in_head = True
        self.in_message = True

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the header size, and for ``Expect: 100-continue``."""
        if self._parser.should_upgrade():
            # The head is about to be parsed again, without the offer.
            return
        self._in_head = False
        self._head_bytes = 0
        self._framing_bytes = 0
        header_bytes = sum(
            len(name) + len(value) + FIELD_FRAMING_BYTES
            for name, value in self._headers
        )
        if header_bytes + len(self._target) > self._limits.max_header_bytes:
            self._reject(431)
            return
        expect = find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self._wants_continue = True

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body, up to the size limit."""
        self._body_bytes += len(body)
        self._framing_bytes = 0
        if self._body_bytes <= self._limits.max_body_bytes:
            self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Add the request to those that are complete."""
        if self._parser.should_upgrade():
            # Likewise; the body follows then.
            return
        self.in_message = False
        if self.rejection is not None:
            return
        if self._body_bytes > self._limits.max_body_bytes:
            self._reject(413)
            return
        self._complete.append(
            ParsedRequest(
                self._parser.get_method(),
                self._target,
                self._headers,
                b"".join(self._chunks),
                self._parser.should_keep_alive(),
            )
        )
        self._chunks = []
