"""Runs a scenario on a fleet and reports the measurements."""

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass
from os import getloadavg
from pathlib import Path
from tempfile import TemporaryDirectory
from time import time

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke_bench.actions import actions
from heatherdyke_bench.actions import substitute_zones
from heatherdyke_bench.deployments import Deployment
from heatherdyke_bench.errors import FleetError
from heatherdyke_bench.fleet import Fleet
from heatherdyke_bench.fleet import Policy
from heatherdyke_bench.load import LoadPlan
from heatherdyke_bench.load import LoadResult
from heatherdyke_bench.load import PhasePlan
from heatherdyke_bench.report import LeafTotals
from heatherdyke_bench.report import RunReport
from heatherdyke_bench.report import count_mixed_snapshot_requests
from heatherdyke_bench.report import received_request_ids
from heatherdyke_bench.report import report_phase
from heatherdyke_bench.scenario import Phase
from heatherdyke_bench.scenario import Scenario

LOAD_START_DELAY_S = 2.0

ProgressCallback = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Experiment:
    """One scenario on one deployment, with policies and seeds to compare.

    ``rate`` multiplies the search rates of all phases.
    """

    scenario: Scenario
    deployment: Deployment
    policies: list[Policy]
    seeds: list[int]
    rate: float = 1.0

    async def run(self, report_progress: ProgressCallback) -> list[RunReport]:
        """Run each seed under each policy, alternating the policies."""
        reports = []
        for seed in self.seeds:
            for policy in self.policies:
                report_progress(
                    f"{self.scenario.name}: {policy.name}, seed {seed}"
                )
                reports.append(await self._run_once(policy, seed))
        return reports

    async def _run_once(self, policy: Policy, seed: int) -> RunReport:
        with TemporaryDirectory(prefix="heatherdyke-bench-") as directory:
            profiles = [
                self.scenario.adjust_profile(profile, seed)
                for profile in self.deployment.profiles()
            ]
            path = Path(directory)
            fleet = Fleet(
                self.deployment, profiles, policy, path, self.scenario.proxied
            )
            try:
                await fleet.start()
                return await self._measure(fleet, seed, path)
            except FleetError:
                _print_failure_log(path)
                raise
            finally:
                await fleet.stop()

    async def _measure(
        self, fleet: Fleet, seed: int, directory: Path
    ) -> RunReport:
        starts_at = time() + LOAD_START_DELAY_S
        plan = self._load_plan(fleet, seed, starts_at)
        load_task = asyncio.create_task(_run_load(plan, directory, seed))
        totals = await self._run_phases(fleet, starts_at)
        result = await load_task
        records = await fleet.leaf_records()
        platform = await fleet.platform_record()
        received = received_request_ids(records)
        zone_by_comparable_leaf = {
            leaf: profile.zone
            for leaf, profile in fleet.profile_by_leaf.items()
            if leaf.rsplit(".", 2)[0] in self.deployment.small_services
        }
        return RunReport(
            scenario=self.scenario.name,
            deployment=self.deployment.name,
            policy=fleet.policy.name,
            seed=seed,
            phase_by_name={
                phase.name: report_phase(
                    result.by_phase[phase.name],
                    totals[number],
                    totals[number + 1],
                    zone_by_comparable_leaf,
                    received,
                )
                for number, phase in enumerate(self.scenario.phases)
                if phase.measured
            },
            platform_calls=platform.calls_by_kind,
            watches_waiting_max=platform.watches_waiting_max,
            cold_s_max=LeafTotals.from_records(records).cold_s_max,
            mixed_requests=count_mixed_snapshot_requests(records),
            load_average=getloadavg()[0],
        )

    def _load_plan(
        self, fleet: Fleet, seed: int, starts_at: float
    ) -> LoadPlan:
        return LoadPlan(
            addresses=[
                p.caller_address for p in fleet.instance_by_name.values()
            ],
            classes=self.deployment.classes,
            services=self.deployment.small_services,
            phases=[
                PhasePlan(p.name, p.seconds, p.rate * self.rate)
                for p in self.scenario.phases
            ],
            seed=seed,
            starts_at=starts_at,
        )

    async def _run_phases(
        self, fleet: Fleet, starts_at: float
    ) -> list[LeafTotals]:
        """Run the actions; return the leaf totals at each phase boundary."""
        await asyncio.sleep(max(0.0, starts_at - time()))
        totals = [LeafTotals.from_records(await fleet.leaf_records())]
        for phase in self.scenario.phases:
            await _run_actions(fleet, phase, starts_at)
            starts_at += phase.seconds
            await asyncio.sleep(max(0.0, starts_at - time()))
            totals.append(LeafTotals.from_records(await fleet.leaf_records()))
        return totals


async def _run_actions(fleet: Fleet, phase: Phase, starts_at: float) -> None:
    for action in sorted(phase.actions, key=lambda a: a.at_s):
        await asyncio.sleep(max(0.0, starts_at + action.at_s - time()))
        values = substitute_zones(action.values, fleet.deployment.zones)
        await actions.find(action.do)(fleet, values)


async def _run_load(plan: LoadPlan, directory: Path, seed: int) -> LoadResult:
    path = directory / f"load-{seed}.json"
    path.write_bytes(encode(plan))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "heatherdyke_bench.load",
        str(path),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise FleetError(
            f"the load generator exited with status {process.returncode}",
            "read its traceback",
        )
    return decode(output, LoadResult)


def _print_failure_log(directory: Path) -> None:
    for log in sorted(directory.glob("*.log")):
        text = log.read_text()
        if text and "Traceback" in text:
            sys.stderr.write(f"--- {log.name}\n{text[-2000:]}\n")
            return
