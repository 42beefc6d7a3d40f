"""Measures CPU time, memory and platform calls of a fleet's processes."""

import asyncio
import os
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from heatherdyke.callers.authentication import hash_key
from heatherdyke.callers.client import CallerClient
from heatherdyke.config.model import LeafConfig
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import ServiceConfig
from heatherdyke.config.model import ShardConfig
from heatherdyke.config.model import UrgencyConfig
from heatherdyke.messages import SearchRequest
from heatherdyke.standin.leaf_model import LeafProfile
from heatherdyke_bench.fleet import Fleet
from heatherdyke_bench.fleet import Policy
from heatherdyke_bench.slopes import Point
from heatherdyke_bench.slopes import Series
from heatherdyke_bench.slopes import measurements

TEAM = "capacity"
CALLER_KEY = "capacity-key"
CALLERS_ZONE = "callers"
LEAVES_ZONE = "leaves"
SERVICE_MS = 0.2
SLOTS = 6
CONNECTIONS = 40
WARM_UP_SEARCHES = 8
MEASURED_SEARCHES = 30
IDLE_S = 6.0
SETTLE_S = 3.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ANNOUNCE_CALL = "POST /instances"
POLICY = Policy("capacity", "hedging")


@dataclass(frozen=True, slots=True)
class SplitDeployment:
    """One entry in a zone without leaves; homes and leaves in another.

    It has the members of ``Deployment`` that ``Fleet`` uses.
    """

    homes: int
    leaves: int
    shards: int

    @property
    def zones(self) -> list[str]:
        """Return both zones."""
        return [CALLERS_ZONE, LEAVES_ZONE]

    @property
    def indexes(self) -> list[str]:
        """Return the one index."""
        return [TEAM]

    @property
    def zone_by_instance(self) -> dict[str, str]:
        """Return the zones of the entry and of the homes."""
        homes = {f"home-{n}": LEAVES_ZONE for n in range(self.homes)}
        return {"entry": CALLERS_ZONE, **homes}

    def profiles(self) -> list[LeafProfile]:
        """Return the leaves' profiles."""
        return [
            LeafProfile(
                f"leaf-{number}",
                LEAVES_ZONE,
                slots=SLOTS,
                connections=CONNECTIONS,
                service_ms=SERVICE_MS,
                seed=number,
            )
            for number in range(self.leaves)
        ]

    def sections(
        self, profiles: list[LeafProfile], address_by_leaf: dict[str, str]
    ) -> dict[str, SectionConfig]:
        """Return the one section, its shards spread evenly over the leaves."""
        leaves = list(address_by_leaf)
        shards = {
            str(n): ShardConfig([leaves[n % len(leaves)]])
            for n in range(self.shards)
        }
        config_by_leaf = {
            profile.leaf: LeafConfig(
                address_by_leaf[profile.leaf],
                profile.zone,
                profile.slots,
                profile.connections,
                cold_slots=profile.slots,
            )
            for profile in profiles
        }
        urgency = {"default": UrgencyConfig(1, 5000)}
        return {
            TEAM: SectionConfig(
                TEAM,
                {"all": ServiceConfig(TEAM, shards)},
                config_by_leaf,
                urgency,
                key_hashes=[hash_key(CALLER_KEY)],
            )
        }


