"""The state that all requests of one instance share."""

import asyncio
from random import Random

from heatherdyke.gateway.crash_guard import CrashGuard
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.events import MESSAGE_EVICTED
from heatherdyke.gateway.events import STORE_PAGE_SALVAGED
from heatherdyke.gateway.freshness import StoreFreshness
from heatherdyke.gateway.gateway_metrics import GatewayMetrics
from heatherdyke.gateway.isolation import IsolationDetector
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.leaf_links import LeafLinks
from heatherdyke.gateway.leaf_pools import LeafPools
from heatherdyke.gateway.leaf_rate_limit import LeafRateLimiter
from heatherdyke.gateway.leaf_selection import LeafSelector
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.peers import Peers
from heatherdyke.gateway.relay_back_off import RelayBackOff
from heatherdyke.gateway.retry_budget import RetryBudget
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import RouteTable
from heatherdyke.gateway.routing import RoutingConfig
from heatherdyke.gateway.routing import Service
from heatherdyke.gateway.routing import WeightedRoundRobin
from heatherdyke.gateway.settings import GatewaySettings
from heatherdyke.gateway.shutdown import Shutdown
from heatherdyke.gateway.timing import LatencyEstimates
from heatherdyke.gateway.turn_queue import TurnQueue
from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.net.memory_quota import Source
from heatherdyke.platform.configuration import KIND as CONFIG_KIND
from heatherdyke.platform.discovery import LEAF_KIND
from heatherdyke.platform.discovery import ZONE_OUT_KIND
from heatherdyke.platform.store import StoreClient
from heatherdyke.platform.store_era import StoreEra

# The share of the process's memory for messages.  The rest is for the
# program, what it knows, and the memory that freed messages fragment.
MESSAGE_MEMORY_SHARE = 0.25


