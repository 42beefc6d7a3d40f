"""The background tasks that fetch configuration changes for an instance.

The sources are watches and slower polls of the platform, peers whose heartbeat
or request carries a newer digest, and a random peer queried every second
(gossip).  Gossip propagates changes to instances that are reachable only by
peers.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from heatherdyke.clock import Clock
from heatherdyke.config.model import HEAD_KEY
from heatherdyke.config.model import ZONES_KEY
from heatherdyke.config.source import read_head
from heatherdyke.config.source import read_head_delta
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
from heatherdyke.peers.fetcher import PeerFetcher
from heatherdyke.settings import Settings

WATCH_WAIT_S = 1.0
RETRY_S = 0.2
GOSSIP_INTERVAL_S = 1.0
FALLBACK_POLL_INTERVAL_S = 15.0
TICK_INTERVAL_S = 0.1
STALL_S = 1.0
REFRESH_PEERS = 8


class ConfigSync:
    """Fetches deltas from all sources and passes them to ``apply``.

    ``is_reader`` tells whether this instance watches the platform for its
    zone.  All instances poll it every FALLBACK_POLL_INTERVAL_S; those that do
    not watch it otherwise rely on peers.
    """

    __slots__ = (
        "is_reader",
        "find_members",
        "peers",
        "platform_responded_at",
        "initial_refresh_done",
        "any_source_delivered",
        "_address",
        "_fetcher",
        "_platform",
        "_journal",
        "_clock",
        "_state",
        "_apply",
        "_configured_peers",
        "_peers_to_query",
        "_last_tick_at",
        "_platform_unreachable",
        "_reported_missing",
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
        self.platform_responded_at: float | None = None
        self.initial_refresh_done = False
        self.any_source_delivered = False
        self._address = settings.address
        self._fetcher = PeerFetcher(settings.peer_key)
        self._platform = platform
        self._journal = journal
        self._clock = clock
        self._state = state
        self._apply = apply
        self._configured_peers = set(settings.peers)
        self._peers_to_query: asyncio.Queue[str] = asyncio.Queue()
        self._last_tick_at = clock.now()
        self._platform_unreachable = False
        self._reported_missing: set[str] = set()
        for address in settings.peers:
            self.peers.add_peer(address)

    @property
    def stalled_s(self) -> float:
        """Return the seconds since the stall detector's last tick.

        It includes the time of the refresh that follows a stall.
        """
        return self._clock.now() - self._last_tick_at

    def on_peer_digest(self, address: str, digest: ConfigDigest) -> None:
        """Add the peer; queue a query to it if its digest is newer."""
        self.peers.add_peer(address)
        if digest.is_newer_than(self._state.digest):
            self._peers_to_query.put_nowait(address)

    async def run(self) -> None:
        """Synchronise with all sources until cancelled."""
        self._last_tick_at = self._clock.now()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._refresh())
            group.create_task(self._detect_stalls())
            group.create_task(self._watch(HEAD_KEY, self._handle_head))
            group.create_task(self._watch(ZONES_KEY, self._handle_zones))
            group.create_task(self._query_newer_peers())
            group.create_task(self._gossip())
            group.create_task(self._poll_platform())

    async def _refresh(self) -> None:
        """Query the platform and up to REFRESH_PEERS peers once."""
        addresses = self.peers.sample(REFRESH_PEERS)
        await asyncio.gather(
            self._read_platform(),
            *(self._query_peer(address) for address in addresses),
        )
        self.initial_refresh_done = True

    async def _detect_stalls(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            if self.stalled_s >= STALL_S:
                self._journal.record(
                    STALL_DETECTED, stalled_s=round(self.stalled_s, 3)
                )
                await self._refresh()
            self._last_tick_at = self._clock.now()

    async def _watch(
        self, key: str, handle: Callable[[PlatformObject], Awaitable[bool]]
    ) -> None:
        version = 0
        while True:
            if not self.is_reader():
                await asyncio.sleep(RETRY_S)
                continue
            try:
                stored = await self._platform.watch(key, version, WATCH_WAIT_S)
                self._record_platform_result()
                if stored is None:
                    continue
                if await handle(stored):
                    version = stored.version
                    continue
            except PlatformError as error:
                self._record_platform_result(error)
            await asyncio.sleep(RETRY_S)

    async def _handle_head(self, stored: PlatformObject) -> bool:
        delta = await read_head_delta(self._platform, self._state, stored)
        self._apply(delta, "platform")
        if not delta.version:
            self._record_missing(stored)
        return bool(delta.version)

    async def _handle_zones(self, stored: PlatformObject) -> bool:
        self._apply(ConfigDelta(zones=read_zones(stored)), "platform")
        return True

    async def _query_newer_peers(self) -> None:
        while True:
            await self._query_peer(await self._peers_to_query.get())

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            address = self.peers.pick()
            if address is not None:
                await self._query_peer(address)

    async def _poll_platform(self) -> None:
        while True:
            await self._update_peers()
            await asyncio.sleep(FALLBACK_POLL_INTERVAL_S)
            await self._read_platform()

    async def _query_peer(self, address: str) -> None:
        digest = self._state.digest
        try:
            delta = await read_peer(
                self._fetcher, address, self._address, digest
            )
        except TransportError:
            self.peers.record_result(address, answered=False)
            return
        self.peers.record_result(address, answered=True)
        if delta is not None:
            self._apply(delta, address)
            self.any_source_delivered = True

    async def _read_platform(self) -> None:
        try:
            delta = await read_platform(self._platform, self._state)
        except PlatformError as error:
            self._record_platform_result(error)
            return
        self._record_platform_result()
        self._apply(delta, "platform")

    async def _update_peers(self) -> None:
        """Update the peers from the membership or the instance list.

        The instance list is used only if the membership has no members.  It
        contains every backend server too and is much more expensive to read
        than the rosters, which the membership has read already.
        """
        zone_by_address = {m.address: m.zone for m in self.find_members()}
        if not zone_by_address:
            zone_by_address = await self._list_instances()
        for address, zone in zone_by_address.items():
            self.peers.add_peer(address, zone)
        if zone_by_address:
            self.peers.remove_failed_except(
                {*zone_by_address, *self._configured_peers}
            )

    async def _list_instances(self) -> dict[str, str]:
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
            if pointer.object_key in self._reported_missing:
                continue
            self._reported_missing.add(pointer.object_key)
            self._journal.record(
                SECTION_MISSING, team=team, object_key=pointer.object_key
            )

    def _record_platform_result(
        self, error: PlatformError | None = None
    ) -> None:
        if error is None:
            self.platform_responded_at = self._clock.now()
            self.any_source_delivered = True
        unreachable = error is not None
        if unreachable == self._platform_unreachable:
            return
        self._platform_unreachable = unreachable
        kind = CONFIG_SOURCE_LOST if unreachable else CONFIG_SOURCE_RESTORED
        self._journal.record(kind, detail=error.detail if error else "")
