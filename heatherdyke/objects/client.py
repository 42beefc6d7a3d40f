"""The client of the platform's object API.

All other modules access the platform through this class only, so that it is
the only one to replace for a platform with another API.
"""

from typing import Any
from typing import TypeVar
from urllib.parse import quote

import msgspec

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import TransportError
from heatherdyke.errors import VersionConflict
from heatherdyke.messages import ListedInstance
from heatherdyke.messages import PlatformObject
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.net.http_connection import HttpResponse

T = TypeVar("T")

ABSENT_VERSION = 0
MAX_IDLE_CONNECTIONS = 4


class ObjectClient:
    """Calls the platform.

    Each call raises PlatformUnavailable if the platform does not respond or
    responds with a status of 500 or above.

    ``calls`` counts the calls, for the capacity measurements.  The owner
    closes the client before the event loop ends.
    """

    __slots__ = ("address", "timeout_s", "calls", "_idle", "_closed")

    def __init__(self, address: str, timeout_s: float = 2.0) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.calls = 0
        self._idle: list[HttpConnection] = []
        self._closed = False

    async def get(self, key: str) -> PlatformObject | None:
        """Return the object, or None if it does not exist."""
        response = await self._call("GET", f"/objects?key={quote(key, '')}")
        if response.status == 404:
            return None
        return decode(response.body, PlatformObject)

    async def put(self, key: str, value: Any, if_version: int) -> int:
        """Store ``value`` if the object is at ``if_version``.

        ABSENT_VERSION creates the object.  Returns the new version.  Raises
        VersionConflict, or PlatformUnavailable, after which the write may
        have taken effect.
        """
        response = await self._call(
            "PUT",
            f"/objects?key={quote(key, '')}&if_version={if_version}",
            encode(value),
        )
        stored = decode(response.body, PlatformObject)
        if response.status == 409:
            raise VersionConflict(key, stored.version)
        return stored.version

    async def delete(self, key: str, if_version: int) -> None:
        """Remove the object if it is at ``if_version``; raises as ``put``."""
        response = await self._call(
            "DELETE",
            f"/objects?key={quote(key, '')}&if_version={if_version}",
        )
        if response.status == 409:
            stored = decode(response.body, PlatformObject)
            raise VersionConflict(key, stored.version)

    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> PlatformObject | None:
        """Wait until the object is newer than ``after_version``; return it.

        Returns None if it is not newer within ``wait_s``.  The platform
        counts each waiting watch as a call.
        """
        response = await self._call(
            "GET",
            f"/watch?key={quote(key, '')}&after_version={after_version}"
            f"&wait_s={wait_s}",
            timeout_s=wait_s + self.timeout_s,
        )
        if response.status == 204:
            return None
        return decode(response.body, PlatformObject)

    async def instances(self) -> list[ListedInstance]:
        """Return the live and leaving instances; the list may lag."""
        response = await self._call("GET", "/instances")
        return decode(response.body, list[ListedInstance])

    async def list(self, prefix: str) -> list[PlatformObject]:
        """Return the objects whose keys start with ``prefix``."""
        response = await self._call("GET", f"/list?prefix={quote(prefix, '')}")
        return decode(response.body, list[PlatformObject])

    async def announce(self, row: ListedInstance) -> None:
        """Register an instance or backend server with the stand-in.

        The real platform knows its instances and does not need this call.
        """
        await self._call("POST", "/instances", encode(row))

    def close(self) -> None:
        """Close the idle connections; calls in progress close theirs."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float | None = None,
    ) -> HttpResponse:
        self.calls += 1
        timeout_s = self.timeout_s if timeout_s is None else timeout_s
        try:
            connection = await self._acquire_connection()
            response = await connection.request(
                method, target, body, timeout_s
            )
        except TransportError as error:
            raise PlatformUnavailable(
                f"the platform call {method} {target} failed: {error.detail}",
                "retry; after a write, read the object back first",
            ) from error
        self._release_connection(connection)
        if response.status >= 500:
            raise PlatformUnavailable(
                f"the platform responded with status {response.status} to "
                f"{method} {target}",
                "retry; after a write, read the object back first",
            )
        return response

    async def _acquire_connection(self) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
            connection.close()
        return await HttpConnection.open(self.address, self.timeout_s)

    def _release_connection(self, connection: HttpConnection) -> None:
        has_room = not self._closed and len(self._idle) < MAX_IDLE_CONNECTIONS
        if connection.usable and has_room:
            self._idle.append(connection)
        else:
            connection.close()


def convert_value(stored: PlatformObject, value_type: type[T]) -> T:
    """Return the object's value as ``value_type``.

    Raises msgspec.ValidationError if the fields do not fit.
    """
    return msgspec.convert(stored.value, value_type)
