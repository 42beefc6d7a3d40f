"""The tasks that bring newer configuration to an instance.

Sources are the platform's watches, peers whose heartbeat shows a newer
digest, and a random peer asked every second, so that a change reaches an
instance that only peers can reach.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from heatherdyke.clock import Clock
from heatherdyke.config.model import HEAD_KEY
from heatherdyke.config.model import ZONES_KEY
from heatherdyke.config.source import complete_head
from heatherdyke.config.source import read_head
from heatherdyke.config.source import read_peer
from heatherdyke.config.source import read_platform
from heatherdyke.config.source import read_zones
from heatherdyke.config.state import ConfigDelta
from heatherdyke.config.state import ConfigDigest
from heatherdyke.config.state import ConfigState
from heatherdyke.errors import PlatformError
from heatherdyke.errors import TransportError
from heatherdyke.membership.messages import Member
from heatherdyke.membership.peer_directory import PeerDirectory
from heatherdyke.messages import InstanceKind
from heatherdyke.messages import PlatformObject
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.events import CONFIG_SOURCE_LOST
from heatherdyke.observe.events import CONFIG_SOURCE_RESTORED
from heatherdyke.observe.events import SECTION_MISSING
from heatherdyke.observe.events import STALL_DETECTED
from heatherdyke.observe.journal import Journal
from heatherdyke.peers.fetch import PeerFetcher
from heatherdyke.settings import Settings

WATCH_WAIT_S = 1.0
RETRY_S = 0.2
GOSSIP_INTERVAL_S = 1.0
FALLBACK_POLL_S = 15.0
TICK_S = 0.1
STALL_S = 1.0
REFRESH_PEERS = 8


class ConfigSync:
    """Reads the sources and hands each delta to ``apply``.

    ``is_reader`` tells whether this instance watches the platform for its
    zone; the others read it seldom and rely on peers.
    """

    __slots__ = (
        "is_reader",
        "find_members",
        "peers",
        "platform_read_at",
        "has_asked",
        "has_heard",
        "_address",
        "_fetcher",
        "_platform",
        "_journal",
        "_clock",
        "_state",
        "_apply",
        "_listed_peers",
        "_offers",
        "_last_tick",
        "_platform_lost",
        "_announced_missing",
    )

    def __init__(
        self,
        settings: Settings,
        platform: ObjectClient,
        journal: Journal,
        clock: Clock,
        state: ConfigState,
        apply: Callable[[ConfigDelta, str], None],
    ) -> None:
        self.is_reader: Callable[[], bool] = lambda: True
        self.find_members: Callable[[], list[Member]] = list
        self.peers = PeerDirectory(settings.address, settings.zone)
        self.platform_read_at: float | None = None
        self.has_asked = False
        self.has_heard = False
        self._address = settings.address
        self._fetcher = PeerFetcher(settings.peer_key)
        self._platform = platform
        self._journal = journal
        self._clock = clock
        self._state = state
        self._apply = apply
        self._listed_peers = set(settings.peers)
        self._offers: asyncio.Queue[str] = asyncio.Queue()
        self._last_tick = clock.now()
        self._platform_lost = False
        self._announced_missing: set[str] = set()
        for address in settings.peers:
            self.peers.learn(address)

    @property
    def stalled_s(self) -> float:
        """Return the seconds since the configuration was last kept up."""
        return self._clock.now() - self._last_tick

    def offer(self, address: str, digest: ConfigDigest) -> None:
        """Fetch from the peer what it has newer, if anything."""
        self.peers.learn(address)
        if digest.is_newer_than(self._state.digest):
            self._offers.put_nowait(address)

    async def run(self) -> None:
        """Read all sources until cancelled."""
        self._last_tick = self._clock.now()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._refresh())
            group.create_task(self._keep_ticking())
            group.create_task(self._watch(HEAD_KEY, self._take_head))
            group.create_task(self._watch(ZONES_KEY, self._take_zones))
            group.create_task(self._follow_offers())
            group.create_task(self._gossip())
            group.create_task(self._poll_seldom())

    async def _refresh(self) -> None:
        """Ask the platform and some peers once."""
        addresses = self.peers.sample(REFRESH_PEERS)
        await asyncio.gather(
            self._read_platform(),
            *(self._ask_peer(address) for address in addresses),
        )
        self.has_asked = True

    async def _keep_ticking(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if self.stalled_s >= STALL_S:
                self._journal.record(
                    STALL_DETECTED, stalled_s=round(self.stalled_s, 3)
                )
                await self._refresh()
            self._last_tick = self._clock.now()

    async def _watch(
        self, key: str, take: Callable[[PlatformObject], Awaitable[bool]]
    ) -> None:
        version = 0
        while True:
            if not self.is_reader():
                await asyncio.sleep(RETRY_S)
                continue
            try:
                stored = await self._platform.watch(key, version, WATCH_WAIT_S)
                self._note_platform()
                if stored is None:
                    continue
                if await take(stored):
                    version = stored.version
                    continue
            except PlatformError as error:
                self._note_platform(error)
            await asyncio.sleep(RETRY_S)

    async def _take_head(self, stored: PlatformObject) -> bool:
        delta = await complete_head(self._platform, self._state, stored)
        self._apply(delta, "platform")
        if not delta.version:
            self._record_missing(stored)
        return bool(delta.version)

    async def _take_zones(self, stored: PlatformObject) -> bool:
        self._apply(ConfigDelta(zones=read_zones(stored)), "platform")
        return True

    async def _follow_offers(self) -> None:
        while True:
            await self._ask_peer(await self._offers.get())

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            address = self.peers.pick()
            if address is not None:
                await self._ask_peer(address)

    async def _poll_seldom(self) -> None:
        while True:
            await self._learn_instances()
            await asyncio.sleep(FALLBACK_POLL_S)
            await self._read_platform()

    async def _ask_peer(self, address: str) -> None:
        digest = self._state.digest
        try:
            delta = await read_peer(
                self._fetcher, address, self._address, digest
            )
        except TransportError:
            self.peers.note(address, answered=False)
            return
        self.peers.note(address, answered=True)
        if delta is not None:
            self._apply(delta, address)
            self.has_heard = True

    async def _read_platform(self) -> None:
        try:
            delta = await read_platform(self._platform, self._state)
        except PlatformError as error:
            self._note_platform(error)
            return
        self._note_platform()
        self._apply(delta, "platform")

    async def _learn_instances(self) -> None:
        """Learn peers from the membership, or from the list without one.

        The list holds every backend server too, so that reading it costs
        much more than the rosters that the membership has read already.
        """
        zone_by_address = {m.address: m.zone for m in self.find_members()}
        if not zone_by_address:
            zone_by_address = await self._read_list()
        for address, zone in zone_by_address.items():
            self.peers.learn(address, zone)
        if zone_by_address:
            self.peers.forget_all_but({*zone_by_address, *self._listed_peers})

    async def _read_list(self) -> dict[str, str]:
        try:
            rows = await self._platform.instances()
        except PlatformError:
            return {}
        return {
            row.address: row.zone
            for row in rows
            if row.kind is InstanceKind.ENTRY
        }

    def _record_missing(self, stored: PlatformObject) -> None:
        missing = self._state.missing(read_head(stored))
        for team, pointer in missing.items():
            if pointer.object_key in self._announced_missing:
                continue
            self._announced_missing.add(pointer.object_key)
            self._journal.record(
                SECTION_MISSING, team=team, object_key=pointer.object_key
            )

    def _note_platform(self, error: PlatformError | None = None) -> None:
        if error is None:
            self.platform_read_at = self._clock.now()
            self.has_heard = True
        lost = error is not None
        if lost == self._platform_lost:
            return
        self._platform_lost = lost
        kind = CONFIG_SOURCE_LOST if lost else CONFIG_SOURCE_RESTORED
        self._journal.record(kind, detail=error.detail if error else "")
