"""The other instances, as this one sees them."""

import asyncio
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
from random import Random

from heatherdyke.gateway.connection_share import rendezvous_weight
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.grouping import Group
from heatherdyke.gateway.isolation import IsolationDetector
from heatherdyke.gateway.leaf_choice import choose_leaf
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.leaf_links import ZoneLinks
from heatherdyke.gateway.leaf_pools import LeafPools
from heatherdyke.gateway.leaf_rate_limit import LeafRateLimiter
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.leaf_table import Removal
from heatherdyke.gateway.peer_messages import HEALTH_PATH
from heatherdyke.gateway.routing import Service
from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.net.memory_quota import Source

PEER_SERVICE = "peers"
# Limit of connections to one instance; each carries one group at a time.
CONNECTION_LIMIT = 20_000
# A group goes to the best of this many highest-ranked instances.
CANDIDATE_COUNT = 2
# How long an instance that can reach no leaf gets no groups.
LEAFS_UNREACHABLE_S = 0.5

_PEER_SETTINGS = Service(
    PEER_SERVICE, health_path=HEALTH_PATH, connection_limit=CONNECTION_LIMIT
)


class Peers:
    """Other instances, with state and connection pools like those of leafs."""

    __slots__ = (
        "links",
        "pools",
        "_isolation",
        "_own_name",
        "_own_zone",
        "_table",
        "_loop",
        "_random",
        "_without_leafs_until",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: EventLog,
        isolation: IsolationDetector,
        own_name: str,
        own_zone: str,
        random: Random,
        memory: MemoryQuota | None = None,
    ) -> None:
        self._loop = loop
        self._random = random
        self._own_name = own_name
        self._own_zone = own_zone
        self._table = LeafTable()
        self._without_leafs_until: dict[str, float] = {}
        self._isolation = isolation
        self.links = ZoneLinks(isolation)
        self.pools = LeafPools(
            loop,
            log,
            self.links,
            lambda name: _PEER_SETTINGS,
            LeafRateLimiter(),
            memory=memory,
            source=Source.INSTANCE,
        )

    def set_entries(self, entries: Sequence[LeafEntry]) -> None:
        """Set the list of instances, which includes this one."""
        now = self._loop.time()
        others = [
            entry for entry in entries if entry.leaf_id != self._own_name
        ]
        self.pools.set_instances(len(entries))
        for peer in self._table.replace(others, now, Removal.LATE):
            self.pools.drop(peer)
            self._without_leafs_until.pop(peer.leaf_id, None)

    def known_zones(self) -> set[str]:
        """Return the zones with another instance, usable or not."""
        return {
            peer.entry.zone for peer in self._table.of_service(PEER_SERVICE)
        }

    def of_zone(self, zone: str) -> list[Leaf]:
        """Return the other instances of a zone, usable or not."""
        return [
            peer
            for peer in self._table.of_service(PEER_SERVICE)
            if peer.entry.zone == zone
        ]

    def names(self) -> list[str]:
        """Return the names of the other instances."""
        return list(self._table.leaf_by_id)

    def find(self, name: str) -> Leaf | None:
        """Return another instance by its name, None if it is unknown."""
        return self._table.leaf_by_id.get(name)

    def zones(self) -> set[str]:
        """Return the zones with another instance that can reach leafs."""
        return {peer.entry.zone for peer in self._usable()}

    def record_leafs_unreachable(self, peer: Leaf) -> None:
        """Record that an instance can reach no leaf."""
        until = self._loop.time() + LEAFS_UNREACHABLE_S
        self._without_leafs_until[peer.leaf_id] = until

    def choose(
        self, group: Group, median_s: float, tried: Collection[Leaf] = ()
    ) -> Leaf | None:
        """Return the instance to send a group to, None if there is none."""
        if group.relayed:
            return self.choose_relay(median_s, tried)
        now = self._loop.time()
        usable = [
            peer
            for peer in self._usable()
            if peer.entry.zone == group.zone
            and self.pools.of(peer).has_capacity()
        ]
        usable.sort(
            key=lambda peer: rendezvous_weight(group.key, peer.leaf_id),
            reverse=True,
        )
        return choose_leaf(
            usable[:CANDIDATE_COUNT], tried, self._own_zone, median_s, now
        )

    def choose_relay(
        self, median_s: float, tried: Collection[Leaf]
    ) -> Leaf | None:
        """Return the best instance of any zone, None if there is none."""
        usable = [
            peer
            for peer in self._usable()
            if self.pools.of(peer).has_capacity()
        ]
        self._random.shuffle(usable)
        now = self._loop.time()
        # The instances of the own zone are the likeliest to have the same
        # fault, so its nearness does not count.
        return choose_leaf(usable, tried, "", median_s, now)

    def _usable(self) -> Iterator[Leaf]:
        now = self._loop.time()
        silent_zones = self._isolation.zones.silent_zones()
        for peer in self._table.of_service(PEER_SERVICE):
            if peer.entry.zone in silent_zones:
                continue
            without_leafs_until = self._without_leafs_until.get(
                peer.leaf_id, 0.0
            )
            if peer.is_usable(now) and now >= without_leafs_until:
                yield peer
