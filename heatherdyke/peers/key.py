"""The shared secret that authenticates instances to one another."""

import hmac
from hashlib import sha256

from heatherdyke.errors import ForgedMessage

# Shorter secrets can be guessed.
MIN_SECRET_CHARACTERS = 16
# HMAC-SHA-256 truncated to 128 bits, the minimum RFC 2104 recommends.
MAC_BYTES = 16
_HTTP_PURPOSE = b"peer http"


class PeerKey:
    """Authenticates HTTP requests and datagrams between instances.

    All instances share the same secret.  A request carries a fixed bearer
    token derived from it; a datagram starts with an HMAC of its payload.
    """

    __slots__ = ("_secret", "_authorization")

    def __init__(self, secret: str) -> None:
        self._secret = secret.encode()
        token = hmac.digest(self._secret, _HTTP_PURPOSE, sha256).hex()
        self._authorization = f"Bearer {token}"

    @property
    def header_lines(self) -> str:
        """Return the Authorization header line of a request with CRLF."""
        return f"Authorization: {self._authorization}\r\n"

    def authorizes(self, authorization: bytes | None) -> bool:
        """Tell whether an Authorization header value is valid."""
        return hmac.compare_digest(
            authorization or b"", self._authorization.encode()
        )

    def seal(self, payload: bytes) -> bytes:
        """Return a datagram of the payload's HMAC and the payload."""
        return self._digest(payload) + payload

    def open(self, datagram: bytes) -> bytes:
        """Verify a datagram and return its payload; raises ForgedMessage."""
        payload = datagram[MAC_BYTES:]
        if not hmac.compare_digest(
            datagram[:MAC_BYTES], self._digest(payload)
        ):
            raise ForgedMessage(
                "the datagram is not authenticated with the peer key",
                "configure the same peer key on all instances",
            )
        return payload

    def _digest(self, payload: bytes) -> bytes:
        return hmac.digest(self._secret, payload, sha256)[:MAC_BYTES]
