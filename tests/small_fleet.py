"""A small fleet of real processes with a fault proxy before its leaves."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from pathlib import Path

from heatherdyke.callers.client import CallerClient
from heatherdyke.callers.client import RequestRefused
from heatherdyke.errors import HeatherdykeError
from heatherdyke.messages import SearchAnswer
from heatherdyke.messages import SearchRequest
from heatherdyke.standin.fault_proxy import FaultProxy
from heatherdyke.standin.fault_proxy import ProxyConfig
from heatherdyke.standin.fault_proxy import RouteConfig
from heatherdyke.standin.free_address import free_address
from heatherdyke.standin.leaf_content import generate_items
from heatherdyke.standin.leaf_model import LeafIncarnationRecord
from heatherdyke.standin.leaf_model import LeafProfile
from heatherdyke_bench.admin_client import is_ready
from heatherdyke_bench.deployments import Deployment
from heatherdyke_bench.deployments import LeafKind
from heatherdyke_bench.deployments import LoadClass
from heatherdyke_bench.deployments import ServicePlan
from heatherdyke_bench.deployments import caller_key
from heatherdyke_bench.fleet import Fleet
from heatherdyke_bench.fleet import Policy
from heatherdyke_bench.process import FleetProcess

TEAM = "permits"
ZONES = ["brescia", "bergamo", "verona"]
URGENCY = LoadClass("foreman", TEAM, 1, 1.0, 2000, 1.0, 0, 10)
CONDITION_TIMEOUT_S = 40.0
CONDITION_CHECK_S = 0.02


def small_deployment(
    services: int = 2, instances: int = 3, replicas: int = 2, slots: int = 3
) -> Deployment:
    """Return a deployment of one index with one shard per service."""
    names = [f"permits{number:02d}" for number in range(services)]
    kind = LeafKind(slots, 30, 1.0)
    plan = ServicePlan(TEAM, names, TEAM, 1, replicas, kind)
    return Deployment("small", ZONES, instances, [plan], [URGENCY])


class ProxiedFleet(Fleet):
    """A fleet whose instances reach each leaf through a proxy route."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.proxy: FaultProxy | None = None

    async def start(self) -> None:
        self.proxy = None
        await super().start()

    async def stop(self) -> None:
        await super().stop()
        if self.proxy is not None:
            await self.proxy.stop()

    async def leaf_addresses(self) -> dict[str, str]:
        proxy_address_by_leaf = {
            leaf: free_address() for leaf in self.leaf_by_name
        }
        routes = [
            RouteConfig(leaf, proxy_address, self.leaf_by_name[leaf].address)
            for leaf, proxy_address in proxy_address_by_leaf.items()
        ]
        self.proxy = FaultProxy(ProxyConfig(routes))
        await self.proxy.start()
        return proxy_address_by_leaf


@asynccontextmanager
async def start_fleet(
    directory: Path,
    disable: str = "",
    deployment: Deployment | None = None,
    **profile: object,
) -> AsyncIterator[ProxiedFleet]:
    """Run a fleet; ``profile`` overrides fields of all leaf profiles."""
    deployment = deployment or small_deployment()
    profiles: list[LeafProfile] = [
        replace(p, service_ms=2.0, **profile) for p in deployment.profiles()
    ]
    policy = Policy("proof", disable)
    fleet = ProxiedFleet(deployment, profiles, policy, directory)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


@dataclass(slots=True)
class Outcomes:
    """The outcomes of requests: answers, refusals and other errors."""

    answers: list[tuple[SearchRequest, SearchAnswer]] = field(
        default_factory=list
    )
    refused: list[RequestRefused] = field(default_factory=list)
    broken: list[HeatherdykeError] = field(default_factory=list)

    def wrong_answers(self) -> list[SearchAnswer]:
        """Return the answers with full coverage but incorrect items."""
        return [
            answer
            for request, answer in self.answers
            if answer.coverage_share >= 1.0 and not is_correct(request, answer)
        ]


class Callers:
    """Callers that search all services of a fleet in a loop.

    With ``skip_unready`` they send nothing to an instance that reports
    that it is not ready, as a load balancer does.
    """

    def __init__(
        self, fleet: Fleet, limit: int = 10, skip_unready: bool = False
    ) -> None:
        self.outcomes = Outcomes()
        self._fleet = fleet
        self._limit = limit
        self._skip_unready = skip_unready
        self._tasks: list[asyncio.Task] = []
        self._number = 0
        self._running = True

    async def __aenter__(self) -> "Callers":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    def start(self, count: int, instances: list[str] | None = None) -> None:
        """Start ``count`` callers, assigned to the instances round robin."""
        names = instances or list(self._fleet.instance_by_name)
        for number in range(count):
            name = names[number % len(names)]
            self._tasks.append(asyncio.create_task(self._search(name)))

    async def stop(self) -> Outcomes:
        """Let each caller finish its request and return the outcomes."""
        self._running = False
        await asyncio.gather(*self._tasks)
        return self.outcomes

    async def wait_for_answers(self, count: int) -> None:
        """Wait for ``count`` more answers."""
        target = len(self.outcomes.answers) + count
        await wait_until(lambda: len(self.outcomes.answers) >= target)

    async def _search(self, name: str) -> None:
        process = self._fleet.find_instance(name)
        while self._running and process.running:
            if self._skip_unready and not await is_instance_ready(process):
                await asyncio.sleep(CONDITION_CHECK_S)
                continue
            self._number += 1
            request = SearchRequest(
                self._fleet.deployment.small_services,
                f"query {self._number}",
                URGENCY.name,
                limit=self._limit,
            )
            client = CallerClient(process.caller_address, caller_key(TEAM))
            try:
                answer = await client.search(request)
            except RequestRefused as error:
                self.outcomes.refused.append(error)
            except HeatherdykeError as error:
                self.outcomes.broken.append(error)
                await asyncio.sleep(CONDITION_CHECK_S)
            else:
                self.outcomes.answers.append((request, answer))


def is_correct(request: SearchRequest, answer: SearchAnswer) -> bool:
    """Tell whether the answer has the best items of its snapshot."""
    items = [
        item
        for service in request.services
        for item in generate_items(
            f"{service}/{service}.0", answer.snapshot, request.query
        )
    ]
    best = sorted(items, key=lambda item: (-item.score, item.id))
    expected = {(item.id, item.score) for item in best[: request.limit]}
    return expected == {(item.id, item.score) for item in answer.items}


async def is_instance_ready(process: FleetProcess) -> bool:
    """Tell whether the instance is reachable and reports ready."""
    try:
        return await is_ready(process.address)
    except HeatherdykeError:
        return False


async def latest_records(fleet: Fleet) -> dict[str, LeafIncarnationRecord]:
    """Return the record of each leaf's newest incarnation, by leaf."""
    records = await fleet.leaf_records()
    return {leaf: r.incarnations[-1] for leaf, r in records.items()}


async def wait_until(condition, timeout_s: float = CONDITION_TIMEOUT_S):
    """Wait for a condition, which may be a coroutine function."""
    async with asyncio.timeout(timeout_s):
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(CONDITION_CHECK_S)
