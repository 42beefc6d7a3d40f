"""Measures what one run costs by record and by ticket.

``python -m heatherdyke_bench.run_cost`` starts a small fleet, sends runs
one after another and prints milliseconds and platform writes and reads.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import replace
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory
from time import perf_counter

from heatherdyke.config.model import RunOnceMode
from heatherdyke.messages import RunRequest
from heatherdyke.run_once.client import RunClient
from heatherdyke_bench.deployments import caller_key
from heatherdyke_bench.deployments import deployments
from heatherdyke_bench.fleet import Fleet
from heatherdyke_bench.fleet import Policy

RUNS = 200
RUN_MS = 5.0
COUNTED_CALLS = ("PUT /objects", "GET /objects")


@dataclass(frozen=True, slots=True)
class RunCost:
    """The cost of a run; times in milliseconds, the leaf's included."""

    mode: str
    p50_ms: float
    p99_ms: float
    puts_per_run: float
    gets_per_run: float


async def measure(mode: RunOnceMode) -> RunCost:
    """Send RUNS runs to a fleet of three instances in turn."""
    plain = deployments.find("small")
    plans = [replace(plan, run_once=mode) for plan in plain.plans]
    deployment = replace(plain, plans=plans)
    profiles = [
        replace(profile, run_ms=RUN_MS) for profile in deployment.profiles()
    ]
    with TemporaryDirectory() as directory:
        fleet = Fleet(deployment, profiles, Policy("full"), Path(directory))
        try:
            await fleet.start()
            return await _measure(fleet, mode)
        finally:
            await fleet.stop()


async def _measure(fleet: Fleet, mode: RunOnceMode) -> RunCost:
    team = fleet.deployment.plans[0].team
    service = fleet.deployment.small_services[0]
    clients = [
        RunClient(process.caller_address, caller_key(team))
        for process in fleet.instance_by_name.values()
    ]
    keys = [f"run-{number}" for number in range(RUNS)]
    if mode is RunOnceMode.TICKET:
        keys = await clients[0].tickets(RUNS)
    before = (await fleet.platform_record()).calls_by_kind
    times_ms = []
    for number, key in enumerate(keys):
        request = RunRequest(service, "look-up", f"customer {number}")
        started_at = perf_counter()
        await clients[number % len(clients)].run(key, request)
        times_ms.append((perf_counter() - started_at) * 1000)
    after = (await fleet.platform_record()).calls_by_kind
    puts, gets = (
        (after.get(kind, 0) - before.get(kind, 0)) / RUNS
        for kind in COUNTED_CALLS
    )
    times_ms.sort()
    return RunCost(
        mode.value,
        median(times_ms),
        times_ms[int(RUNS * 0.99) - 1],
        puts,
        gets,
    )


async def main() -> None:
    """Measure both ways and print a Markdown table."""
    print("| way | p50 ms | p99 ms | writes a run | reads a run |")
    print("|---|---|---|---|---|")
    for mode in (RunOnceMode.RECORDED, RunOnceMode.TICKET):
        cost = await measure(mode)
        print(
            f"| {cost.mode} | {cost.p50_ms:.1f} | {cost.p99_ms:.1f} "
            f"| {cost.puts_per_run:.2f} | {cost.gets_per_run:.2f} |"
        )


if __name__ == "__main__":
    asyncio.run(main())
