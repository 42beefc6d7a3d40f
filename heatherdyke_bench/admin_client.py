"""Client of the stand-ins' admin endpoints and of readiness checks."""

import asyncio
from typing import Any
from typing import TypeVar

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import TransportError
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke_bench.errors import FleetError

T = TypeVar("T")

ADMIN_TIMEOUT_S = 20.0
MAX_RETRIES = 60
RETRY_DELAY_S = 0.05


async def set_faults(address: str, faults: Any) -> None:
    """Set a stand-in's faults.

    Raises FleetError if it rejects them, or TransportError if it cannot be
    reached after MAX_RETRIES retries.
    """
    status, body = await _call_with_retries(
        address, "POST", "/admin/faults", faults
    )
    if status != 200:
        raise FleetError(
            f"{address} rejected the faults: {body!r}", "correct the scenario"
        )


async def read_record(address: str, record_type: type[T]) -> T:
    """Return a stand-in's record of its calls."""
    _, body = await _call_with_retries(address, "GET", "/admin/record", None)
    return decode(body, record_type)


async def is_ready(address: str) -> bool:
    """Tell whether an instance passes its readiness check."""
    status, _ = await _call(address, "GET", "/readyz", None)
    return status == 200


async def _call_with_retries(
    address: str, method: str, path: str, message: Any
) -> tuple[int, bytes]:
    """Retry transport errors: a stand-in may be at its connection limit."""
    for _ in range(MAX_RETRIES):
        try:
            return await _call(address, method, path, message)
        except TransportError:
            await asyncio.sleep(RETRY_DELAY_S)
    return await _call(address, method, path, message)


async def _call(
    address: str, method: str, path: str, message: Any
) -> tuple[int, bytes]:
    connection = await HttpConnection.open(address)
    body = b"" if message is None else encode(message)
    try:
        response = await connection.request(
            method, path, body, ADMIN_TIMEOUT_S
        )
    finally:
        connection.close()
    return response.status, response.body
