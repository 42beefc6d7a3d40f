"""State that all searches of an instance share: routes and budgets."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from random import Random

from heatherdyke.clock import Clock
from heatherdyke.component import ConfigView
from heatherdyke.component import MembershipView
from heatherdyke.config.index import ConfigIndexCache
from heatherdyke.leaves.leaf_dispatcher import LeafDispatcher
from heatherdyke.mechanisms import Mechanism
from heatherdyke.membership.peer_health import PeerHealth
from heatherdyke.peers.client import PeerClient
from heatherdyke.search.hedging import ExtraLoadBudget
from heatherdyke.search.hedging import HedgePolicy
from heatherdyke.search.latest_snapshots import LatestSnapshots
from heatherdyke.search.load_balancing import ReplicaStatsTable
from heatherdyke.search.load_balancing import load_balancing_policies
from heatherdyke.search.observer import SearchObserver
from heatherdyke.search.plan import filter_eligible_leaves
from heatherdyke.settings import Settings
from heatherdyke.usage.leaf_level_cache import LeafLevelCache


@dataclass(frozen=True, slots=True)
class Route:
    """The route to a leaf's home instance; address None is this instance."""

    address: str | None


LOCAL_ROUTE = Route(None)


class SearchContext:
    """Selects leaves, routes to their homes and keeps replica statistics."""

    def __init__(
        self,
        settings: Settings,
        config: ConfigView,
        members: MembershipView,
        dispatcher: LeafDispatcher,
        peers: PeerClient,
        snapshots: LatestSnapshots,
        observer: SearchObserver,
        levels: LeafLevelCache,
        clock: Clock,
    ) -> None:
        is_enabled = settings.is_enabled
        self.settings = settings
        self.dispatcher = dispatcher
        self.peers = peers
        self.snapshots = snapshots
        self.observer = observer
        self.levels = levels
        self.clock = clock
        self.index = ConfigIndexCache(config)
        self.replica_stats = ReplicaStatsTable()
        self.peer_health = PeerHealth()
        budget = ExtraLoadBudget(
            settings.extra_load_share, is_enabled(Mechanism.EXTRA_LOAD_BUDGET)
        )
        self.hedges = HedgePolicy(budget, is_enabled(Mechanism.HEDGING))
        self._config = config
        self._members = members
        self._random = Random(settings.name)  # noqa: S311
        self._choose_replica = load_balancing_policies.find(
            "least-loaded"
            if is_enabled(Mechanism.REPLICA_CHOICE)
            else "random"
        )
        self._tasks: set[asyncio.Task] = set()

    def eligible_leaves(self, leaves: list[str]) -> list[str]:
        """Return the leaves that are eligible for new work."""
        return filter_eligible_leaves(
            self.index.current(), leaves, self._zone_is_out
        )

    def choose_leaf(self, leaves: list[str]) -> str:
        """Select a replica from ``leaves``, which is not empty."""
        if len(leaves) == 1:
            return leaves[0]
        now = self.clock.now()
        return self._choose_replica(
            leaves, self.replica_stats, now, self._random
        )

    def find_route(self, leaf_id: str) -> Route | None:
        """Return the route to the leaf's home, or None if it has no home."""
        if not self.settings.is_enabled(Mechanism.HOME_ROUTING):
            return LOCAL_ROUTE
        config = self.index.current().leaf_by_id.get(leaf_id)
        if config is None:
            return None
        home = self._members.home_of(leaf_id, config.zone)
        if home is None:
            return None
        if home.name == self.settings.name:
            return LOCAL_ROUTE
        return Route(home.address)

    def refresh_route(self, leaf_id: str, address: str | None) -> None:
        """Request the zone's newest roster from the leaf's previous home."""
        config = self.index.current().leaf_by_id.get(leaf_id)
        if config is not None and address is not None:
            self._members.refresh_roster(config.zone, address)

    def is_home_suspect(self, leaf_id: str) -> bool:
        """Tell whether the leaf's home is missing or suspected to be down."""
        route = self.find_route(leaf_id)
        if route is None:
            return True
        return self.peer_health.is_suspect(route.address, self.clock.now())

    def report_connection_refused(self, address: str) -> None:
        """Report that the member at ``address`` refused a connection.

        A refused connection proves that the member's process has ended.
        """
        for member in self._members.members():
            if member.address == address:
                self._members.record_connection_refused(member)

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a coroutine as a task and hold a reference until it ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _zone_is_out(self, zone: str) -> bool:
        if not self.settings.is_enabled(Mechanism.ZONE_OUT):
            return False
        return self._config.zone_is_out(zone)
