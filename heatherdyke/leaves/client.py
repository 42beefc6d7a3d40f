"""The client of the backend servers' protocol."""

import msgspec

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import PartMismatch
from heatherdyke.errors import TransportError
from heatherdyke.membership.lease_timing import TRANSIT_S
from heatherdyke.messages import LeafAnswer
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRun
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import LeafSearch
from heatherdyke.messages import PeerCancel
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.net.http_connection import HttpResponse

CANCEL_TIMEOUT_S = 0.5
STATUS_OK = 200


class LeafConnection:
    """A connection to one leaf that carries one request at a time.

    With ``match_parts``, a response that belongs to another request, shard or
    snapshot raises PartMismatch and closes the connection.
    """

    __slots__ = ("_connection", "_match_parts")

    def __init__(
        self, connection: HttpConnection, match_parts: bool = True
    ) -> None:
        self._connection = connection
        self._match_parts = match_parts

    @classmethod
    async def open(
        cls, address: str, match_parts: bool = True
    ) -> "LeafConnection":
        """Connect to a leaf; raises as ``HttpConnection.open`` does."""
        connection = await HttpConnection.open(address)
        connection.set_tcp_user_timeout(TRANSIT_S)
        return cls(connection, match_parts)

    @property
    def usable(self) -> bool:
        """Tell whether another request can be sent."""
        return self._connection.usable

    def close(self) -> None:
        """Close the connection immediately."""
        self._connection.close()

    async def search(
        self, request: LeafSearch, timeout_s: float
    ) -> LeafAnswer | LeafRefusal:
        """Search one shard.

        Raises ConnectionSilent after ``timeout_s`` without progress,
        TransportError if the connection breaks, and PartMismatch.
        """
        response = await self._post("/search", encode(request), timeout_s)
        if response.status != STATUS_OK:
            refusal = self._decode(response, LeafRefusal)
            if refusal.request_id:
                self._check(
                    refusal.request_id == request.request_id
                    and refusal.shard == request.shard
                )
            return refusal
        answer = self._decode(response, LeafAnswer)
        self._check(
            answer.request_id == request.request_id
            and answer.shard == request.shard
            and answer.snapshot == request.snapshot
        )
        return answer

    async def run(
        self, request: LeafRun, timeout_s: float
    ) -> LeafRunAnswer | LeafRefusal:
        """Run a request that must not be repeated; raises as ``search``.

        After a TransportError with ``sent`` set, the request may have run.
        """
        response = await self._post("/run", encode(request), timeout_s)
        if response.status != STATUS_OK:
            return self._decode(response, LeafRefusal)
        answer = self._decode(response, LeafRunAnswer)
        self._check(
            answer.request_id == request.request_id
            and answer.key == request.key
        )
        return answer

    async def cancel(self, request_id: str, shard: str) -> None:
        """Cancel a search; it no longer runs when this returns."""
        body = encode(PeerCancel(request_id, [shard]))
        await self._post("/cancel", body, CANCEL_TIMEOUT_S)

    async def _post(
        self, target: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        return await self._connection.request("POST", target, body, timeout_s)

    def _decode(self, response: HttpResponse, message_type):
        try:
            return decode(response.body, message_type)
        except msgspec.DecodeError as error:
            self.close()
            raise TransportError(
                f"the leaf sent an invalid response: {error}", sent=True
            ) from error

    def _check(self, matches: bool) -> None:
        if self._match_parts and not matches:
            self.close()
            raise PartMismatch(
                "the leaf's response belongs to another request"
            )
