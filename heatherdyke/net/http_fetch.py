"""One typed question over a connection of its own."""

from typing import TypeVar

import msgspec

from heatherdyke.codec import decode
from heatherdyke.errors import TransportError
from heatherdyke.net.http_connection import CONNECT_TIMEOUT_S
from heatherdyke.net.http_connection import HttpConnection

T = TypeVar("T")

STATUS_OK = 200
NO_CONTENT = 204


async def fetch(
    address: str,
    target: str,
    message_type: type[T],
    timeout_s: float,
    method: str = "GET",
    body: bytes = b"",
    headers: str = "",
) -> T:
    """Return what ``address`` answers to one request.

    ``headers`` holds further header lines, each ended by CRLF.

    Raises TransportError if it cannot be reached, stays silent for
    ``timeout_s``, answers with another status than 200 or sends something
    else than ``message_type``.
    """
    answer = await fetch_optional(
        address, target, message_type, timeout_s, method, body, headers
    )
    if answer is None:
        raise TransportError(f"{address} has no {target}", sent=True)
    return answer


async def fetch_optional(
    address: str,
    target: str,
    message_type: type[T],
    timeout_s: float,
    method: str = "GET",
    body: bytes = b"",
    headers: str = "",
) -> T | None:
    """Return as ``fetch`` does, but None for an answer without content."""
    connection = await HttpConnection.open(
        address, min(timeout_s, CONNECT_TIMEOUT_S)
    )
    try:
        response = await connection.request(
            method, target, body, timeout_s, headers
        )
    finally:
        connection.close()
    if response.status == NO_CONTENT:
        return None
    if response.status != STATUS_OK:
        raise TransportError(
            f"{address} answered {response.status} to {method} {target}",
            sent=True,
        )
    try:
        return decode(response.body, message_type)
    except msgspec.MsgspecError as error:
        raise TransportError(
            f"{address} sent no {message_type}: {error}", sent=True
        ) from error
