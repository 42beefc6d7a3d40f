"""Calls to the stand-ins' controls."""

from typing import Any
from typing import TypeVar

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.http_connection import HttpConnection
from heatherdyke_bench.errors import FleetError

T = TypeVar("T")

ADMIN_TIMEOUT_S = 20.0


async def set_faults(address: str, faults: Any) -> None:
    """Set a stand-in's faults; raises FleetError if it refuses them."""
    status, body = await _call(address, "POST", "/admin/faults", faults)
    if status != 200:
        raise FleetError(
            f"{address} refused the faults: {body!r}", "correct the scenario"
        )


async def read_record(address: str, record_type: type[T]) -> T:
    """Return what a stand-in has recorded."""
    _, body = await _call(address, "GET", "/admin/record", None)
    return decode(body, record_type)


async def is_ready(address: str) -> bool:
    """Tell whether an instance says that it is ready."""
    status, _ = await _call(address, "GET", "/readyz", None)
    return status == 200


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
