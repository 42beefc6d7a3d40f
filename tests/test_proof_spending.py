"""End-to-end test of a team's spending limit, with real processes.

It counts the searches in the records of the leaves.  Hedging is disabled, so
that every leaf search is charged to the team.
"""

import asyncio
from dataclasses import replace
from time import monotonic

from heatherdyke.callers.client import CallerClient
from heatherdyke.callers.client import RequestRefused
from heatherdyke.config.model import SpendingConfig
from heatherdyke.messages import SearchRequest
from heatherdyke.request_errors import RunState
from heatherdyke.standin.platform import PlatformFaults
from heatherdyke_bench.admin_client import set_faults
from heatherdyke_bench.deployments import Deployment
from heatherdyke_bench.deployments import caller_key
from tests.small_fleet import TEAM
from tests.small_fleet import URGENCY
from tests.small_fleet import small_deployment
from tests.small_fleet import start_fleet

LIMIT = SpendingConfig(leaf_searches_per_s=20.0, burst=12.0)
SEARCHES = 120
FAN_OUT = 2


class LimitedDeployment(Deployment):
    """A deployment whose team has a spending limit."""

    def sections(self, *arguments):
        sections = super().sections(*arguments)
        limited = replace(sections[TEAM], spending=LIMIT)
        return sections | {TEAM: limited}


def limited_deployment():
    plain = small_deployment(services=FAN_OUT)
    return LimitedDeployment(
        plain.name, plain.zones, plain.instances, plain.plans, plain.classes
    )


async def spend(directory, disable):
    """Search on all instances, with a platform outage in the second half."""
    deployment = limited_deployment()
    problems = []
    async with start_fleet(directory, disable, deployment) as fleet:
        request = SearchRequest(
            deployment.small_services, "via milano", URGENCY.name
        )
        clients = [
            CallerClient(process.caller_address, caller_key(TEAM))
            for process in fleet.instance_by_name.values()
        ]
        started_at = monotonic()
        for number in range(SEARCHES):
            if number == SEARCHES // 2:
                await set_faults(
                    fleet.platform.address, PlatformFaults(outage=True)
                )
            try:
                await clients[number % len(clients)].search(request)
            except RequestRefused as error:
                problems.append(error.problem)
        elapsed_s = monotonic() - started_at
        records = await fleet.leaf_records()
    spent = sum(
        incarnation.searches
        for record in records.values()
        for incarnation in record.incarnations
    )
    bound = LIMIT.leaf_searches_per_s * elapsed_s + LIMIT.burst
    return spent, bound + len(clients) * FAN_OUT, problems


class TestSpendingLimit:
    def test_is_exceeded_without_the_mechanism(self, tmp_path):
        spent, bound, problems = asyncio.run(
            spend(tmp_path, "hedging,spending")
        )
        assert spent > bound
        assert not problems

    def test_holds_across_all_instances(self, tmp_path):
        spent, bound, problems = asyncio.run(spend(tmp_path, "hedging"))
        assert 0 < spent <= bound
        assert problems
        for problem in problems:
            assert problem.kind == "spending_limit"
            assert problem.status == 429
            assert problem.run_state is RunState.NOT_RUN
            assert problem.retry_after_s
