"""An entry instance, which serves callers: builds and runs its components."""

import asyncio
import signal
from collections.abc import Callable

from heatherdyke.callers.api import CallerApi
from heatherdyke.clock import Clock
from heatherdyke.component import Component
from heatherdyke.config.store import ConfigStore
from heatherdyke.leaves.leaf_dispatcher import LeafDispatcher
from heatherdyke.mechanisms import Mechanism
from heatherdyke.membership.task import MembershipTask
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import new_application
from heatherdyke.net.limited_protocol import CALLER_LIMITS
from heatherdyke.net.server import HttpServer
from heatherdyke.objects.client import ObjectClient
from heatherdyke.objects.platform_state_sync import PlatformStateSync
from heatherdyke.observe.events import INSTANCE_STARTED
from heatherdyke.observe.events import INSTANCE_STOPPED
from heatherdyke.observe.events import INSTANCE_STOPPING
from heatherdyke.observe.health import HealthState
from heatherdyke.observe.health import check_readiness
from heatherdyke.observe.http_api import KnownInstance
from heatherdyke.observe.http_api import ObservabilityApi
from heatherdyke.observe.journal import Journal
from heatherdyke.observe.metrics import Metrics
from heatherdyke.peers.api import PeerApi
from heatherdyke.peers.authentication import require_peer_key
from heatherdyke.peers.client import PeerClient
from heatherdyke.peers.fetcher import PeerFetcher
from heatherdyke.run_once.components import RunDependencies
from heatherdyke.run_once.components import build_run_components
from heatherdyke.search.admission import AdmissionController
from heatherdyke.search.context import SearchContext
from heatherdyke.search.coordinator import SearchCoordinator
from heatherdyke.search.latest_snapshots import LatestSnapshots
from heatherdyke.search.observer import SearchObserver
from heatherdyke.search.request_tracker import RequestTracker
from heatherdyke.search.search_admission import SearchAdmission
from heatherdyke.settings import Settings
from heatherdyke.usage.counters import UsageCounters
from heatherdyke.usage.leaf_level_cache import LeafLevelCache
from heatherdyke.usage.leaf_level_sync import LeafLevelSync
from heatherdyke.usage.spending_limiter import SpendingLimiter
from heatherdyke.usage.writer import UsageWriter

# How long load balancers may take to notice that the instance is not ready; a
# shutdown waits for this time, but at most half of ``drain_s``.
LOAD_BALANCER_DELAY_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.02
# How long readiness waits for a member of every zone in use.
ZONE_DISCOVERY_TIMEOUT_S = 5.0


