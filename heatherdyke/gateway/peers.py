"""The other instances, as this one believes them to be."""

import asyncio
from collections.abc import Sequence

from heatherdyke.gateway.connection_share import weight_of
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.grouping import Group
from heatherdyke.gateway.isolation import Isolation
from heatherdyke.gateway.leaf_choice import choose_leaf
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.leaf_pools import LeafPools
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.peer_messages import HEALTH_PATH
from heatherdyke.gateway.routing import Service

SERVICE = "peers"
# Connections from one instance to another; each carries one group at a time.
CONNECTION_LIMIT = 20_000
# The instances that rank first for a group, of which the better is asked.
CANDIDATES = 2

_declaration = Service(
    SERVICE, health_path=HEALTH_PATH, connection_limit=CONNECTION_LIMIT
)


class Peers:
    """Other instances, with what was learnt of each as of a leaf."""

    __slots__ = ("pools", "_own_name", "_own_zone", "_table", "_loop")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: EventLog,
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
            Isolation(own_zone),
            lambda name: _declaration,
        )

    def set_entries(self, entries: Sequence[LeafEntry]) -> None:
        """Take in which instances there are, this one among them."""
        now = self._loop.time()
        others = [
            entry for entry in entries if entry.leaf_id != self._own_name
        ]
        self.pools.set_instances(len(entries))
        for peer in self._table.replace(others, now, may_be_back=False):
            self.pools.drop(peer)

    def zones(self) -> set[str]:
        """Return the zones with an instance that can be asked."""
        now = self._loop.time()
        return {
            peer.entry.zone
            for peer in self._table.of_service(SERVICE)
            if peer.is_usable(now)
        }

    def choose(self, group: Group, usual_s: float) -> Leaf | None:
        """Return the instance to ask for a group, None if there is none."""
        now = self._loop.time()
        usable = [
            peer
            for peer in self._table.of_service(SERVICE)
            if peer.entry.zone == group.zone
            and peer.is_usable(now)
            and self.pools.of(peer).has_room()
        ]
        usable.sort(
            key=lambda peer: weight_of(group.key, peer.leaf_id), reverse=True
        )
        return choose_leaf(
            usable[:CANDIDATES], (), self._own_zone, usual_s, now
        )
