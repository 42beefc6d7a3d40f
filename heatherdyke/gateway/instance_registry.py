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
from heatherdyke.platform.instances import decode_instance
from heatherdyke.platform.instances import encode_instance
from heatherdyke.platform.store import Listing

RETRY_S = 1.0
# The instances of a fleet start at about the same time, so the second list
# follows early to include those that registered after the first.
FIRST_LIST_INTERVAL_S = 3.0
# Instances are added and removed some thousand times a day at most.
LIST_INTERVAL_S = 20.0
# A list may be some seconds old; a later one has the entry unless it is lost.
STALE_LIST_S = 10.0


class InstanceRegistry:
    """Creates this instance's object and lists all instances.

    ``address`` is where the others reach this instance, None as long as they
    cannot; it is then not registered.
    """

    __slots__ = (
        "address",
        "_shared",
        "_updater",
        "_store",
        "_written_at",
        "_wants_new_list",
        "_wake",
    )

    def __init__(self, shared: SharedState, updater: StateUpdater) -> None:
        self._shared = shared
        self._updater = updater
        self._store = shared.store_client()
        settings = shared.settings
        self.address: Address | None = Address(
            settings.ip, settings.peer_ports[0]
        )
        self._written_at: float | None = None
        self._wants_new_list = False
        self._wake = asyncio.Event()

    def set_address(self, address: Address) -> None:
        """Register at this address soon."""
        self.address = address
        self._wake.set()

    def list_soon(self) -> None:
        """List the instances soon, with those that registered just now."""
        self._wants_new_list = True
        self._wake.set()

    def close(self) -> None:
        """Close the connection to the store, as the process ends."""
        self._store.close()

    async def run(self) -> None:
        """Register and list until cancelled."""
        interval_s = FIRST_LIST_INTERVAL_S
        while True:
            self._wake.clear()
            try:
                await self._register_and_list()
            except PlatformUnavailable as error:
                self._shared.log.record(
                    STORE_LOST, kind=KIND, reason=error.detail
                )
                spread = 1.0 + self._shared.random.random()
                await asyncio.sleep(RETRY_S * spread)
                continue
            try:
                async with asyncio.timeout(interval_s):
                    await self._wake.wait()
            except TimeoutError:
                interval_s = LIST_INTERVAL_S

    async def _register_and_list(self) -> None:
        """Create the object unless it exists, then list all of them."""
        if self.address is not None and self._written_at is None:
            await self._create()
        # If the store has no new list, the next attempt takes an old one.
        allow_stale = not self._wants_new_list
        self._wants_new_list = False
        listing = await self._store.list(KIND, allow_stale)
        if self.address is not None:
            await self._correct(listing)
        self._updater.on_instances_listed(listing)

    async def _create(self) -> None:
        settings = self._shared.settings
        spec = encode_instance(settings.zone, self.address)
        await self._store.create(KIND, settings.name, spec)
        self._written_at = self._shared.loop.time()

    async def _correct(self, listing: Listing) -> None:
        """Write the object again if it is lost or has another address.

        A previous process of this instance may have listened on another port.
        """
        if self._written_at is None:
            # The address has become known while the list was in flight.
            await self._create()
            return
        settings = self._shared.settings
        stored = next(
            (item for item in listing.objects if item.name == settings.name),
            None,
        )
        age_s = self._shared.loop.time() - self._written_at
        if stored is None:
            if age_s > STALE_LIST_S:
                await self._create()
            return
        entry = decode_instance(stored.name, stored.spec)
        if entry is None or entry.address != self.address:
            spec = encode_instance(settings.zone, self.address)
            await self._store.put(KIND, settings.name, spec)
            self._written_at = self._shared.loop.time()
