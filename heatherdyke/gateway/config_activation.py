"""Decides when a new routing configuration becomes active (pure).

Operators reshard an index by starting new shards and naming them in a route
some seconds later.  The leafs of the new shards may still be cold then, so
searches over them would be refused while the previous shards still serve.
A version that changes a route's shards is therefore held back until as large
a share of the new shards as of the previous ones has a warm leaf, but no
longer than a fixed part of the time within which it must be active.
"""

from collections.abc import Callable
from dataclasses import dataclass

from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import RoutingConfig

# Longest hold, as a fraction of the time within which a version must be active
# on all instances.
MAX_HOLD_FRACTION = 0.4
# Greatest age of a version at the end of its hold, as such a fraction.
MAX_AGE_FRACTION = 0.8

# Returns the share of a route's shards that have a warm leaf.
WarmShare = Callable[[Route], float]


@dataclass(slots=True)
class PendingConfig:
    """The newest version that is not active yet, and how long it is held.

    ``config`` is None if no version is pending.
    """

    config: RoutingConfig | None = None
    hold_until: float = 0.0

    def add(
        self,
        config: RoutingConfig,
        now: float,
        config_s: float,
        written_after: float,
    ) -> None:
        """Set the pending version, written after a time.

        A later version does not extend the hold.
        """
        if self.config is None:
            self.hold_until = min(
                now + MAX_HOLD_FRACTION * config_s,
                written_after + MAX_AGE_FRACTION * config_s,
            )
        self.config = config

    def take_ready(
        self, active: RoutingConfig | None, warm_share: WarmShare, now: float
    ) -> RoutingConfig | None:
        """Remove and return the version to activate now, None to wait."""
        config = self.config
        if config is None:
            return None
        if active is not None and now < self.hold_until:
            if reduces_warm_share(config, active, warm_share):
                return None
        self.config = None
        return config


def reduces_warm_share(
    config: RoutingConfig, active: RoutingConfig, warm_share: WarmShare
) -> bool:
    """Return whether a route's new shards have a smaller warm share.

    Only routes are compared whose shards differ from the active ones.
    """
    old_by_prefix = {
        (route.host, route.path_prefix): route for route in active.routes
    }
    for route in config.routes:
        old = old_by_prefix.get((route.host, route.path_prefix))
        if old is None or not old.shards or not route.shards:
            continue
        if old.shards != route.shards and warm_share(route) < warm_share(old):
            return True
    return False
