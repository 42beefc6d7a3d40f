"""Deployments for experiments: the two in use, at full size, and a small one.

A small service is one shard with two replicas in two zones; all small
services of a deployment share an index, so that one search can query them
all.  Run-once services have one leaf per shard.
"""

from dataclasses import dataclass
from dataclasses import field
from hashlib import sha256

from heatherdyke.config.model import LeafConfig
from heatherdyke.config.model import RunOnceMode
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import ServiceConfig
from heatherdyke.config.model import ShardConfig
from heatherdyke.config.model import UrgencyConfig
from heatherdyke.registry import Registry
from heatherdyke.standin.leaf_model import LeafProfile


@dataclass(frozen=True, slots=True)
class LeafKind:
    """Limits of a kind of leaf; ``setup_ms`` is per new connection."""

    slots: int
    connections: int
    setup_ms: float


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """A group of identical services; each shard has ``replicas`` leaves."""

    team: str
    names: list[str]
    index: str
    shards: int
    replicas: int
    kind: LeafKind
    run_once: RunOnceMode = RunOnceMode.NONE


@dataclass(frozen=True, slots=True)
class LoadClass:
    """Searches of one urgency class and their rate at full load.

    ``wanted_coverage`` and ``deadline_ms`` are set in the team's section.
    Each search queries ``services`` services for ``limit`` items.
    """

    name: str
    team: str
    priority: int
    rate_per_s: float
    deadline_ms: int
    wanted_coverage: float
    services: int
    limit: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """Zones, instances, services and the load on them."""

    name: str
    zones: list[str]
    instances: int
    plans: list[ServicePlan]
    classes: list[LoadClass]
    leaf_profiles: list[LeafProfile] = field(default_factory=list)

    @property
    def zone_by_instance(self) -> dict[str, str]:
        """Return the zone of each instance, assigned round robin."""
        zones = [
            self.zones[number % len(self.zones)]
            for number in range(self.instances)
        ]
        return {
            f"{zone}-{number + 1}": zone for number, zone in enumerate(zones)
        }

    @property
    def indexes(self) -> list[str]:
        """Return the indexes whose snapshots the platform must list."""
        return sorted({plan.index for plan in self.plans})

    @property
    def small_services(self) -> list[str]:
        """Return the services that searches query."""
        return self.plans[0].names

    def profiles(self) -> list[LeafProfile]:
        """Return a profile for each leaf, without address or platform."""
        return [
            LeafProfile(
                leaf=leaf,
                zone=self._zone_of(leaf),
                slots=plan.kind.slots,
                connections=plan.kind.connections,
                setup_ms=plan.kind.setup_ms,
                seed=number,
                shards=[qualified_shard_name(shard)],
            )
            for number, (plan, shard, leaf) in enumerate(
                self._planned_leaves()
            )
        ]

    def sections(
        self, profiles: list[LeafProfile], address_by_leaf: dict[str, str]
    ) -> dict[str, SectionConfig]:
        """Return each team's section, with its leaves' addresses."""
        leaf_by_id = {
            profile.leaf: LeafConfig(
                address_by_leaf[profile.leaf],
                profile.zone,
                profile.slots,
                profile.connections,
                profile.cold_slots,
                profile.cold_searches,
            )
            for profile in profiles
        }
        teams = {plan.team for plan in self.plans}
        return {team: self._section(team, leaf_by_id) for team in teams}

    def _section(
        self, team: str, leaf_by_id: dict[str, LeafConfig]
    ) -> SectionConfig:
        leaves = {
            leaf: leaf_by_id[leaf]
            for plan, _, leaf in self._planned_leaves()
            if plan.team == team
        }
        return SectionConfig(
            team=team,
            services=self._services(team),
            leaves=leaves,
            urgency={
                c.name: UrgencyConfig(
                    c.priority, c.deadline_ms, c.wanted_coverage
                )
                for c in self.classes
                if c.team == team
            },
            key_hashes=[sha256(caller_key(team).encode()).hexdigest()],
        )

    def _services(self, team: str) -> dict[str, ServiceConfig]:
        services: dict[str, ServiceConfig] = {}
        for plan in self.plans:
            if plan.team != team:
                continue
            for name in plan.names:
                shards = {
                    _shard_name(plan, name, number): ShardConfig(
                        _leaf_names(plan, name, number)
                    )
                    for number in range(plan.shards)
                }
                services[name] = ServiceConfig(
                    plan.index, shards, plan.run_once
                )
        return services

    def _planned_leaves(self) -> list[tuple[ServicePlan, str, str]]:
        return [
            (plan, _shard_name(plan, name, number), leaf)
            for plan in self.plans
            for name in plan.names
            for number in range(plan.shards)
            for leaf in _leaf_names(plan, name, number)
        ]

    def _zone_of(self, leaf: str) -> str:
        name, shard, replica = leaf.rsplit(".", 2)
        plan = next(p for p in self.plans if name in p.names)
        offset = plan.names.index(name) + int(shard) + int(replica)
        return self.zones[offset % len(self.zones)]


