"""Open-loop load: Poisson arrivals with fixed seeds, over HTTP.

Latency is measured from the scheduled send time, so that a slow system does
not reduce its own load (coordinated omission).  The generator runs as a
process of its own: ``python -m heatherdyke_bench.load PLAN-FILE``.
"""

import asyncio
import sys
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from random import Random
from time import time

import msgspec
from hdrh.histogram import HdrHistogram

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import TransportError
from heatherdyke.messages import SearchAnswer
from heatherdyke.messages import SearchRequest
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.request_errors import RunState
from heatherdyke.standin.leaf_content import generate_items
from heatherdyke_bench.admin_client import is_ready
from heatherdyke_bench.deployments import LoadClass
from heatherdyke_bench.deployments import caller_key
from heatherdyke_bench.deployments import qualified_shard_name

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
READY_CHECK_INTERVAL_S = 1.0
READY_CHECK_TIMEOUT_S = 0.5
ANSWER_GRACE_S = 3.0
ANSWERS_PER_ITEM_CHECK = 10


@dataclass(frozen=True, slots=True)
class PhasePlan:
    """A phase of the load; ``rate`` is a multiple of the full rate."""

    name: str
    seconds: float
    rate: float


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The load of one generator; ``starts_at`` is Unix time in seconds."""

    addresses: list[str]
    classes: list[LoadClass]
    services: list[str]
    phases: list[PhasePlan]
    seed: int
    starts_at: float


@dataclass(frozen=True, slots=True)
class RefusedSearch:
    """A search that was answered with an error."""

    request_id: str
    kind: str
    run_state: RunState
    detail: str = ""


@dataclass(slots=True)
class ClassResult:
    """Outcomes of one class of searches in one phase.

    ``useful`` answers arrived within the class's deadline and with its
    wanted coverage.  ``cost`` is the sum of the answers' costs, and
    ``needed`` the number of leaf searches that the answers needed, one per
    service.  ``mixed`` answers contain items of another snapshot than the
    one they name.  ``wrong`` answers contain other items than the shards
    hold; one answer in ANSWERS_PER_ITEM_CHECK is checked.  ``broken``
    searches ended in a transport error.  ``histogram`` is hdrhistogram's
    encoding of latencies in microseconds.
    """

    sent: int = 0
    answered: int = 0
    useful: int = 0
    useful_by_second: dict[int, int] = field(default_factory=Counter)
    worst_ms_by_second: dict[int, float] = field(default_factory=dict)
    coverage_sum: float = 0.0
    coverage_min: float = 1.0
    cost: int = 0
    needed: int = 0
    mixed: int = 0
    wrong: int = 0
    broken: int = 0
    refused: list[RefusedSearch] = field(default_factory=list)
    histogram: str = ""


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Results by phase and class; seconds are since the start of the load."""

    by_phase: dict[str, dict[str, ClassResult]]


@dataclass(frozen=True, slots=True)
class _ProblemBody:
    kind: str = "unknown"
    run_state: RunState = RunState.MAY_HAVE_RUN
    request_id: str = ""
    detail: str = ""