class SharedState:
    """Configuration, leafs, limits and connections of one instance."""

    __slots__ = (
        "settings",
        "loop",
        "log",
        "metrics",
        "memory",
        "turns",
        "random",
        "routes",
        "lacks_version",
        "freshness",
        "store_era",
        "leafs",
        "isolation",
        "links",
        "crash_guard",
        "pools",
        "peers",
        "relays",
        "_retry_relays",
        "selector",
        "latencies",
        "budget",
        "instances",
        "last_request_at",
        "shutdown",
        "_disabled",
        "_round_robin_by_route",
    )

    def __init__(
        self,
        settings: GatewaySettings,
        loop: asyncio.AbstractEventLoop,
        log: EventLog,
        random: Random,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        bounds = settings.bounds
        self._disabled = disabled
        self.settings = settings
        self.loop = loop
        self.log = log
        self.metrics = GatewayMetrics()
        self.memory = MemoryQuota(on_evicted=self._on_evicted)
        self._set_memory_limit()
        self.turns = TurnQueue(loop)
        self.random = random
        self.routes: RouteTable | None = None
        # Whether the newest version could not be used.
        self.lacks_version = False
        # The zones are first: they change rarely, and their read is the
        # cheapest.
        self.freshness = StoreFreshness(
            (ZONE_OUT_KIND, CONFIG_KIND, LEAF_KIND)
        )
        self.store_era = StoreEra()
        self.leafs = LeafTable()
        self._set_leaf_times()
        self.isolation = IsolationDetector(settings.zone)
        self.links = LeafLinks(self.isolation, self.leafs)
        self.crash_guard = CrashGuard(
            loop,
            self.metrics,
            self.has(Mechanism.QUARANTINE),
            self.links,
        )
        self.pools = LeafPools(
            loop,
            log,
            self.links,
            self.service,
            LeafRateLimiter(settings.name),
            self.crash_guard,
            self.memory,
        )
        self.peers = Peers(
            loop,
            log,
            self.isolation,
            settings.name,
            settings.zone,
            random,
            self.memory,
        )
        self.relays = RelayBackOff()
        self._retry_relays = RelayBackOff()
        self.selector = LeafSelector(
            loop,
            random,
            settings,
            disabled,
            self.leafs,
            self.pools,
            self.peers,
            self.isolation,
            self.service,
        )
        self.latencies = LatencyEstimates()
        self.instances: list[str] = []
        # Time of the last request from a client or another instance.
        self.last_request_at = float("-inf")
        self.shutdown = Shutdown()
        self.budget = RetryBudget(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window_s
        )
        self._round_robin_by_route: dict[str, WeightedRoundRobin] = {}

    def has(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism not in self._disabled

    @property
    def is_isolated(self) -> bool:
        """Return whether clients should go to instances of other zones."""
        if not self.has(Mechanism.ISOLATION):
            return False
        return self.isolation.should_be_unready(self.loop.time())

    @property
    def has_lost_leafs(self) -> bool:
        """Return whether only other instances may reach leafs."""
        return self.has(Mechanism.RELAYS) and self.links.are_lost(
            self.loop.time()
        )

    def can_finish(self, route: Route, service: str, limit_s: float) -> bool:
        """Return whether a request can be answered before this process ends.

        ``service`` is the one that it is forwarded to, empty for a search.
        """
        expected_s: float | None = route.objective_s
        if service:
            expected_s = self.latencies.of(
                route.name, service, route.objective_s
            ).slowest_s
        return self.shutdown.allows(self.loop.time(), limit_s, expected_s)

    def relays_of(self, is_retry: bool) -> RelayBackOff:
        """Return the back-off of relays.

        Those of requests that a leaf has rejected need a retry budget, and
        may fail while others succeed.
        """
        return self._retry_relays if is_retry else self.relays

    def may_relay(
        self, service: str, route: Route, is_retry: bool = False
    ) -> bool:
        """Return whether to ask other instances for a leaf of a service."""
        return (
            self.has(Mechanism.RELAYS)
            and self.relays_of(is_retry).allows(service, self.loop.time())
            and not self.selector.zone_access().is_isolated
            and self.selector.is_out_of_reach(service, route)
        )

    @property
    def config(self) -> RoutingConfig | None:
        """Return the active configuration, None before the first."""
        return self.routes.config if self.routes is not None else None

    @property
    def config_version(self) -> int | None:
        """Return the version of the active configuration, if any."""
        return self.routes.config.version if self.routes is not None else None

    def service(self, name: str) -> Service:
        """Return a service's declaration, or conservative defaults."""
        config = self.config
        found = config.service_by_name.get(name) if config else None
        return found or Service(name)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply settings that were reloaded."""
        bounds = settings.bounds
        self.settings = settings
        self._set_memory_limit()
        self.budget.set_bounds(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window_s
        )
        self.selector.set_settings(settings)
        self._set_leaf_times()

    def store_client(self) -> StoreClient:
        """Return a client of the platform's store."""
        return StoreClient(
            self.settings.store.address,
            self.memory,
            self._on_salvaged,
            self.store_era,
        )

    def _on_salvaged(self, kind: str, size: int, took_s: float) -> None:
        self.metrics.count("salvaged_bytes", kind, size)
        self.log.record(
            STORE_PAGE_SALVAGED,
            kind=kind,
            bytes=size,
            took_ms=round(took_s * 1000, 1),
        )

    def _set_memory_limit(self) -> None:
        limit_bytes = MESSAGE_MEMORY_SHARE * self.settings.memory_bytes
        self.memory.set_limit(int(limit_bytes))

    def _on_evicted(self, source: Source, size: int) -> None:
        self.metrics.count("evicted_messages", source.value)
        self.log.record(
            MESSAGE_EVICTED,
            source=source.value,
            bytes=size,
            used_bytes=self.memory.used_bytes,
            limit_bytes=self.memory.limit_bytes,
        )

    def _set_leaf_times(self) -> None:
        keeps_live_leafs = self.has(Mechanism.LIVE_LEAFS)
        self.leafs.set_times(
            self.settings.entry_expiry_s if keeps_live_leafs else 0.0,
            self.settings.bounds.drain_s,
        )

    def set_instances(self, entries: list[LeafEntry]) -> None:
        """Update the peers and this instance's share of fleet-wide limits."""
        instances = sorted(entry.leaf_id for entry in entries)
        self.instances = instances
        self.peers.set_entries(entries)
        self.budget.set_instances(len(instances))
        self.pools.set_instances(len(instances))
        self.pools.rates.set_instances(instances, self.loop.time())
        self.selector.set_instances(instances)

    def pick_service(self, route: Route) -> str:
        """Return the service for the route's next request, by weight."""
        round_robin = self._round_robin_by_route.get(route.name)
        if round_robin is None:
            round_robin = WeightedRoundRobin()
            self._round_robin_by_route[route.name] = round_robin
        return round_robin.next(route.targets)

    def activate(self, config: RoutingConfig) -> None:
        """Route by this configuration; forget routes that it lacks."""
        self.routes = RouteTable(config)
        names = {route.name for route in config.routes}
        self.latencies.keep_only(names)
        self._round_robin_by_route = {
            name: round_robin
            for name, round_robin in self._round_robin_by_route.items()
            if name in names
        }

    def drop_leaf(self, leaf: Leaf) -> None:
        """Close the connections of a leaf that is no longer used."""
        self.pools.drop(leaf)
        self.selector.forget(leaf)
        self.crash_guard.forget(leaf.leaf_id)
