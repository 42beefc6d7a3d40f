"""Selects the leafs that get requests, from the state of this instance."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf
from random import Random

from heatherdyke.gateway.cold_rate_limit import ColdRateLimiter
from heatherdyke.gateway.cold_rate_limit import cold_allowance
from heatherdyke.gateway.connection_share import owner_of
from heatherdyke.gateway.isolation import IsolationDetector
from heatherdyke.gateway.leaf_choice import choose_leaf
from heatherdyke.gateway.leaf_choice import enabled_costs
from heatherdyke.gateway.leaf_pools import LeafPools
from heatherdyke.gateway.leaf_rate_limit import WINDOW_S
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.peers import Peers
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import Service
from heatherdyke.gateway.settings import GatewaySettings

# Leafs to check at a time while none accepts connections.
LOST_CHECK_COUNT = 2


@dataclass(frozen=True, slots=True)
class ZoneAccess:
    """How this instance reaches other zones now.

    Instances of ``with_instance`` can query the leafs of their zones for it;
    it appears to be cut off from the ``unreachable`` zones, and may be from
    the ``suspect`` ones.  ``is_isolated`` states that no other zone responds.
    """

    with_instance: frozenset[str] = frozenset()
    unreachable: frozenset[str] = frozenset()
    suspect: frozenset[str] = frozenset()
    is_isolated: bool = False


# Each leaf is reached by a connection of this instance.
DIRECT_ACCESS = ZoneAccess()


class LeafSelector:
    """Chooses leafs; keeps the rate of requests to cold ones."""

    __slots__ = (
        "_loop",
        "_random",
        "_settings",
        "_disabled",
        "_leafs",
        "_pools",
        "_peers",
        "_isolation",
        "_service_of",
        "_instances",
        "_costs",
        "_cold_rate_limiter",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        random: Random,
        settings: GatewaySettings,
        disabled: frozenset[Mechanism],
        leafs: LeafTable,
        pools: LeafPools,
        peers: Peers,
        isolation: IsolationDetector,
        service_of: Callable[[str], Service],
    ) -> None:
        self._loop = loop
        self._random = random
        self._settings = settings
        self._disabled = disabled
        self._leafs = leafs
        self._pools = pools
        self._peers = peers
        self._isolation = isolation
        self._service_of = service_of
        self._instances: list[str] = []
        self._costs = enabled_costs(disabled)
        self._cold_rate_limiter = ColdRateLimiter(loop.time())

    def set_settings(self, settings: GatewaySettings) -> None:
        """Use settings that were reloaded."""
        self._settings = settings

    def set_instances(self, instances: list[str]) -> None:
        """Set the names of all instances, which share the cold rates."""
        self._instances = instances

    def zone_access(self) -> ZoneAccess:
        """Return how this instance reaches other zones now."""
        with_instance = frozenset(self._peers.zones())
        unreachable = self._silent_zones()
        others = self._peers.known_zones() - {self._settings.zone}
        detects = Mechanism.UNREACHABLE_ZONES not in self._disabled
        if detects and self._isolation.others_unreachable(self._loop.time()):
            # Instances are checked until they respond; where none is known,
            # nothing would show that the zone is back.
            unreachable |= others - with_instance
        is_isolated = bool(others) and others <= unreachable
        if Mechanism.GROUPS in self._disabled:
            with_instance = frozenset()
        return ZoneAccess(
            with_instance,
            unreachable,
            self._isolation.zones.suspect_zones(),
            is_isolated,
        )

    def _silent_zones(self) -> frozenset[str]:
        if Mechanism.UNREACHABLE_ZONES in self._disabled:
            return frozenset()
        return self._isolation.zones.silent_zones()

    def check_unreachable_zones(self) -> None:
        """Check a leaf of each unreachable zone, as none gets requests.

        Silent zones are probed instead.
        """
        now = self._loop.time()
        for zone in self.zone_access().unreachable - self._silent_zones():
            leafs = [
                leaf
                for leaf in self._leafs.leaf_by_id.values()
                if leaf.entry.zone == zone and leaf.is_usable(now)
            ]
            if leafs:
                self._pools.check(self._random.choice(leafs))

    def zones_with_leaf(
        self,
        service: str,
        route: Route,
        access: ZoneAccess = DIRECT_ACCESS,
        tried: Collection[Leaf] = (),
    ) -> set[str]:
        """Return the zones with a leaf that can receive a request now.

        Leafs that were ``tried`` do not count, a cold one does if its rate
        limit allows a request.  Where no other instance can query the leaf, a
        connection must be available.  A leaf that states a rate counts for
        the own zone: this instance knows only its own share of the rate.
        """
        now = self._loop.time()
        own_zone = self._settings.zone
        zones = set()
        for leaf in self._candidates(service, route):
            zone = leaf.entry.zone
            if leaf in tried or zone in access.unreachable:
                continue
            if leaf.is_cold(now) and not self._may_send_cold(leaf, now):
                continue
            if self._pools.rates.is_limited(leaf.leaf_id):
                zone = own_zone
            has_instance = zone != own_zone and zone in access.with_instance
            if has_instance or self._pools.of(leaf).has_capacity():
                zones.add(zone)
        return zones

    def is_out_of_reach(self, service: str, route: Route) -> bool:
        """Return whether others may reach a leaf that this instance cannot.

        That is a suspect leaf, one of a silent zone, or any leaf if none
        accepts connections.
        """
        now = self._loop.time()
        cannot_connect = not self._pools.can_connect()
        silent = self._silent_zones()
        return any(
            cannot_connect or leaf.is_suspect(now) or leaf.entry.zone in silent
            for leaf in self._allowed(service, route)
            if not leaf.is_draining and not leaf.misdirected
        )

    def check_lost_leafs(self) -> None:
        """Connect to a few leafs, as requests do not while links are lost."""
        leafs = [
            leaf
            for leaf in self._leafs.leaf_by_id.values()
            if not leaf.is_draining
        ]
        count = min(LOST_CHECK_COUNT, len(leafs))
        for leaf in self._random.sample(leafs, count):
            self._pools.check(leaf, on_new_connection=True)

    def choose(
        self,
        service: str,
        route: Route,
        tried: Collection[Leaf],
        median_s: float,
    ) -> Leaf | None:
        """Choose a request's leaf; count the request if its rate is limited.

        Return None if no leaf is available, or if the chosen leaf is cold
        and its rate limit allows no request.
        """
        now = self._loop.time()
        available = [
            leaf
            for leaf in self._candidates(service, route)
            if self._pools.of(leaf).has_capacity()
        ]
        available = self._in_responsive_zones(available)
        zone = self._settings.zone
        leaf = choose_leaf(available, tried, zone, median_s, now, self._costs)
        if leaf is None:
            return None
        if leaf.is_cold(now) and not self._acquire_cold(leaf, now):
            return None
        self._pools.rates.count_send(leaf.leaf_id, now)
        return leaf

    def _in_responsive_zones(self, leafs: list[Leaf]) -> list[Leaf]:
        """Return the leafs without those of silent zones.

        Those of suspect zones remain only if there are no others.
        """
        suspect = self._isolation.zones.suspect_zones()
        if not suspect or Mechanism.UNREACHABLE_ZONES in self._disabled:
            return leafs
        silent = self._silent_zones()
        leafs = [leaf for leaf in leafs if leaf.entry.zone not in silent]
        return [x for x in leafs if x.entry.zone not in suspect] or leafs

    def lies_in(
        self, service: str, route: Route, zones: Collection[str]
    ) -> bool:
        """Return whether all leafs of a service are in these zones."""
        return all(
            leaf.entry.zone in zones for leaf in self._allowed(service, route)
        )

    def rate_wait_s(
        self, services: Iterable[str], route: Route, needed: int
    ) -> float | None:
        """Return when ``needed`` of the services have a leaf again.

        Only leafs that just what they state excludes are considered; None if
        too few services have one.  Another instance may send to one with a
        rate before this one, and within a window some instance may.
        """
        now = self._loop.time()
        wait_by_service = {
            service: min(
                (
                    self._stated_wait_s(leaf, now)
                    for leaf in self._usable(service, route)
                    if leaf.is_paused(now)
                    or self._pools.rates.is_limited(leaf.leaf_id)
                ),
                default=inf,
            )
            for service in services
        }
        waits = sorted(wait_by_service.values())[:needed]
        if len(waits) < needed or waits[-1] == inf:
            return None
        return waits[-1]

    def _stated_wait_s(self, leaf: Leaf, now: float) -> float:
        """Return how long a leaf's rate and pause exclude it at most."""
        rate_s = self._pools.rates.wait_s(leaf.leaf_id, now)
        return max(leaf.paused_until - now, min(rate_s, WINDOW_S))

    def warm_share(self, route: Route) -> float:
        """Return the share of a route's shards that have a warm leaf."""
        now = self._loop.time()
        warm = sum(
            any(
                leaf.is_usable(now) and not leaf.is_cold(now)
                for leaf in self._leafs.of_service(shard)
            )
            for shard in route.shards
        )
        return warm / len(route.shards)

    def describe(self, service: str) -> str:
        """Return the service's leafs with their states, for log lines."""
        now = self._loop.time()
        leafs = [
            f"{leaf.leaf_id} {self._state_of(leaf, now)}"
            for leaf in self._leafs.of_service(service)
        ]
        return f"{service}: {', '.join(leafs) or 'none known'}"

    def forget(self, leaf: Leaf) -> None:
        """Drop the counts of a leaf that is no longer used."""
        self._cold_rate_limiter.remove(leaf.leaf_id)

    def _candidates(self, service: str, route: Route) -> list[Leaf]:
        """Return the warm leafs to which requests may be sent now.

        If there are none, return the cold ones.  Free connections and the rate
        limit of cold leafs are not considered.
        """
        now = self._loop.time()
        rates = self._pools.rates
        warm: list[Leaf] = []
        cold: list[Leaf] = []
        for leaf in self._usable(service, route):
            if leaf.is_paused(now):
                continue
            if rates.wait_s(leaf.leaf_id, now) == 0.0:
                (cold if leaf.is_cold(now) else warm).append(leaf)
        return warm or cold

    def _usable(self, service: str, route: Route) -> Iterator[Leaf]:
        """Return the leafs that may serve the route, whatever their rates."""
        now = self._loop.time()
        for leaf in self._allowed(service, route):
            if leaf.is_usable(now):
                yield leaf

    def _allowed(self, service: str, route: Route) -> Iterator[Leaf]:
        """Return the leafs of zones to which the route may be sent."""
        homes = route.home_regions
        zones_out = self._leafs.zones_out
        region_by_zone = self._settings.region_by_zone
        for leaf in self._leafs.of_service(service):
            zone = leaf.entry.zone
            if zone in zones_out:
                continue
            if not homes or region_by_zone.get(zone) in homes:
                yield leaf

    def _state_of(self, leaf: Leaf, now: float) -> str:
        if leaf.entry.zone in self._leafs.zones_out:
            return "zone_out"
        if leaf.entry.zone in self._silent_zones():
            return "zone_silent"
        state = leaf.state(now)
        if state == "usable" and leaf.is_paused(now):
            return "paused"
        if state == "usable" and self._pools.rates.wait_s(leaf.leaf_id, now):
            return "rate_reached"
        if state == "usable" and not self._pools.of(leaf).has_capacity():
            return "connections_in_use"
        return state

    def _may_send_cold(self, leaf: Leaf, now: float) -> bool:
        allowance = self._cold_allowance(leaf)
        return self._cold_rate_limiter.allows(leaf.leaf_id, allowance, now)

    def _acquire_cold(self, leaf: Leaf, now: float) -> bool:
        allowance = self._cold_allowance(leaf)
        return self._cold_rate_limiter.try_acquire(
            leaf.leaf_id, allowance, now
        )

    def _cold_allowance(self, leaf: Leaf) -> int:
        bounds = self._settings.bounds
        rate = self._service_of(leaf.entry.service).cold_rate
        bound = rate * bounds.cold_rate_factor + bounds.cold_rate_slack
        own_name = self._settings.name
        return cold_allowance(
            bound,
            len(self._instances),
            owner_of(leaf.leaf_id, self._instances) == own_name,
            bool(self._instances),
        )