class RoundRobinBalancer:
    """Spreads requests over the instances that passed the last check."""

    __slots__ = ("_addresses", "_ready", "_next_index", "_idle_by_address")

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._ready = list(addresses)
        self._next_index = 0
        self._idle_by_address: dict[str, list[HttpConnection]] = {
            address: [] for address in addresses
        }

    async def watch_readiness(self) -> None:
        """Check all instances' readiness at intervals until cancelled."""
        while True:
            checks = [
                _is_ready_in_time(address) for address in self._addresses
            ]
            answers = await asyncio.gather(*checks)
            pairs = zip(self._addresses, answers, strict=True)
            self._ready = [a for a, ready in pairs if ready]
            await asyncio.sleep(READY_CHECK_INTERVAL_S)

    async def acquire(self) -> HttpConnection:
        """Return a connection to the next instance.

        An instance that refuses the connection is skipped, which is safe
        since nothing was sent.  Raises TransportError.
        """
        choices = self._ready or self._addresses
        for _ in range(len(choices)):
            self._next_index += 1
            address = choices[self._next_index % len(choices)]
            idle = self._idle_by_address[address]
            while idle:
                connection = idle.pop()
                if connection.usable:
                    return connection
            try:
                return await HttpConnection.open(address, 1.0)
            except TransportError:
                continue
        raise TransportError("no instance accepts connections", sent=False)

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool of idle ones."""
        if connection.usable:
            self._idle_by_address[connection.address].append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle_by_address.values():
            while idle:
                idle.pop().close()


class LoadGenerator:
    """Sends the searches of a plan and measures the answers."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._random = Random(plan.seed)
        self._balancer = RoundRobinBalancer(plan.addresses)
        self._tasks: set[asyncio.Task] = set()
        self._result_by_key: dict[tuple[str, str], ClassResult] = {}
        self._histogram_by_key: dict[tuple[str, str], HdrHistogram] = {}

    async def run(self) -> LoadResult:
        """Send everything and wait for the last answer."""
        readiness_task = asyncio.create_task(self._balancer.watch_readiness())
        await asyncio.sleep(max(0.0, self._plan.starts_at - time()))
        phase_start = self._plan.starts_at
        for phase in self._plan.phases:
            await self._run_phase(phase, phase_start)
            phase_start += phase.seconds
        await asyncio.gather(*self._tasks)
        readiness_task.cancel()
        self._balancer.close()
        return self._collect()

    async def _run_phase(self, phase: PhasePlan, starts_at: float) -> None:
        for offset_s, load_class in self._arrivals(phase):
            scheduled_at = starts_at + offset_s
            await asyncio.sleep(max(0.0, scheduled_at - time()))
            request = self._make_request(load_class)
            task = asyncio.create_task(
                self._search(phase.name, load_class, request, scheduled_at)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.sleep(max(0.0, starts_at + phase.seconds - time()))

    def _arrivals(self, phase: PhasePlan) -> list[tuple[float, LoadClass]]:
        arrivals = []
        for load_class in self._plan.classes:
            rate_per_s = load_class.rate_per_s * phase.rate
            self._key(phase.name, load_class.name)
            at_s = self._random.expovariate(rate_per_s)
            while at_s < phase.seconds:
                arrivals.append((at_s, load_class))
                at_s += self._random.expovariate(rate_per_s)
        return sorted(arrivals, key=lambda arrival: arrival[0])

    def _make_request(self, load_class: LoadClass) -> SearchRequest:
        services = self._plan.services
        if load_class.services < len(services):
            services = self._random.sample(services, load_class.services)
        return SearchRequest(
            services=services,
            query=f"via milano {self._random.randrange(1000)}",
            urgency=load_class.name,
            limit=load_class.limit,
        )

    async def _search(
        self,
        phase: str,
        load_class: LoadClass,
        request: SearchRequest,
        scheduled_at: float,
    ) -> None:
        key = self._key(phase, load_class.name)
        result = self._result_by_key[key]
        result.sent += 1
        timeout_s = load_class.deadline_ms / 1000 + ANSWER_GRACE_S
        header = f"Authorization: Bearer {caller_key(load_class.team)}\r\n"
        try:
            connection = await self._balancer.acquire()
            response = await connection.request(
                "POST", "/search", encode(request), timeout_s, header
            )
        except TransportError:
            result.broken += 1
            return
        self._balancer.release(connection)
        elapsed_ms = (time() - scheduled_at) * 1000
        if response.status != 200:
            _count_refusal(result, response.body)
            return
        self._histogram_by_key[key].record_value(int(elapsed_ms * 1000))
        answer = decode(response.body, SearchAnswer)
        second = int(scheduled_at - self._plan.starts_at)
        _count_answer(result, load_class, answer, elapsed_ms, second)
        if result.answered % ANSWERS_PER_ITEM_CHECK == 0:
            result.wrong += not _has_expected_items(request, answer)

    def _key(self, phase: str, load_class: str) -> tuple[str, str]:
        key = (phase, load_class)
        if key not in self._result_by_key:
            self._result_by_key[key] = ClassResult()
            self._histogram_by_key[key] = HdrHistogram(
                1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
        return key

    def _collect(self) -> LoadResult:
        by_phase: dict[str, dict[str, ClassResult]] = {}
        for (phase, name), result in self._result_by_key.items():
            encoded = self._histogram_by_key[phase, name].encode()
            result.histogram = encoded.decode("ascii")
            by_phase.setdefault(phase, {})[name] = result
        return LoadResult(by_phase)


async def _is_ready_in_time(address: str) -> bool:
    try:
        async with asyncio.timeout(READY_CHECK_TIMEOUT_S):
            return await is_ready(address)
    except (TransportError, TimeoutError):
        return False


def _count_refusal(result: ClassResult, body: bytes) -> None:
    try:
        problem = decode(body, _ProblemBody)
    except msgspec.DecodeError:
        problem = _ProblemBody(detail=body[:200].decode(errors="replace"))
    result.refused.append(
        RefusedSearch(
            problem.request_id,
            problem.kind,
            problem.run_state,
            problem.detail,
        )
    )


def _count_answer(
    result: ClassResult,
    load_class: LoadClass,
    answer: SearchAnswer,
    elapsed_ms: float,
    second: int,
) -> None:
    result.answered += 1
    result.coverage_sum += answer.coverage_share
    result.coverage_min = min(result.coverage_min, answer.coverage_share)
    result.cost += answer.cost
    result.needed += load_class.services
    marker = f"/{answer.snapshot}/"
    result.mixed += any(marker not in item.id for item in answer.items)
    worst_ms = result.worst_ms_by_second.get(second, 0.0)
    result.worst_ms_by_second[second] = max(worst_ms, elapsed_ms)
    in_time = elapsed_ms <= load_class.deadline_ms
    if in_time and answer.coverage_share >= load_class.wanted_coverage:
        result.useful += 1
        result.useful_by_second[second] += 1


def _has_expected_items(request: SearchRequest, answer: SearchAnswer) -> bool:
    """Compare the answer's scores with those of the covered shards."""
    missing = set(answer.coverage.missing)
    shards = {
        qualified_shard_name(f"{service}.0") for service in request.services
    }
    expected = [
        item
        for shard in sorted(shards - missing)
        for item in generate_items(shard, answer.snapshot, request.query)
    ]
    expected.sort(key=lambda item: (-item.score, item.id))
    best = [item.score for item in expected[: request.limit]]
    return best == [item.score for item in answer.items]


def main() -> None:
    """Run the plan in the given file and print the result as JSON."""
    plan = decode(Path(sys.argv[1]).read_bytes(), LoadPlan)
    result = asyncio.run(LoadGenerator(plan).run())
    sys.stdout.buffer.write(encode(result))


if __name__ == "__main__":
    main()