class ProcessUsage:
    """CPU time and memory of one process, from /proc."""

    def __init__(self, pid: int) -> None:
        self._pid = pid

    def cpu_ms(self) -> float:
        """Return the user and system time used so far, in milliseconds."""
        text = Path(f"/proc/{self._pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) * 1000 / TICKS_PER_S

    def memory_mb(self) -> float:
        """Return the resident memory in megabytes."""
        pages = int(Path(f"/proc/{self._pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


@dataclass(frozen=True, slots=True)
class SearchCost:
    """CPU milliseconds per search at the entry and at all homes."""

    entry_ms: float
    home_ms: float
    home_memory_mb: float


@measurements.register("fan-out")
def measure_fan_out() -> list[Series]:
    """Measure the CPU time of a search at entry and home, by its parts."""
    costs = {
        parts: asyncio.run(_search_cost(SplitDeployment(1, 8, parts)))
        for parts in (16, 32, 64, 128, 256)
    }
    entry = [Point(x, cost.entry_ms) for x, cost in costs.items()]
    home = [Point(x, cost.home_ms) for x, cost in costs.items()]
    return [
        Series("entry_cpu", "parts in one group", "ms a search", entry),
        Series("home_cpu", "parts in one group", "ms a group", home),
    ]


@measurements.register("groups")
def measure_groups() -> list[Series]:
    """Measure the CPU time of a search at its entry, by number of homes."""
    points = []
    for homes in (1, 2, 4, 8):
        cost = asyncio.run(_search_cost(SplitDeployment(homes, 24, 96)))
        points.append(Point(homes, cost.entry_ms))
    return [Series("entry_groups", "homes", "ms a search", points)]


@measurements.register("leaves")
def measure_leaves() -> list[Series]:
    """Measure a home's memory by its number of connected leaves."""
    points = []
    for leaves in (4, 8, 16, 32):
        cost = asyncio.run(_search_cost(SplitDeployment(1, leaves, 128)))
        points.append(Point(leaves, cost.home_memory_mb))
    return [Series("home_memory", "leaves", "MB", points)]


@measurements.register("instances")
def measure_instances() -> list[Series]:
    """Measure idle instances and platform calls, by the zone's members."""
    cpu, memory, calls = [], [], []
    for members in (2, 4, 8, 16, 24):
        idle = asyncio.run(_idle_cost(members))
        cpu.append(Point(members, idle.cpu_ms_per_s))
        memory.append(Point(members, idle.memory_mb))
        calls.append(Point(members + 1, idle.platform_calls_per_s))
    return [
        Series("idle_cpu", "members of the zone", "ms a second", cpu),
        Series("idle_memory", "members of the zone", "MB", memory),
        Series("platform_calls", "instances", "calls a second", calls),
    ]


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Cost of instances without callers; CPU and memory per instance."""

    cpu_ms_per_s: float
    memory_mb: float
    platform_calls_per_s: float


async def _search_cost(deployment: SplitDeployment) -> SearchCost:
    async with _running_fleet(deployment) as fleet:
        await asyncio.sleep(SETTLE_S)
        client = CallerClient(
            fleet.instance_by_name["entry"].caller_address, CALLER_KEY
        )
        request = SearchRequest(["all"], "via milano")
        for _ in range(WARM_UP_SEARCHES):
            await client.search(request)
        entry = _usage(fleet, "entry")
        homes = [
            _usage(fleet, name)
            for name in fleet.instance_by_name
            if name != "entry"
        ]
        before_ms = entry.cpu_ms(), sum(home.cpu_ms() for home in homes)
        for _ in range(MEASURED_SEARCHES):
            await client.search(request)
        return SearchCost(
            (entry.cpu_ms() - before_ms[0]) / MEASURED_SEARCHES,
            (sum(h.cpu_ms() for h in homes) - before_ms[1])
            / MEASURED_SEARCHES,
            homes[0].memory_mb(),
        )


async def _idle_cost(member_count: int) -> IdleCost:
    async with _running_fleet(SplitDeployment(member_count, 1, 1)) as fleet:
        await asyncio.sleep(SETTLE_S)
        usages = [_usage(fleet, name) for name in fleet.instance_by_name]
        before = sum(usage.cpu_ms() for usage in usages)
        calls = await _count_calls(fleet)
        await asyncio.sleep(IDLE_S)
        cpu_ms = sum(usage.cpu_ms() for usage in usages) - before
        calls = await _count_calls(fleet) - calls
        memory_mb = sum(usage.memory_mb() for usage in usages) / len(usages)
        return IdleCost(
            cpu_ms / IDLE_S / len(usages), memory_mb, calls / IDLE_S
        )


async def _count_calls(fleet: Fleet) -> int:
    """Count the platform calls, without the stand-ins' announcements."""
    record = await fleet.platform_record()
    return sum(
        count
        for kind, count in record.calls_by_kind.items()
        if kind != ANNOUNCE_CALL
    )


def _usage(fleet: Fleet, name: str) -> ProcessUsage:
    return ProcessUsage(fleet.instance_by_name[name].pid)


@asynccontextmanager
async def _running_fleet(deployment: SplitDeployment):
    with TemporaryDirectory() as directory:
        fleet = Fleet(
            deployment, deployment.profiles(), POLICY, Path(directory)
        )
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.stop()
