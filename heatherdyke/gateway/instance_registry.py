"""Registers this instance in the store and lists the others.

A store that comes back from an older copy may have lost the entry.
"""

import asyncio

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.gateway.events import STORE_LOST
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.state_updater import StateUpdater
from heatherdyke.net.address import Address
from heatherdyke.platform.instances import KIND
from heatherdyke.platform.instances import encode_instance
from heatherdyke.platform.store import Listing
from heatherdyke.platform.store import StoreClient

RETRY_S = 1.0
# The instances of a fleet start at about the same time, so the second list
# follows early to include those that registered after the first.
FIRST_LIST_INTERVAL_S = 3.0
# Instances are added and removed some thousand times a day at most.
LIST_INTERVAL_S = 20.0
# A list may be some seconds old; a later one has the entry unless it is lost.
STALE_LIST_S = 10.0


class InstanceRegistry:
    """Creates this instance's object and lists all instances."""

    __slots__ = ("_shared", "_updater", "_store", "_created_at")

    def __init__(self, shared: SharedState, updater: StateUpdater) -> None:
        self._shared = shared
        self._updater = updater
        self._store = StoreClient(shared.settings.store.address)
        self._created_at: float | None = None

    async def run(self) -> None:
        """Register and list until cancelled."""
        interval_s = FIRST_LIST_INTERVAL_S
        while True:
            try:
                await self._register_and_list()
                await asyncio.sleep(interval_s)
                interval_s = LIST_INTERVAL_S
            except PlatformUnavailable as error:
                self._shared.log.record(
                    STORE_LOST, kind=KIND, reason=error.detail
                )
                spread = 1.0 + self._shared.random.random()
                await asyncio.sleep(RETRY_S * spread)

    async def _register_and_list(self) -> None:
        """Create the object unless it exists, then list all of them."""
        if self._created_at is None:
            await self._create()
        listing = await self._store.list(KIND, allow_stale=True)
        if self._is_lost(listing):
            self._created_at = None
            await self._create()
        self._updater.on_instances_listed(listing)

    async def _create(self) -> None:
        settings = self._shared.settings
        address = Address(settings.ip, settings.peer_ports[0])
        spec = encode_instance(settings.zone, address)
        await self._store.create(KIND, settings.name, spec)
        self._created_at = self._shared.loop.time()

    def _is_lost(self, listing: Listing) -> bool:
        """Return whether a list lacks an object that it should have."""
        name = self._shared.settings.name
        is_listed = any(stored.name == name for stored in listing.objects)
        age_s = self._shared.loop.time() - self._created_at
        return not is_listed and age_s > STALE_LIST_S
