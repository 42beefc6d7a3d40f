"""What all searches of an instance share: ways to leaves, and budgets."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from random import Random

from heatherdyke.clock import Clock
from heatherdyke.component import ConfigView
from heatherdyke.component import MembershipView
from heatherdyke.config.index import ConfigIndexCache
from heatherdyke.leaves.home import Home
from heatherdyke.mechanisms import Mechanism
from heatherdyke.membership.peer_health import PeerHealth
from heatherdyke.peers.client import PeerClient
from heatherdyke.search.hedging import ExtraLoadBudget
from heatherdyke.search.hedging import HedgePolicy
from heatherdyke.search.observer import SearchObserver
from heatherdyke.search.plan import usable_leaves
from heatherdyke.search.replica_choice import ReplicaViews
from heatherdyke.search.replica_choice import replica_choices
from heatherdyke.search.snapshot_book import SnapshotBook
from heatherdyke.settings import Settings
from heatherdyke.usage.level_book import LevelBook


@dataclass(frozen=True, slots=True)
class Route:
    """The way to a home; an address of None is this instance."""

    address: str | None


LOCAL_ROUTE = Route(None)


class SearchContext:
    """Finds leaves and their homes, and keeps what searches learn."""

    def __init__(
        self,
        settings: Settings,
        config: ConfigView,
        members: MembershipView,
        home: Home,
        peers: PeerClient,
        snapshots: SnapshotBook,
        observer: SearchObserver,
        levels: LevelBook,
        clock: Clock,
    ) -> None:
        is_enabled = settings.is_enabled
        self.settings = settings
        self.home = home
        self.peers = peers
        self.snapshots = snapshots
        self.observer = observer
        self.levels = levels
        self.clock = clock
        self.index = ConfigIndexCache(config)
        self.views = ReplicaViews()
        self.peer_health = PeerHealth()
        budget = ExtraLoadBudget(
            settings.extra_load_share, is_enabled(Mechanism.EXTRA_LOAD_BUDGET)
        )
        self.hedges = HedgePolicy(budget, is_enabled(Mechanism.HEDGING))
        self._config = config
        self._members = members
        self._random = Random(settings.name)  # noqa: S311
        self._choose = replica_choices.find(
            "least-loaded"
            if is_enabled(Mechanism.REPLICA_CHOICE)
            else "random"
        )
        self._tasks: set[asyncio.Task] = set()

    def leaves_in_use(self, leaves: list[str]) -> list[str]:
        """Return the leaves that may get new work."""
        return usable_leaves(self.index.current(), leaves, self._zone_is_out)

    def choose_leaf(self, leaves: list[str]) -> str:
        """Return the replica to ask among ``leaves``, which is not empty."""
        if len(leaves) == 1:
            return leaves[0]
        now = self.clock.now()
        return self._choose(leaves, self.views, now, self._random)

    def find_route(self, leaf_id: str) -> Route | None:
        """Return the way to the leaf's home, or None if it has no home."""
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
        """Learn of the leaf's new home from the former one."""
        config = self.index.current().leaf_by_id.get(leaf_id)
        if config is not None and address is not None:
            self._members.refresh(config.zone, address)

    def is_home_suspect(self, leaf_id: str) -> bool:
        """Tell whether the leaf's home does not answer at present."""
        route = self.find_route(leaf_id)
        if route is None:
            return True
        return self.peer_health.is_suspect(route.address, self.clock.now())

    def note_refused(self, address: str) -> None:
        """Take a refused connection as proof that its member has ended."""
        for member in self._members.members():
            if member.address == address:
                self._members.note_refused(member)

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a coroutine as a task that is kept alive."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _zone_is_out(self, zone: str) -> bool:
        if not self.settings.is_enabled(Mechanism.ZONE_OUT):
            return False
        return self._config.zone_is_out(zone)
