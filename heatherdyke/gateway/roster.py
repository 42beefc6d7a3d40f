"""Makes this instance known and learns how many others there are."""

import asyncio

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.gateway.beliefs import Beliefs
from heatherdyke.gateway.core import Core
from heatherdyke.gateway.events import DEPENDENCY_LOST
from heatherdyke.net.address import Address
from heatherdyke.platform.instances import KIND
from heatherdyke.platform.instances import encode_instance
from heatherdyke.platform.store import StoreClient

RETRY_S = 1.0
# All instances start together; the second list has those that were late.
FIRST_WAIT_S = 3.0
# Instances are added and removed some thousand times a day at most.
WAIT_S = 20.0


class Roster:
    """Creates the instance's object once, then lists all of them."""

    __slots__ = ("_core", "_beliefs", "_store")

    def __init__(self, core: Core, beliefs: Beliefs) -> None:
        self._core = core
        self._beliefs = beliefs
        self._store = StoreClient(core.settings.store.address)

    async def run(self) -> None:
        """Work until cancelled."""
        settings = self._core.settings
        address = Address(settings.ip, settings.peer_ports[0])
        spec = encode_instance(settings.zone, address)
        created = False
        wait_s = FIRST_WAIT_S
        while True:
            try:
                if not created:
                    await self._store.create(KIND, settings.name, spec)
                    created = True
                listing = await self._store.list(KIND, allow_stale=True)
                self._beliefs.instances_listed(listing)
                await asyncio.sleep(wait_s)
                wait_s = WAIT_S
            except PlatformUnavailable as error:
                self._core.log.record(
                    DEPENDENCY_LOST, kind=KIND, reason=error.detail
                )
                spread = 1.0 + self._core.random.random()
                await asyncio.sleep(RETRY_S * spread)