def caller_key(team: str) -> str:
    """Return the API key that a team's callers send in experiments."""
    return f"bench-key-of-{team}"


def qualified_shard_name(shard: str) -> str:
    """Return a shard's name as instances and leaves use it."""
    service = shard.rpartition(".")[0]
    return f"{service}/{shard}"


def _shard_name(plan: ServicePlan, name: str, number: int) -> str:
    return f"{name}.{number}"


def _leaf_names(plan: ServicePlan, name: str, number: int) -> list[str]:
    return [f"{name}.{number}.{replica}" for replica in range(plan.replicas)]


def _numbered_names(prefix: str, count: int) -> list[str]:
    return [f"{prefix}{number:02d}" for number in range(count)]


deployments: Registry[Deployment] = Registry("deployment")

deployments.register("trincea-calda")(
    Deployment(
        name="trincea-calda",
        zones=["brescia", "bergamo", "verona"],
        instances=7,
        plans=[
            ServicePlan(
                "permits",
                _numbered_names("permits", 30) + _numbered_names("bonds", 20),
                "ledger",
                1,
                2,
                LeafKind(3, 30, 6.0),
            ),
            ServicePlan(
                "archive",
                ["archive"],
                "archive",
                5,
                1,
                LeafKind(6, 100, 1.0),
                run_once=RunOnceMode.RECORDED,
            ),
            ServicePlan(
                "archive", ["filing"], "filing", 3, 1, LeafKind(6, 100, 1.0)
            ),
        ],
        classes=[
            LoadClass("foreman", "permits", 0, 16.0, 400, 0.6, 50, 10),
            LoadClass("inspector", "permits", 0, 8.0, 800, 0.9, 25, 5),
            LoadClass("planner", "permits", 1, 8.0, 2000, 0.95, 50, 50),
        ],
    )
)

deployments.register("bagmati")(
    Deployment(
        name="bagmati",
        zones=["kathmandu", "lalitpur", "bhaktapur", "kirtipur"],
        instances=7,
        plans=[
            ServicePlan(
                "reminders",
                _numbered_names("reminders", 40)
                + _numbered_names("parts", 10),
                "households",
                1,
                2,
                LeafKind(2, 25, 6.0),
            ),
            ServicePlan(
                "billing",
                ["billing"],
                "billing",
                5,
                1,
                LeafKind(4, 40, 1.0),
                run_once=RunOnceMode.TICKET,
            ),
            ServicePlan(
                "billing", ["roster"], "roster", 4, 1, LeafKind(4, 40, 1.0)
            ),
        ],
        classes=[
            LoadClass("gas", "reminders", 0, 12.0, 400, 0.5, 40, 5),
            LoadClass("dispatcher", "reminders", 1, 12.0, 1000, 0.9, 50, 10),
            LoadClass("reminder", "reminders", 2, 4.0, 3000, 0.98, 50, 50),
        ],
    )
)

deployments.register("small")(
    Deployment(
        name="small",
        zones=["brescia", "bergamo", "verona"],
        instances=3,
        plans=[
            ServicePlan(
                "permits",
                _numbered_names("permits", 6),
                "ledger",
                1,
                2,
                LeafKind(3, 30, 6.0),
            ),
        ],
        classes=[
            LoadClass("foreman", "permits", 0, 10.0, 600, 0.6, 6, 10),
            LoadClass("planner", "permits", 2, 20.0, 1500, 0.95, 6, 50),
            LoadClass("clerk", "permits", 5, 3.0, 5000, 0.95, 6, 50),
        ],
    )
)
