"""Identifies a request that a caller sends again (pure).

Repetitions of a request have the same method, host, path with query, body and
credentials.  Ids, time limits and other header fields may differ.
"""

from collections.abc import Iterator
from hashlib import blake2b

from heatherdyke.gateway.header_rules import find_header
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.platform.headers import CALLER_FIELDS

KEY_BYTES = 16


def request_key(request: ClientRequest) -> str:
    """Return the key in hexadecimal; it is computed once per request."""
    if not request.key:
        digest = blake2b(digest_size=KEY_BYTES)
        for part in _identifying_parts(request):
            # The length keeps the parts apart.
            digest.update(b"%d:" % len(part))
            digest.update(part)
        request.key = digest.hexdigest()
    return request.key


def _identifying_parts(request: ClientRequest) -> Iterator[bytes]:
    yield request.method
    yield (find_header(request.headers, b"host") or b"").lower()
    yield request.target
    yield request.body
    yield from sorted(
        name.lower() + b":" + value
        for name, value in request.headers
        if name.lower() in CALLER_FIELDS
    )
