"""Fleet-wide reports: the merged timeline and statistics."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from heatherdyke.clock import Clock
from heatherdyke.errors import NoInstanceReachable
from heatherdyke.observe.fleet_client import FleetResponses
from heatherdyke.observe.fleet_client import UnreachableInstance
from heatherdyke.observe.fleet_client import discover_instances
from heatherdyke.observe.fleet_client import fetch_from_instances
from heatherdyke.observe.http_api import KnownInstance
from heatherdyke.observe.journal import Event
from heatherdyke.observe.journal import EventPage
from heatherdyke.observe.metrics import CounterSeries
from heatherdyke.observe.metrics import LatencySummary
from heatherdyke.observe.metrics import StatsPage
from heatherdyke.observe.metrics import merge_stats
from heatherdyke.observe.metrics import summarise
from heatherdyke.observe.reorder_buffer import ReorderBuffer
from heatherdyke.observe.timeline import EventFilter
from heatherdyke.observe.timeline import merge_events

POLL_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class TimelineReport:
    """The merged events, and which are missing."""

    events: list[Event] = field(default_factory=list)
    unreachable: list[UnreachableInstance] = field(default_factory=list)
    overwritten_by_instance: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StatsReport:
    """The merged series, and which instances are not included."""

    instances: int
    latencies: list[LatencySummary] = field(default_factory=list)
    counters: list[CounterSeries] = field(default_factory=list)
    unreachable: list[UnreachableInstance] = field(default_factory=list)


async def read_timeline(
    instance: str, platform: str, event_filter: EventFilter
) -> TimelineReport:
    """Return the matching events of all instances, in causal order."""
    instances = await discover_instances(instance, platform)
    responses = await fetch_from_instances(
        instances, lambda _: "/events", EventPage
    )
    _require_responses(responses)
    pages = responses.page_by_address.values()
    return TimelineReport(
        merge_events([page.events for page in pages], event_filter),
        responses.unreachable,
        {p.instance: p.overwritten for p in pages if p.overwritten},
    )


async def follow_timeline(
    instance: str,
    platform: str,
    event_filter: EventFilter,
    show: Callable[[Event], None],
    warn: Callable[[str], None],
) -> None:
    """Pass new matching events to ``show`` until cancelled.

    ``warn`` is called when an instance becomes unreachable or reachable
    again.
    """
    buffer = ReorderBuffer(event_filter)
    after_by_address: dict[str, int] = {}
    unreachable: set[str] = set()
    clock = Clock()
    instances = await discover_instances(instance, platform)

    def target(known: KnownInstance) -> str:
        return f"/events?after={after_by_address.get(known.address, 0)}"

    while True:
        responses = await fetch_from_instances(instances, target, EventPage)
        for address, page in responses.page_by_address.items():
            after_by_address[address] = page.next_after
        buffer.add([p.events for p in responses.page_by_address.values()])
        for event in buffer.release(int(clock.wall() * 1000)):
            show(event)
        unreachable = _report_changes(unreachable, responses.unreachable, warn)
        await asyncio.sleep(POLL_INTERVAL_S)
        instances = await _rediscover_instances(instances, instance, platform)


async def read_stats(instance: str, platform: str) -> StatsReport:
    """Return the merged series of all instances."""
    instances = await discover_instances(instance, platform)
    responses = await fetch_from_instances(
        instances, lambda _: "/stats", StatsPage
    )
    _require_responses(responses)
    merged = merge_stats(responses.page_by_address.values())
    return StatsReport(
        len(responses.page_by_address),
        [summarise(series) for series in merged.latencies],
        merged.counters,
        responses.unreachable,
    )


def describe_unreachable(missing: UnreachableInstance) -> str:
    """Return a message on an instance that could not be reached."""
    return f"not reached: {missing.instance.name}: {missing.reason}"


async def _rediscover_instances(
    known: list[KnownInstance], instance: str, platform: str
) -> list[KnownInstance]:
    """Add newly listed instances to ``known``.

    Instances that are no longer listed are kept, as they may reappear.
    """
    try:
        found = await discover_instances(instance, platform)
    except NoInstanceReachable:
        return known
    known_by_address = {known.address: known for known in [*known, *found]}
    return list(known_by_address.values())


def _require_responses(responses: FleetResponses) -> None:
    if not responses.page_by_address:
        reasons = "; ".join(
            missing.reason for missing in responses.unreachable
        )
        raise NoInstanceReachable(
            f"none of {len(responses.unreachable)} instances responded: "
            f"{reasons}",
            "check the addresses and that the instances are running",
        )


def _report_changes(
    unreachable_before: set[str],
    unreachable: list[UnreachableInstance],
    warn: Callable[[str], None],
) -> set[str]:
    unreachable_now = {missing.instance.name for missing in unreachable}
    for missing in unreachable:
        if missing.instance.name not in unreachable_before:
            warn(describe_unreachable(missing))
    for name in sorted(unreachable_before - unreachable_now):
        warn(f"reached again: {name}")
    return unreachable_now
