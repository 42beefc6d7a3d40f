"""Tells the home which leaves the platform's list shows as leaving."""

import asyncio

from blacksheep import Application

from heatherdyke.clock import Clock
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.home import Home
from heatherdyke.messages import InstanceKind
from heatherdyke.messages import InstanceState
from heatherdyke.messages import ListedInstance
from heatherdyke.platform_client import PlatformClient
from heatherdyke.settings import Settings

REFRESH_S = 1.0


class LeafListing:
    """Reads the platform's list of backend servers from time to time."""

    __slots__ = ("_platform", "_home", "_settings", "_clock")

    def __init__(
        self,
        platform: PlatformClient,
        home: Home,
        settings: Settings,
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._home = home
        self._settings = settings
        self._clock = clock

    def add_routes(self, app: Application) -> None:
        """Add no routes."""

    async def run(self) -> None:
        """Refresh until cancelled; an outage leaves the last state."""
        while True:
            try:
                self._apply(await self._platform.instances())
            except PlatformUnavailable:
                pass
            await asyncio.sleep(REFRESH_S)

    async def stop(self) -> None:
        """Nothing runs that must finish."""

    def _apply(self, rows: list[ListedInstance]) -> None:
        for row in rows:
            if row.kind is InstanceKind.BACKEND:
                self._home.hear_leaf_state(
                    row.name,
                    row.state is InstanceState.LEAVING,
                    row.incarnation,
                )
