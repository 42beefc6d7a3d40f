"""Authenticated requests to other instances with typed responses."""

from typing import TypeVar

from heatherdyke.net.http_fetch import fetch
from heatherdyke.net.http_fetch import fetch_optional
from heatherdyke.peers.key import PeerKey

T = TypeVar("T")


class PeerFetcher:
    """Sends each request to an instance over a new connection."""

    __slots__ = ("_headers",)

    def __init__(self, key: PeerKey) -> None:
        self._headers = key.header_lines

    async def fetch(
        self,
        address: str,
        target: str,
        message_type: type[T],
        timeout_s: float,
        method: str = "GET",
        body: bytes = b"",
    ) -> T:
        """Return the decoded response; raises as ``net.http_fetch.fetch``."""
        return await fetch(
            address,
            target,
            message_type,
            timeout_s,
            method,
            body,
            self._headers,
        )

    async def fetch_optional(
        self,
        address: str,
        target: str,
        message_type: type[T],
        timeout_s: float,
    ) -> T | None:
        """Return as ``fetch`` does, but None for a response of status 204."""
        return await fetch_optional(
            address, target, message_type, timeout_s, headers=self._headers
        )
