"""Typed HTTP requests, each over a connection of its own."""

from typing import TypeVar

import msgspec

from heatherdyke.codec import decode
from heatherdyke.errors import TransportError
from heatherdyke.net.http_connection import CONNECT_TIMEOUT_S
from heatherdyke.net.http_connection import HttpConnection

T = TypeVar("T")

STATUS_OK = 200
STATUS_NO_CONTENT = 204


async def fetch(
    address: str,
    target: str,
    message_type: type[T],
    timeout_s: float,
    method: str = "GET",
    body: bytes = b"",
    headers: str = "",
) -> T:
    """Send a request to ``address`` and return the decoded response.

    ``headers`` are further header lines, each ending in CRLF.

    Raises TransportError if ``address`` cannot be reached, makes no progress
    for ``timeout_s``, responds with a status other than 200 or sends a body
    that is not a ``message_type``.
    """
    message = await fetch_optional(
        address, target, message_type, timeout_s, method, body, headers
    )
    if message is None:
        raise TransportError(
            f"{address} has no content at {target}", sent=True
        )
    return message


async def fetch_optional(
    address: str,
    target: str,
    message_type: type[T],
    timeout_s: float,
    method: str = "GET",
    body: bytes = b"",
    headers: str = "",
) -> T | None:
    """Send a request as ``fetch`` does; return None on status 204."""
    connection = await HttpConnection.open(
        address, min(timeout_s, CONNECT_TIMEOUT_S)
    )
    try:
        response = await connection.request(
            method, target, body, timeout_s, headers
        )
    finally:
        connection.close()
    if response.status == STATUS_NO_CONTENT:
        return None
    if response.status != STATUS_OK:
        raise TransportError(
            f"{address} responded {response.status} to {method} {target}",
            sent=True,
        )
    try:
        return decode(response.body, message_type)
    except msgspec.MsgspecError as error:
        raise TransportError(
            f"{address} sent a body that is not a {message_type}: {error}",
            sent=True,
        ) from error
