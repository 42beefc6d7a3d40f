"""Plans which shards of a search are queried directly and which by peers."""

from dataclasses import dataclass

from heatherdyke.gateway.leaf_selection import ZoneAccess
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.search_progress import meets_min_share
from heatherdyke.gateway.shared_state import SharedState


@dataclass(frozen=True, slots=True)
class SearchPlan:
    """The shards of a search, by how they can be queried.

    The ``direct`` ones have a leaf that this instance or one of the leaf's
    zone can query, in the zones of ``zones_by_shard``.  The leafs of the
    ``relayed`` ones are out of this instance's reach, but may be in that of
    others.  No leaf of those ``without_leaf`` gets requests now.
    """

    zones_by_shard: dict[str, set[str]]
    direct: tuple[str, ...]
    relayed: tuple[str, ...]
    without_leaf: tuple[str, ...]

    def meets_min_share(self, route: Route) -> bool:
        """Return whether enough shards can be queried."""
        possible = len(route.shards) - len(self.without_leaf)
        return meets_min_share(possible, len(route.shards), route.min_share)


def plan_search(
    shared: SharedState,
    route: Route,
    access: ZoneAccess,
    shards: tuple[str, ...],
) -> SearchPlan:
    """Return the plan for these shards of a search on ``route``."""
    has_peers = bool(shared.peers.zones()) and not access.is_isolated
    all_lost = has_peers and shared.has_lost_leafs
    zones_by_shard: dict[str, set[str]] = {}
    direct, relayed, without_leaf = [], [], []
    for shard in shards:
        zones = zones_by_shard[shard] = (
            set()
            if all_lost
            else shared.selector.zones_with_leaf(shard, route, access)
        )
        if zones:
            direct.append(shard)
        elif has_peers and shared.may_relay(shard, route):
            relayed.append(shard)
        else:
            without_leaf.append(shard)
    return SearchPlan(
        zones_by_shard, tuple(direct), tuple(relayed), tuple(without_leaf)
    )
