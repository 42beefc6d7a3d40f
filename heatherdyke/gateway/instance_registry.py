"""Registers this instance in the store and lists the others."""

import asyncio

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.gateway.events import STORE_LOST
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.state_updater import StateUpdater
from heatherdyke.net.address import Address
from heatherdyke.platform.instances import KIND
from heatherdyke.platform.instances import encode_instance
from heatherdyke.platform.store import StoreClient

RETRY_S = 1.0
# The instances of a fleet start at about the same time, so the second list
# follows early to include those that registered after the first.
FIRST_LIST_INTERVAL_S = 3.0
# Instances are added and removed some thousand times a day at most.
LIST_INTERVAL_S = 20.0


class InstanceRegistry:
    """Creates this instance's object once, then lists all instances."""

    __slots__ = ("_shared", "_updater", "_store")

    def __init__(self, shared: SharedState, updater: StateUpdater) -> None:
        self._shared = shared
        self._updater = updater
        self._store = StoreClient(shared.settings.store.address)

    async def run(self) -> None:
        """Register and list until cancelled."""
        settings = self._shared.settings
        address = Address(settings.ip, settings.peer_ports[0])
        spec = encode_instance(settings.zone, address)
        created = False
        interval_s = FIRST_LIST_INTERVAL_S
        while True:
            try:
                if not created:
                    await self._store.create(KIND, settings.name, spec)
                    created = True
                listing = await self._store.list(KIND, allow_stale=True)
                self._updater.on_instances_listed(listing)
                await asyncio.sleep(interval_s)
                interval_s = LIST_INTERVAL_S
            except PlatformUnavailable as error:
                self._shared.log.record(
                    STORE_LOST, kind=KIND, reason=error.detail
                )
                spread = 1.0 + self._shared.random.random()
                await asyncio.sleep(RETRY_S * spread)
