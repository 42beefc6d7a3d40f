"""The state that all requests of one instance share."""

import asyncio
from collections.abc import Collection
from random import Random

from heatherdyke.gateway.cold_rate_limit import ColdRateLimiter
from heatherdyke.gateway.cold_rate_limit import cold_allowance
from heatherdyke.gateway.connection_share import owner_of
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.isolation import IsolationDetector
from heatherdyke.gateway.leaf_choice import choose_leaf
from heatherdyke.gateway.leaf_choice import enabled_costs
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.leaf_pools import LeafPools
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.peers import Peers
from heatherdyke.gateway.retry_budget import RetryBudget
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import RouteTable
from heatherdyke.gateway.routing import RoutingConfig
from heatherdyke.gateway.routing import Service
from heatherdyke.gateway.routing import WeightedRoundRobin
from heatherdyke.gateway.settings import GatewaySettings
from heatherdyke.gateway.timing import LatencyEstimates
from heatherdyke.observe.metrics import Metrics


class SharedState:
    """Configuration, leafs, limits and connections of one instance."""

    __slots__ = (
        "settings",
        "loop",
        "log",
        "metrics",
        "random",
        "routes",
        "leafs",
        "isolation",
        "pools",
        "peers",
        "latencies",
        "budget",
        "instances",
        "last_request_at",
        "_disabled",
        "_leaf_costs",
        "_cold_rate_limiter",
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
        self._leaf_costs = enabled_costs(disabled)
        self.settings = settings
        self.loop = loop
        self.log = log
        self.metrics = Metrics()
        self.random = random
        self.routes: RouteTable | None = None
        self.leafs = LeafTable()
        self._set_leaf_times()
        self.isolation = IsolationDetector(settings.zone)
        self.pools = LeafPools(loop, log, self.isolation, self.service)
        self.peers = Peers(
            loop, log, self.isolation, settings.name, settings.zone
        )
        self.latencies = LatencyEstimates()
        self.instances: list[str] = []
        # Time of the last request from a client or another instance.
        self.last_request_at = float("-inf")
        self.budget = RetryBudget(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window_s
        )
        self._cold_rate_limiter = ColdRateLimiter(loop.time())
        self._round_robin_by_route: dict[str, WeightedRoundRobin] = {}

    def has(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism not in self._disabled

    @property
    def is_isolated(self) -> bool:
        """Return whether clients should go to instances of other zones."""
        return self.has(
            Mechanism.ISOLATION
        ) and self.isolation.should_be_unready(self.loop.time())

    @property
    def config(self) -> RoutingConfig | None:
        """Return the active configuration, None before the first."""
        return self.routes.config if self.routes is not None else None

    def service(self, name: str) -> Service:
        """Return a service's declaration, or conservative defaults."""
        config = self.config
        found = config.service_by_name.get(name) if config else None
        return found or Service(name)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply settings that were reloaded."""
        bounds = settings.bounds
        self.settings = settings
        self.budget.set_bounds(
            bounds.retry_share, bounds.retry_slack, bounds.retry_window_s
        )
        self._set_leaf_times()

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

    def pick_service(self, route: Route) -> str:
        """Return the service for the route's next request, by weight."""
        round_robin = self._round_robin_by_route.get(route.name)
        if round_robin is None:
            round_robin = WeightedRoundRobin()
            self._round_robin_by_route[route.name] = round_robin
        return round_robin.next(route.targets)

    def describe_leafs(self, service: str) -> str:
        """Return the service's leafs with their states, for log lines."""
        now = self.loop.time()
        leafs = [
            f"{leaf.leaf_id} {self._state_of(leaf, now)}"
            for leaf in self.leafs.of_service(service)
        ]
        return f"{service}: {', '.join(leafs) or 'none known'}"

    def _state_of(self, leaf: Leaf, now: float) -> str:
        if leaf.entry.zone in self.leafs.zones_out:
            return "zone_out"
        state = leaf.state(now)
        if state == "usable" and not self.pools.of(leaf).has_capacity():
            return "connections_in_use"
        return state

    def warm_share(self, route: Route) -> float:
        """Return the share of a route's shards that have a warm leaf."""
        now = self.loop.time()
        warm = sum(
            any(
                leaf.is_usable(now) and not leaf.is_cold(now)
                for leaf in self.leafs.of_service(shard)
            )
            for shard in route.shards
        )
        return warm / len(route.shards)

    def unreachable_zones(self, peer_zones: Collection[str]) -> set[str]:
        """Return the zones that this instance appears to be cut off from.

        ``peer_zones`` are the zones with a usable instance.  Instances are
        checked until they respond, so a zone without any is never returned.
        """
        now = self.loop.time()
        if not self.has(Mechanism.UNREACHABLE_ZONES):
            return set()
        if not self.isolation.others_unreachable(now):
            return set()
        zones = self.peers.known_zones().difference(peer_zones)
        zones.discard(self.settings.zone)
        return zones

    def check_unreachable_zones(self) -> None:
        """Check a leaf of each unreachable zone, as none gets requests."""
        now = self.loop.time()
        for zone in self.unreachable_zones(self.peers.zones()):
            leafs = [
                leaf
                for leaf in self.leafs.leaf_by_id.values()
                if leaf.entry.zone == zone and leaf.is_usable(now)
            ]
            if leafs:
                self.pools.check(self.random.choice(leafs))

    def zones_with_leaf(
        self,
        service: str,
        route: Route,
        peer_zones: Collection[str],
        unreachable_zones: Collection[str],
    ) -> set[str]:
        """Return the zones with a leaf that can receive a request now.

        A cold leaf counts if its rate limit allows a request.  Instances of
        the other ``peer_zones`` can send to the leafs there; for the other
        leafs a connection of this instance must be available.
        """
        now = self.loop.time()
        own_zone = self.settings.zone
        zones = set()
        for leaf in self.candidates(service, route):
            zone = leaf.entry.zone
            if zone in unreachable_zones:
                continue
            if leaf.is_cold(now) and not self._may_send_cold(leaf, now):
                continue
            has_peer = zone != own_zone and zone in peer_zones
            if has_peer or self.pools.of(leaf).has_capacity():
                zones.add(zone)
        return zones

    def candidates(self, service: str, route: Route) -> list[Leaf]:
        """Return the warm leafs to which requests may be sent now.

        If there are none, return the cold ones.  Free connections and the rate
        limit of cold leafs are not considered.
        """
        now = self.loop.time()
        homes = route.home_regions
        zones_out = self.leafs.zones_out
        region_by_zone = self.settings.region_by_zone
        warm: list[Leaf] = []
        cold: list[Leaf] = []
        for leaf in self.leafs.of_service(service):
            zone = leaf.entry.zone
            if zone in zones_out or not leaf.is_usable(now):
                continue
            if homes and region_by_zone.get(zone) not in homes:
                continue
            (cold if leaf.is_cold(now) else warm).append(leaf)
        return warm or cold

    def choose(
        self,
        service: str,
        route: Route,
        tried: Collection[Leaf],
        median_s: float,
    ) -> Leaf | None:
        """Choose a request's leaf; count the request if the leaf is cold.

        Return None if no leaf is available, or if the chosen leaf is cold
        and its rate limit allows no request.
        """
        now = self.loop.time()
        available = [
            leaf
            for leaf in self.candidates(service, route)
            if self.pools.of(leaf).has_capacity()
        ]
        leaf = choose_leaf(
            available,
            tried,
            self.settings.zone,
            median_s,
            now,
            self._leaf_costs,
        )
        if leaf is None or not leaf.is_cold(now):
            return leaf
        return leaf if self._acquire_cold(leaf, now) else None

    def _may_send_cold(self, leaf: Leaf, now: float) -> bool:
        allowance = self._cold_allowance(leaf)
        return self._cold_rate_limiter.allows(leaf.leaf_id, allowance, now)

    def _acquire_cold(self, leaf: Leaf, now: float) -> bool:
        allowance = self._cold_allowance(leaf)
        return self._cold_rate_limiter.try_acquire(
            leaf.leaf_id, allowance, now
        )

    def _cold_allowance(self, leaf: Leaf) -> int:
        bounds = self.settings.bounds
        rate = self.service(leaf.entry.service).cold_rate
        bound = rate * bounds.cold_rate_factor + bounds.cold_rate_slack
        own_name = self.settings.name
        return cold_allowance(
            bound,
            len(self.instances),
            owner_of(leaf.leaf_id, self.instances) == own_name,
            bool(self.instances),
        )

    def drop_leaf(self, leaf: Leaf) -> None:
        """Close the connections of a leaf that is no longer used."""
        self.pools.drop(leaf)
        self._cold_rate_limiter.remove(leaf.leaf_id)
