"""The secret by which instances know one another."""

import hmac
from hashlib import sha256

from heatherdyke.errors import ForgedMessage

# Shorter secrets can be guessed.
MIN_SECRET_CHARACTERS = 16
# A truncated HMAC of 128 bits, which RFC 2104 recommends at least.
MAC_BYTES = 16
_HTTP_PURPOSE = b"peer http"


class PeerKey:
    """Proves that a request or datagram comes from an instance.

    All instances are given the same secret.  The proof of a request is a
    fixed token, that of a datagram covers its bytes.
    """

    __slots__ = ("_secret", "_authorization")

    def __init__(self, secret: str) -> None:
        self._secret = secret.encode()
        token = hmac.digest(self._secret, _HTTP_PURPOSE, sha256).hex()
        self._authorization = f"Bearer {token}"

    @property
    def header_lines(self) -> str:
        """Return the header line of a request, ended by CRLF."""
        return f"Authorization: {self._authorization}\r\n"

    def authorizes(self, authorization: bytes | None) -> bool:
        """Tell whether a request's header value is an instance's."""
        return hmac.compare_digest(
            authorization or b"", self._authorization.encode()
        )

    def seal(self, payload: bytes) -> bytes:
        """Return the datagram that carries the payload."""
        return self._digest(payload) + payload

    def open(self, datagram: bytes) -> bytes:
        """Return a datagram's payload; raises ForgedMessage."""
        payload = datagram[MAC_BYTES:]
        if not hmac.compare_digest(
            datagram[:MAC_BYTES], self._digest(payload)
        ):
            raise ForgedMessage(
                "the datagram was not sealed with this instance's peer key",
                "give all instances the same peer key",
            )
        return payload

    def _digest(self, payload: bytes) -> bytes:
        return hmac.digest(self._secret, payload, sha256)[:MAC_BYTES]