class Instance:
    """An entry instance of the query tier and all its components."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.journal = Journal(settings.name, settings.zone, clock=clock)
        self.metrics = Metrics()
        self.active_requests = RequestTracker()
        fetcher = PeerFetcher(settings.peer_key)
        self.peers = PeerClient(settings.peer_key)
        self.platform = ObjectClient(settings.platform)
        self.config = ConfigStore.from_settings(
            settings, self.platform, self.journal, clock
        )
        self.members = MembershipTask.from_settings(
            settings, self.platform, self.journal, clock
        )
        self.journal.incarnation = self.members.incarnation
        self.snapshots = LatestSnapshots()
        self.usage = UsageCounters(settings.name, self.members.incarnation)
        self.observer = SearchObserver(self.journal, self.metrics)
        self.levels = LeafLevelCache()
        self.dispatcher = LeafDispatcher(
            settings,
            self.config,
            self.members,
            self.observer,
            self.levels,
            clock,
        )
        self.context = SearchContext(
            settings,
            self.config,
            self.members,
            self.dispatcher,
            self.peers,
            self.snapshots,
            self.observer,
            self.levels,
            clock,
        )
        self.search_coordinator = SearchCoordinator(
            self.context, self.config, self._build_admission(clock)
        )
        self.components: list[Component] = [
            self.config,
            self.members,
            PlatformStateSync(
                self.platform,
                self.snapshots,
                self.dispatcher,
                fetcher,
                self.members.incarnation,
                self._find_reader,
            ),
            LeafLevelSync(
                self.dispatcher, self.levels, self._find_peers, fetcher, clock
            ),
            ObservabilityApi(
                self.journal,
                self.metrics,
                self._health,
                self._known_instances,
                clock,
            ),
        ]
        self.components += build_run_components(
            RunDependencies(
                settings,
                self.context,
                self.config,
                self.members,
                self.platform,
                self.journal,
                self.usage,
                self.active_requests,
                clock,
            )
        )
        self.components.append(
            UsageWriter(self.usage, self.platform, self.journal)
        )
        self._clock = clock
        self._started_at = clock.now()
        self._servers: list[HttpServer] = []
        self._tasks: list[asyncio.Task] = []
        self._connect_components()

    @classmethod
    def from_settings(cls, settings: Settings) -> "Instance":
        """Return an instance that has not been started."""
        return cls(settings, Clock())

    async def start(self) -> None:
        """Start the servers and components.

        Raises RuntimeError if an address cannot be listened on.
        """
        apps = self._build_apps()
        self._servers = [
            HttpServer(apps.internal, self.settings.internal_listen),
            HttpServer(apps.callers, self.settings.listen, CALLER_LIMITS),
        ]
        for server in self._servers:
            await server.start()
        for component in self.components:
            self._tasks.append(asyncio.create_task(component.run()))
        self.journal.record(
            INSTANCE_STARTED,
            address=self.settings.address,
            zone=self.settings.zone,
        )

    async def stop(self) -> None:
        """Shut down, gracefully unless GRACEFUL_SHUTDOWN is disabled.

        The instance first stops being ready, but accepts new requests until
        load balancers have had time to notice.  Then it releases its home
        leases.  The running requests and then the remaining leaf work have
        up to ``drain_s`` each to finish.  The connections are closed even if
        the shutdown is cancelled.
        """
        try:
            await self._shut_down()
        finally:
            self.peers.close()
            self.platform.close()
        self.journal.record(INSTANCE_STOPPED)

    async def serve(self) -> None:
        """Run until SIGTERM or SIGINT; a second signal exits immediately."""
        stop_requested = asyncio.Event()
        abort_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                number, _on_signal(stop_requested, abort_requested)
            )
        await self.start()
        await stop_requested.wait()
        stopping = asyncio.create_task(self.stop())
        aborting = asyncio.create_task(abort_requested.wait())
        await asyncio.wait(
            {stopping, aborting}, return_when=asyncio.FIRST_COMPLETED
        )
        aborting.cancel()
        if not stopping.done():
            stopping.cancel()

    def is_ready(self, min_members: int = 1) -> bool:
        """Return whether searches can be served.

        At least ``min_members`` instances have to be known, this one included.
        """
        return (
            check_readiness(self._health()).ready
            and len(self.members.members()) >= min_members
            and self.snapshots.is_known
        )

    def _build_admission(self, clock: Clock) -> SearchAdmission:
        is_enabled = self.settings.is_enabled
        return SearchAdmission(
            AdmissionController(
                is_enabled(Mechanism.URGENCY), is_enabled(Mechanism.ADMISSION)
            ),
            SpendingLimiter(is_enabled(Mechanism.SPENDING)),
            self.usage,
            lambda: len(self.members.members()),
            clock,
        )

    async def _shut_down(self) -> None:
        """Stop the servers and components."""
        self.journal.record(INSTANCE_STOPPING)
        graceful = self.settings.is_enabled(Mechanism.GRACEFUL_SHUTDOWN)
        if graceful:
            await self._drain()
        for component in reversed(self.components):
            await component.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.dispatcher.stop_workers()
        for server in reversed(self._servers):
            await server.stop(force=not graceful)

    async def _drain(self) -> None:
        self.active_requests.begin_leaving()
        drain_s = self.settings.drain_s
        await asyncio.sleep(min(LOAD_BALANCER_DELAY_S, drain_s / 2))
        await self.members.release()
        self.active_requests.close()
        await self.active_requests.wait_until_idle(drain_s)
        try:
            async with asyncio.timeout(drain_s):
                while self.dispatcher.running:
                    await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        except TimeoutError:
            return

    def _build_apps(self) -> Applications:
        apps = Applications(new_application(), new_application())
        require_peer_key(apps.internal, self.settings.peer_key)
        CallerApi(
            self.search_coordinator,
            self.config,
            self.active_requests,
            self.observer,
        ).add_routes(apps.callers)
        PeerApi(self.dispatcher).add_routes(apps.internal)
        for component in self.components:
            component.add_routes(apps)
        return apps

    def _connect_components(self) -> None:
        """Set the references between components that depend on each other."""
        self.members.config = self.config
        self.config.set_member_lookup(self.members.members)
        self.config.set_reader_predicate(lambda: self._find_reader() is None)
        self.members.rosters.zones_in_use = self._zones_in_use
        self.members.busy_leaves = self.dispatcher.busy_leaves
        self.members.core.max_work_s = self.dispatcher.max_work_s

    def _find_peers(self) -> list[str]:
        """Return the addresses of the other members in this zone."""
        return [
            member.address
            for member in self.members.members()
            if member.zone == self.settings.zone
            and member.name != self.settings.name
        ]

    def _find_reader(self) -> str | None:
        """Return the address of the zone's platform reader.

        The reader is the member that reads the platform for its zone; None
        means this instance, or that no member is known.
        """
        reader = self.members.reader()
        if reader is None or reader.name == self.settings.name:
            return None
        return reader.address

    def _health(self) -> HealthState:
        return HealthState(
            config_known=self.config.has_config
            and self.config.document.version > 0,
            members_known=self._members_known(),
            leaving=self.active_requests.leaving,
            zone_out=self.config.zone_is_out(self.settings.zone),
        )

    def _members_known(self) -> bool:
        """Return whether a member is known in every zone in use.

        Otherwise a search could miss the shards of a zone whose members have
        not been discovered yet.  After ZONE_DISCOVERY_TIMEOUT_S the instance
        becomes ready without them.
        """
        zones = {member.zone for member in self.members.members()}
        if not zones:
            return False
        required = self._zones_in_use()
        waited_s = self._clock.now() - self._started_at
        return required <= zones or waited_s > ZONE_DISCOVERY_TIMEOUT_S

    def _zones_in_use(self) -> set[str]:
        """Return the zones that have leaves and are in service."""
        leaf_by_id = self.context.index.current().leaf_by_id
        zones = {leaf.zone for leaf in leaf_by_id.values()}
        return {z for z in zones if not self.config.zone_is_out(z)}

    def _known_instances(self) -> list[KnownInstance]:
        return [
            KnownInstance(member.name, member.zone, member.address)
            for member in self.members.members()
        ]


def _on_signal(
    stop_requested: asyncio.Event, abort_requested: asyncio.Event
) -> Callable[[], None]:
    def handle() -> None:
        if stop_requested.is_set():
            abort_requested.set()
        stop_requested.set()

    return handle
