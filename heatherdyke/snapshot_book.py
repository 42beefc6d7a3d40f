"""Which snapshot of each index is current."""

import asyncio

import msgspec
from blacksheep import Application

from heatherdyke.config_model import SNAPSHOTS_PREFIX
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.messages import IndexSnapshots
from heatherdyke.platform_client import PlatformClient
from heatherdyke.platform_client import convert_value

REFRESH_S = 1.0


class SnapshotBook:
    """Learns snapshots from the platform and from what leaves report.

    A snapshot only ever grows newer; the last known one stays in use
    while the platform is down.
    """

    __slots__ = ("_platform", "_current_by_index")

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._current_by_index: dict[str, int] = {}

    @property
    def is_known(self) -> bool:
        """Tell whether any index's snapshot is known."""
        return bool(self._current_by_index)

    def current(self, index: str) -> int | None:
        """Return the newest known snapshot of the index, if any is."""
        return self._current_by_index.get(index)

    def learn(self, index: str, snapshot: int) -> None:
        """Take in a snapshot that a leaf or the platform reported."""
        known = self._current_by_index.get(index, snapshot)
        self._current_by_index[index] = max(known, snapshot)

    def add_routes(self, app: Application) -> None:
        """Add no routes."""

    async def run(self) -> None:
        """Refresh from the platform until cancelled."""
        while True:
            try:
                await self.refresh()
            except PlatformUnavailable:
                pass
            await asyncio.sleep(REFRESH_S)

    async def stop(self) -> None:
        """Nothing runs that must finish."""

    async def refresh(self) -> None:
        """Read all indexes' snapshots; raises PlatformUnavailable."""
        for stored in await self._platform.list(SNAPSHOTS_PREFIX):
            try:
                snapshots = convert_value(stored, IndexSnapshots)
            except msgspec.ValidationError:
                continue
            index = stored.key.removeprefix(SNAPSHOTS_PREFIX)
            self.learn(index, snapshots.current)
