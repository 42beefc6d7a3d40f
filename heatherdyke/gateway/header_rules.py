"""Forwarding of header fields and encoding of messages (pure)."""

from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.messages import HeaderList
from heatherdyke.platform import headers as names

# Hop-by-hop fields of RFC 9110, section 7.6.1, and the framing fields that
# each hop sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
GATEWAY_HEADERS = frozenset((names.DEADLINE_REMAINING, names.EXPECTED_LEAF))
BODY_METHODS = frozenset((b"POST", b"PUT", b"PATCH"))
REASON_BY_STATUS = {
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def find_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Return a field's first value; ``name`` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def forwarded_headers(
    headers: HeaderList, dropped: frozenset[bytes]
) -> HeaderList:
    """Return the fields to forward, without hop-by-hop and ``dropped``."""
    named = _names_in_connection_header(headers)
    return [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in HOP_BY_HOP_HEADERS
        and lower not in dropped
        and lower not in named
    ]


def request_head(request: ClientRequest) -> bytes:
    """Return the start line and the fields common to all attempts."""
    parts = [request.method, b" ", request.target, b" HTTP/1.1\r\n"]
    for name, value in forwarded_headers(request.headers, GATEWAY_HEADERS):
        parts += (name, b": ", value, b"\r\n")
    if request.body or request.method in BODY_METHODS:
        parts.append(b"Content-Length: %d\r\n" % len(request.body))
    return b"".join(parts)


def attempt_message(
    head: bytes, body: bytes, remaining_s: float, leaf_id: str
) -> tuple[bytes, ...]:
    """Return the pieces of the message for one leaf."""
    set_fields = names.leaf_request_fields(remaining_s, leaf_id.encode())
    return head, set_fields, b"\r\n", body


def encode_answer(answer: ClientResponse, is_head: bool, close: bool) -> bytes:
    """Return the bytes of an answer, without body if ``is_head``."""
    status = answer.status
    reason = REASON_BY_STATUS.get(status, b"Status")
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    for name, value in answer.headers:
        parts += (name, b": ", value, b"\r\n")
    if status not in (204, 304):
        parts.append(b"Content-Length: %d\r\n" % len(answer.body))
    if close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    if not is_head:
        parts.append(answer.body)
    return b"".join(parts)


def _names_in_connection_header(headers: HeaderList) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    )
