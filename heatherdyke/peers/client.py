"""The client for the peer API of leaves' home instances."""

from collections.abc import AsyncIterator
from contextlib import aclosing

import msgspec

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import ConnectionSilent
from heatherdyke.errors import TransportError
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import PeerCancel
from heatherdyke.messages import PeerParts
from heatherdyke.messages import PeerRun
from heatherdyke.messages import PeerRunOutcome
from heatherdyke.messages import PeerSearch
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.peers.key import PeerKey

MAX_IDLE_PER_PEER = 64
CONNECT_TIMEOUT_S = 0.5
REPLY_GRACE_S = 0.05
CANCEL_TIMEOUT_S = 0.5
STATUS_OK = 200


class PeerClient:
    """Sends requests to home instances over pooled connections."""

    __slots__ = ("_idle_by_address", "_headers")

    def __init__(self, key: PeerKey) -> None:
        self._headers = key.header_lines
        self._idle_by_address: dict[str, list[HttpConnection]] = {}

    async def search(
        self, address: str, group: PeerSearch
    ) -> AsyncIterator[PeerParts]:
        """Send a group of searches to a home instance; yield its results.

        Raises TransportError if the connection fails or the response is
        invalid, or its subclass ConnectionSilent if the home instance stops
        responding.
        """
        connection = await self._acquire(address)
        timeout_s = group.remaining_ms / 1000 + REPLY_GRACE_S
        lines = connection.stream_lines(
            "POST", "/peer/search", encode(group), timeout_s, self._headers
        )
        try:
            async with aclosing(lines):
                async for line in lines:
                    yield _decode_line(line.status, line.body)
        except ConnectionSilent:
            self._close_idle(address)
            raise
        self._release(connection)

    async def run_once(
        self, address: str, run_request: PeerRun
    ) -> LeafRunAnswer | LeafRefusal:
        """Execute a run-once request on the home instance at ``address``.

        Raises TransportError, whose ``sent`` tells whether the request may
        have run.
        """
        connection = await self._acquire(address)
        timeout_s = run_request.run.remaining_ms / 1000 + REPLY_GRACE_S
        response = await connection.request(
            "POST", "/peer/run", encode(run_request), timeout_s, self._headers
        )
        self._release(connection)
        if response.status != STATUS_OK:
            raise TransportError(
                f"{address} responded with status {response.status}",
                sent=True,
            )
        outcome = decode(response.body, PeerRunOutcome)
        if outcome.answer is not None:
            return outcome.answer
        if outcome.refusal is not None:
            return outcome.refusal
        raise TransportError(outcome.failure, sent=outcome.sent)

    async def cancel(self, address: str, message: PeerCancel) -> None:
        """Cancel searches of shards at a home instance; ignore failures."""
        try:
            connection = await self._acquire(address)
            await connection.request(
                "POST",
                "/peer/cancel",
                encode(message),
                CANCEL_TIMEOUT_S,
                self._headers,
            )
        except TransportError:
            return
        self._release(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self._close_idle(address)

    async def _acquire(self, address: str) -> HttpConnection:
        idle = self._idle_by_address.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable:
                return connection
            connection.close()
        return await HttpConnection.open(address, CONNECT_TIMEOUT_S)

    def _release(self, connection: HttpConnection) -> None:
        idle = self._idle_by_address.setdefault(connection.address, [])
        if connection.usable and len(idle) < MAX_IDLE_PER_PEER:
            idle.append(connection)
        else:
            connection.close()

    def _close_idle(self, address: str) -> None:
        for connection in self._idle_by_address.pop(address, []):
            connection.close()


def _decode_line(status: int, line: bytes) -> PeerParts:
    if status != STATUS_OK:
        raise TransportError(
            f"the home instance responded with status {status}", sent=True
        )
    try:
        return decode(line, PeerParts)
    except msgspec.DecodeError as error:
        raise TransportError(
            f"the home instance sent an invalid line: {error}", sent=True
        ) from error
