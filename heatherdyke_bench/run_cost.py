"""Measures the cost of one run-once request, by record and by ticket.

``python -m heatherdyke_bench.run_cost`` starts a small fleet, sends runs
one after another and prints their latency and platform writes and reads.
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

RUN_COUNT = 200
RUN_MS = 5.0
COUNTED_CALLS = ("PUT /objects", "GET /objects")


@dataclass(frozen=True, slots=True)
class RunCost:
    """The cost of a run; latencies include the time at the leaf."""

    mode: str
    p50_ms: float
    p99_ms: float
    puts_per_run: float
    gets_per_run: float


async def measure(mode: RunOnceMode) -> RunCost:
    """Send RUN_COUNT runs round robin to a fleet of three instances."""
    base = deployments.find("small")
    plans = [replace(plan, run_once=mode) for plan in base.plans]
    deployment = replace(base, plans=plans)
    profiles = [
        replace(profile, run_ms=RUN_MS) for profile in deployment.profiles()
    ]
    with TemporaryDirectory() as directory:
        fleet = Fleet(deployment, profiles, Policy("full"), Path(directory))
        try:
            await fleet.start()
            return await _measure_runs(fleet, mode)
        finally:
            await fleet.stop()


async def _measure_runs(fleet: Fleet, mode: RunOnceMode) -> RunCost:
    team = fleet.deployment.plans[0].team
    service = fleet.deployment.small_services[0]
    clients = [
        RunClient(process.caller_address, caller_key(team))
        for process in fleet.instance_by_name.values()
    ]
    keys = [f"run-{number}" for number in range(RUN_COUNT)]
    if mode is RunOnceMode.TICKET:
        keys = await clients[0].tickets(RUN_COUNT)
    before = (await fleet.platform_record()).calls_by_kind
    times_ms = []
    for number, key in enumerate(keys):
        request = RunRequest(service, "look-up", f"customer {number}")
        started_at = perf_counter()
        await clients[number % len(clients)].run(key, request)
        times_ms.append((perf_counter() - started_at) * 1000)
    after = (await fleet.platform_record()).calls_by_kind
    puts, gets = (
        (after.get(kind, 0) - before.get(kind, 0)) / RUN_COUNT
        for kind in COUNTED_CALLS
    )
    times_ms.sort()
    return RunCost(
        mode.value,
        median(times_ms),
        times_ms[int(RUN_COUNT * 0.99) - 1],
        puts,
        gets,
    )


async def main() -> None:
    """Measure both modes and print a Markdown table."""
    print("| mode | p50 ms | p99 ms | writes per run | reads per run |")
    print("|---|---|---|---|---|")
    for mode in (RunOnceMode.RECORDED, RunOnceMode.TICKET):
        cost = await measure(mode)
        print(
            f"| {cost.mode} | {cost.p50_ms:.1f} | {cost.p99_ms:.1f} "
            f"| {cost.puts_per_run:.2f} | {cost.gets_per_run:.2f} |"
        )


if __name__ == "__main__":
    asyncio.run(main())
