"""Client for at-most-once requests, used by commands, demo and tests."""

from urllib.parse import quote

import msgspec

from heatherdyke.callers.client import RequestRefused
from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import TransportError
from heatherdyke.messages import RunOutcome
from heatherdyke.messages import RunRequest
from heatherdyke.messages import RunTickets
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.net.http_payloads import Problem

TIMEOUT_S = 35.0
FIRST_ERROR_STATUS = 400


class RunClient:
    """Calls one instance with a team's key.

    All methods raise RequestRefused with the problem in the response, or
    TransportError, after which a retry with the same key is safe.
    """

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._key = key

    async def run(self, key: str, request: RunRequest) -> RunOutcome:
        """Run the request at most once under ``key``."""
        body = encode(request)
        header = f"Idempotency-Key: {key}\r\n"
        return await self._call("POST", "/runs", RunOutcome, body, header)

    async def lookup(self, key: str) -> RunOutcome:
        """Return the outcome under ``key``."""
        return await self._call("GET", f"/runs/{quote(key)}", RunOutcome)

    async def withdraw(self, key: str) -> RunOutcome:
        """Close ``key`` unless its request was sent already."""
        return await self._call("DELETE", f"/runs/{quote(key)}", RunOutcome)

    async def tickets(self, count: int = 1) -> list[str]:
        """Return new tickets of the instance."""
        target = f"/runs/tickets?count={count}"
        return (await self._call("POST", target, RunTickets)).tickets

    async def _call(
        self,
        method: str,
        target: str,
        answer_type: type,
        body: bytes = b"",
        headers: str = "",
    ):
        connection = await HttpConnection.open(self._address)
        headers += f"Authorization: Bearer {self._key}\r\n"
        try:
            response = await connection.request(
                method, target, body, TIMEOUT_S, headers
            )
        finally:
            connection.close()
        try:
            if response.status >= FIRST_ERROR_STATUS:
                raise RequestRefused(decode(response.body, Problem))
            return decode(response.body, answer_type)
        except msgspec.DecodeError as error:
            raise TransportError(
                f"{self._address} answered {response.status} with a body that "
                "cannot be decoded",
                sent=True,
            ) from error
