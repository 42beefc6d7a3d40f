"""The interface of the platform that the edit protocols use."""

from typing import Any
from typing import Protocol

from heatherdyke.messages import PlatformObject


class ObjectStore(Protocol):
    """Versioned objects with conditional updates; see ObjectClient."""

    async def get(self, key: str) -> PlatformObject | None:
        """Return the object, or None if it does not exist."""

    async def put(self, key: str, value: Any, if_version: int) -> int:
        """Store ``value`` if the object is at ``if_version``."""

    async def delete(self, key: str, if_version: int) -> None:
        """Remove the object if it is at ``if_version``."""

    async def list(self, prefix: str) -> list[PlatformObject]:
        """Return the objects whose keys start with ``prefix``."""
