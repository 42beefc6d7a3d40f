"""When a new configuration is put in force (pure).

Operators cut an index anew by starting other shards and naming them in a
route some seconds later.  Their leafs may still be cold then, so that
searches over them would be refused, while the former shards go on serving.
So a version that changes a route's shards is held until the new ones serve
as well as the former ones, or until a time well before it has to be in force.
"""

from collections.abc import Callable
from dataclasses import dataclass

from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import RoutingConfig

# Of the time within which a version has to be in force everywhere.
MAX_HOLD_FRACTION = 0.4

# Returns the share of a route's shards that have a warm leaf.
Reach = Callable[[Route], float]


@dataclass(slots=True)
class PendingConfig:
    """The newest version that is not in force yet, and until when."""

    config: RoutingConfig | None = None
    hold_until: float = 0.0

    def add(self, config: RoutingConfig, now: float, config_s: float) -> None:
        """Take in a version; a later one does not lengthen the hold."""
        if self.config is None:
            self.hold_until = now + MAX_HOLD_FRACTION * config_s
        self.config = config

    def take_ready(
        self, in_force: RoutingConfig | None, reach: Reach, now: float
    ) -> RoutingConfig | None:
        """Return the version to put in force now, None to wait."""
        config = self.config
        if config is None:
            return None
        if in_force is not None and now < self.hold_until:
            if serves_worse(config, in_force, reach):
                return None
        self.config = None
        return config


def serves_worse(
    config: RoutingConfig, in_force: RoutingConfig, reach: Reach
) -> bool:
    """Tell whether a route's new shards lack more leafs than its former."""
    former_by_place = {
        (route.host, route.path_prefix): route for route in in_force.routes
    }
    for route in config.routes:
        former = former_by_place.get((route.host, route.path_prefix))
        if former is None or not former.shards or not route.shards:
            continue
        if former.shards != route.shards and reach(route) < reach(former):
            return True
    return False
