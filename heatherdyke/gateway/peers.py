"""The other instances, as this one sees them."""

import asyncio
from collections.abc import Sequence

from heatherdyke.gateway.connection_share import rendezvous_weight
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.grouping import Group
from heatherdyke.gateway.isolation import IsolationDetector
from heatherdyke.gateway.leaf_choice import choose_leaf
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.leaf_pools import LeafPools
from heatherdyke.gateway.leaf_rate_limit import LeafRateLimiter
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.leaf_table import Removal
from heatherdyke.gateway.peer_messages import HEALTH_PATH
from heatherdyke.gateway.routing import Service

PEER_SERVICE = "peers"
# Limit of connections to one instance; each carries one group at a time.
CONNECTION_LIMIT = 20_000
# A group goes to the best of this many highest-ranked instances.
CANDIDATE_COUNT = 2

_PEER_SETTINGS = Service(
    PEER_SERVICE, health_path=HEALTH_PATH, connection_limit=CONNECTION_LIMIT
)


class Peers:
    """Other instances, with state and connection pools like those of leafs."""

    __slots__ = ("pools", "_own_name", "_own_zone", "_table", "_loop")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: EventLog,
        isolation: IsolationDetector,
        own_name: str,
        own_zone: str,
    ) -> None:
        self._loop = loop
        self._own_name = own_name
        self._own_zone = own_zone
        self._table = LeafTable()
        self.pools = LeafPools(
            loop,
            log,
            isolation,
            lambda name: _PEER_SETTINGS,
            LeafRateLimiter(),
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

    def known_zones(self) -> set[str]:
        """Return the zones with another instance, usable or not."""
        return {
            peer.entry.zone for peer in self._table.of_service(PEER_SERVICE)
        }

    def zones(self) -> set[str]:
        """Return the zones with another usable instance."""
        now = self._loop.time()
        return {
            peer.entry.zone
            for peer in self._table.of_service(PEER_SERVICE)
            if peer.is_usable(now)
        }

    def choose(self, group: Group, median_s: float) -> Leaf | None:
        """Return the instance to send a group to, None if there is none."""
        now = self._loop.time()
        usable = [
            peer
            for peer in self._table.of_service(PEER_SERVICE)
            if peer.entry.zone == group.zone
            and peer.is_usable(now)
            and self.pools.of(peer).has_capacity()
        ]
        usable.sort(
            key=lambda peer: rendezvous_weight(group.key, peer.leaf_id),
            reverse=True,
        )
        return choose_leaf(
            usable[:CANDIDATE_COUNT], (), self._own_zone, median_s, now
        )
