"""Measures how long edits and zone changes take to reach all instances.

Run ``python -m heatherdyke_bench.config_delay --edits 100 --instances 7``.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
from pathlib import Path
from random import Random
from statistics import quantiles
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Annotated

import typer

from heatherdyke.callers.client import CallerClient
from heatherdyke.config.api import ConfigStatus
from heatherdyke.config.commands import apply_section
from heatherdyke.config.commands import change_zone_state
from heatherdyke.config.commands import show_document
from heatherdyke.config.model import UrgencyConfig
from heatherdyke.config.rollout import fetch_status
from heatherdyke.config.zone_state import ZoneStatus
from heatherdyke.errors import HeatherdykeError
from heatherdyke.messages import SearchRequest
from heatherdyke_bench.deployments import Deployment
from heatherdyke_bench.deployments import LeafKind
from heatherdyke_bench.deployments import LoadClass
from heatherdyke_bench.deployments import ServicePlan
from heatherdyke_bench.deployments import caller_key
from heatherdyke_bench.errors import FleetError
from heatherdyke_bench.fleet import Fleet
from heatherdyke_bench.fleet import Policy

TEAM = "permits"
ZONES = ["brescia", "bergamo", "verona"]
URGENCY = LoadClass("foreman", TEAM, 1, 1.0, 2000, 0.0, 0, 10)
POLL_INTERVAL_S = 0.005
ACTIVATION_TIMEOUT_S = 30.0
MAX_EDIT_PAUSE_S = 0.5
LEAF_OBSERVATION_S = 4.0
WARM_UP_S = 1.0
CALLER_COUNT = 6


@dataclass(frozen=True, slots=True)
class DelayReport:
    """Delays in seconds after a change was accepted.

    The percentiles are of the edits' delays until all instances applied
    them.  ``last_new_work_s`` is when leaves of a zone that was taken out
    last received a search.
    """

    edits: int
    instances: int
    p50_s: float
    p99_s: float
    max_s: float
    last_new_work_s: float


def delay_deployment(instances: int) -> Deployment:
    """Return 8 services, each with a leaf in two of three zones."""
    names = [f"permits{number:02d}" for number in range(8)]
    kind = LeafKind(3, 30, 1.0)
    plan = ServicePlan(TEAM, names, TEAM, 1, 2, kind)
    return Deployment("delay", ZONES, instances, [plan], [URGENCY])


@asynccontextmanager
async def start_fleet(
    instances: int, directory: Path, disable: str = ""
) -> AsyncIterator[Fleet]:
    """Run a fleet of ``delay_deployment`` as processes."""
    deployment = delay_deployment(instances)
    profiles = [replace(p, service_ms=2.0) for p in deployment.profiles()]
    policy = Policy("delay", disable)
    fleet = Fleet(deployment, profiles, policy, directory)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


async def apply_test_edit(fleet: Fleet, number: int) -> int:
    """Apply an edit that changes one number; return its version."""
    platform = fleet.platform_client()
    (shown,) = (await show_document(platform, TEAM)).sections
    urgency = shown.section.urgency | {"edited": UrgencyConfig(9, number)}
    section = replace(shown.section, urgency=urgency)
    acceptance = await apply_section(platform, TEAM, section, "bench")
    return acceptance.version


async def wait_for_version(address: str, version: int) -> ConfigStatus:
    """Return the instance's status once it has applied ``version``."""
    async with asyncio.timeout(ACTIVATION_TIMEOUT_S):
        while True:
            status = await fetch_status(address)
            if status.config_version >= version:
                return status
            await asyncio.sleep(POLL_INTERVAL_S)


async def measure_edits(fleet: Fleet, count: int, seed: int) -> list[float]:
    """Return each edit's delay until the last instance has applied it."""
    random = Random(seed)  # noqa: S311
    delays = []
    for number in range(1, count + 1):
        await asyncio.sleep(random.uniform(0, MAX_EDIT_PAUSE_S))
        version = await apply_test_edit(fleet, number)
        accepted_at = monotonic()
        await asyncio.gather(
            *(
                wait_for_version(process.address, version)
                for process in fleet.instance_by_name.values()
            )
        )
        delays.append(monotonic() - accepted_at)
    return delays


async def measure_last_new_work_s(fleet: Fleet, zone: str) -> float:
    """Return how long leaves of a zone taken out still received searches.

    Counted in the leaves' own records while callers search continuously.
    """
    callers = [
        asyncio.create_task(_search_forever(fleet, number))
        for number in range(CALLER_COUNT)
    ]
    try:
        await asyncio.sleep(WARM_UP_S)
        if not await count_zone_searches(fleet, zone):
            raise FleetError(
                f"leaves of {zone} received no search before it was taken out",
                "read the instances' logs",
            )
        platform = fleet.platform_client()
        await change_zone_state(platform, zone, ZoneStatus.OUT, "bench")
        return await _find_last_new_work(fleet, zone)
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)


async def count_zone_searches(fleet: Fleet, zone: str) -> int:
    """Return the number of searches received by the zone's leaves."""
    records = await fleet.leaf_records()
    return sum(
        incarnation.searches
        for leaf, record in records.items()
        if fleet.profile_by_leaf[leaf].zone == zone
        for incarnation in record.incarnations
    )


async def _find_last_new_work(fleet: Fleet, zone: str) -> float:
    started_at = monotonic()
    last_s = 0.0
    before = await count_zone_searches(fleet, zone)
    while monotonic() - started_at < LEAF_OBSERVATION_S:
        await asyncio.sleep(POLL_INTERVAL_S)
        elapsed_s = monotonic() - started_at
        now = await count_zone_searches(fleet, zone)
        if now > before:
            before, last_s = now, elapsed_s
    return last_s


async def _search_forever(fleet: Fleet, number: int) -> None:
    names = sorted(fleet.instance_by_name)
    address = fleet.instance_by_name[names[number % len(names)]].caller_address
    client = CallerClient(address, caller_key(TEAM))
    while True:
        request = SearchRequest(
            fleet.deployment.small_services, f"q{number}", URGENCY.name
        )
        try:
            await client.search(request)
        except HeatherdykeError:
            await asyncio.sleep(POLL_INTERVAL_S)


async def measure(edits: int, instances: int, seed: int) -> DelayReport:
    """Measure both delays on one fleet."""
    with TemporaryDirectory() as directory:
        async with start_fleet(instances, Path(directory)) as fleet:
            delays = await measure_edits(fleet, edits, seed)
            last_s = await measure_last_new_work_s(fleet, ZONES[0])
    percentiles = quantiles(delays, n=100, method="inclusive")
    return DelayReport(
        edits, instances, percentiles[49], percentiles[98], max(delays), last_s
    )


def main(
    edits: Annotated[int, typer.Option(help="Edits to apply.")] = 100,
    instances: Annotated[int, typer.Option(help="Instances.")] = 7,
    seed: Annotated[int, typer.Option(help="Seed of the pauses.")] = 1,
) -> None:
    """Print the delays as JSON."""
    report = asyncio.run(measure(edits, instances, seed))
    typer.echo(json.dumps(asdict(report)))


if __name__ == "__main__":
    typer.run(main)
