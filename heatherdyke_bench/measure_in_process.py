"""Measures CPU time, memory and message sizes within this process."""

import tracemalloc
from collections.abc import Callable
from time import process_time

import msgspec

from heatherdyke.codec import encode
from heatherdyke.config.index import ConfigIndex
from heatherdyke.config.model import LeafConfig
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import SectionPointer
from heatherdyke.config.model import ServiceConfig
from heatherdyke.config.model import ShardConfig
from heatherdyke.config.state import ConfigDelta
from heatherdyke.config.state import ConfigState
from heatherdyke.config.state import SectionUpdate
from heatherdyke.membership.core import ALL_ZONES_HEARTBEAT_PERIOD
from heatherdyke.membership.home_lease import HomeLease
from heatherdyke.membership.home_lease import LeaseTiming
from heatherdyke.membership.messages import Heartbeat
from heatherdyke.membership.messages import LifecycleState
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import Roster
from heatherdyke.membership.messages import ZoneView
from heatherdyke.membership.zone_membership import ZoneMembership
from heatherdyke.messages import InstanceKind
from heatherdyke.messages import ListedInstance
from heatherdyke.observe.events import LEAF_COLD
from heatherdyke.observe.journal import Journal
from heatherdyke.observe.metrics import Metrics
from heatherdyke_bench.slopes import Point
from heatherdyke_bench.slopes import Series
from heatherdyke_bench.slopes import measurements

LEAVES_PER_SECTION = 164
ZONES = 20
REPEATS = 5


def make_section(team: str, leaves: int) -> SectionConfig:
    """Return a section with one service whose shards have two leaves."""
    ids = [f"{team}-leaf-{number:05d}" for number in range(leaves)]
    shards = {
        str(number): ShardConfig([ids[number], ids[number - 1]])
        for number in range(leaves)
    }
    return SectionConfig(
        team,
        {f"{team}-service": ServiceConfig(team, shards)},
        {
            leaf: LeafConfig(
                f"10.0.{n // 250}.{n % 250}:8080", "zone-1", 3, 30
            )
            for n, leaf in enumerate(ids)
        },
    )


def make_section_update(team: str, leaves: int, version: int) -> SectionUpdate:
    """Return the update that distributes an edit of ``make_section``."""
    pointer = SectionPointer(version, f"config/{team}/{version}", "edit")
    raw = msgspec.Raw(encode(make_section(team, leaves)))
    return SectionUpdate(team, pointer, raw)


@measurements.register("sections")
def measure_sections() -> list[Series]:
    """Measure an edit's size and CPU time for sections of several sizes."""
    size: list[Point] = []
    apply: list[Point] = []
    for leaves in (20, 80, 160, 320, 640):
        updates = [
            make_section_update("team", leaves, v) for v in range(1, 40)
        ]
        deltas = [ConfigDelta(u.pointer.version, [u]) for u in updates]
        state = ConfigState()
        size.append(Point(leaves, len(encode(deltas[0]))))
        started_at = process_time()
        for delta in deltas:
            state.merge(delta)
        apply.append(Point(leaves, _mean_ms_since(started_at, len(deltas))))
    return [
        Series("edit_bytes", "leaves in the section", "B an edit", size),
        Series("edit_apply", "leaves in the section", "ms an edit", apply),
    ]


@measurements.register("document")
def measure_document() -> list[Series]:
    """Measure the document's memory and index time by number of leaves."""
    memory: list[Point] = []
    index: list[Point] = []
    for sections in (10, 20, 30, 40, 50):
        leaves = sections * LEAVES_PER_SECTION
        state, size = _measure_bytes(lambda n=sections: _state_of(n))
        memory.append(Point(leaves, size / 1e6))
        started_at = process_time()
        for _ in range(REPEATS):
            ConfigIndex.from_document(state.document)
        index.append(Point(leaves, _mean_ms_since(started_at, REPEATS)))
    return [
        Series("document_memory", "leaves", "MB", memory),
        Series("document_index", "leaves", "ms an edit", index),
    ]


@measurements.register("heartbeats")
def measure_heartbeats() -> list[Series]:
    """Measure how many targets a member has, and a heartbeat's size."""
    target_counts: list[Point] = []
    for members in (10, 20, 30, 40, 55):
        target_counts.append(Point(members, _mean_targets(members)))
    size = [
        Point(zones, _mean_heartbeat_bytes(zones)) for zones in (1, 5, 10, 20)
    ]
    return [
        Series(
            "heartbeat_targets",
            "members of the zone",
            "targets",
            target_counts,
        ),
        Series("heartbeat_bytes", "zones", "B a heartbeat", size),
    ]


@measurements.register("listing")
def measure_listing() -> list[Series]:
    """Measure the size of the platform's instance list."""
    points = []
    for count in (100, 1000, 4000, 9300):
        rows = [
            ListedInstance(
                f"leaf-{n:05d}",
                InstanceKind.BACKEND,
                "zone-01",
                f"10.0.{n // 250}.{n % 250}:8080",
                "0123456789ab",
            )
            for n in range(count)
        ]
        points.append(Point(count, len(encode(rows)) / 1000))
    return [Series("list_bytes", "rows of the list", "kB a read", points)]


@measurements.register("observing")
def measure_observing() -> list[Series]:
    """Measure the memory of events and of latency series."""
    events = []
    for count in (1000, 2000, 4000, 8000):
        _, size = _measure_bytes(lambda n=count: _journal_of(n))
        events.append(Point(count, size / 1e6))
    series = []
    for count in (64, 128, 256, 512):
        _, size = _measure_bytes(lambda n=count: _metrics_of(n))
        series.append(Point(count, size / 1e6))
    return [
        Series("journal_memory", "events", "MB", events),
        Series("metrics_memory", "latency series", "MB", series),
    ]


def _mean_ms_since(started_at: float, repeats: int) -> float:
    return (process_time() - started_at) / repeats * 1000


def _measure_bytes(build: Callable) -> tuple:
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, size


def _state_of(sections: int) -> ConfigState:
    state = ConfigState()
    for number in range(1, sections + 1):
        update = make_section_update(
            f"team-{number}", LEAVES_PER_SECTION, number
        )
        state.merge(ConfigDelta(number, [update]))
    return state


def _journal_of(count: int) -> Journal:
    journal = Journal("a", "zone-1", capacity=count)
    for number in range(count):
        journal.record(
            LEAF_COLD, leaf=f"leaf-{number}", zone="zone-1", cause="a shed"
        )
    return journal


def _metrics_of(count: int) -> Metrics:
    metrics = Metrics()
    for number in range(count):
        metrics.record_latency("leaf_search", str(number), 0.002)
    return metrics


def _members(count: int) -> tuple[Member, ...]:
    return tuple(
        Member(f"entry-{n:04d}", "zone-1", f"10.1.0.{n}:8080", f"{n:012d}")
        for n in range(count)
    )


def _mean_targets(count: int) -> float:
    members = _members(count)
    total = 0
    for me in members:
        lease = HomeLease(me, "zone-1", LeaseTiming())
        lease.apply_roster(1, Roster("zone-1", 1, members), 0.0)
        total += len(
            ZoneMembership(me, "zone-1", lease, 0.5).heartbeat_targets()
        )
    return total / count


def _mean_heartbeat_bytes(zones: int) -> float:
    """Return the mean size of a heartbeat.

    One heartbeat in ALL_ZONES_HEARTBEAT_PERIOD covers all zones, the others
    only the own zone.
    """
    own_zone = len(encode(_heartbeat(1)))
    all_zones = len(encode(_heartbeat(zones)))
    return own_zone + (all_zones - own_zone) / ALL_ZONES_HEARTBEAT_PERIOD


def _heartbeat(zones: int) -> Heartbeat:
    me = _members(1)[0]
    names = [f"zone-{number:02d}" for number in range(zones)]
    return Heartbeat(
        me,
        LifecycleState.SERVING,
        sequence=100000,
        echo=99999,
        views=(ZoneView("zone-01", 1000, 0.123456),),
        config_version=100000,
        zones_version=1000,
        roster_version_by_zone=dict.fromkeys(names, 10000),
        clock="01a23dd04db2-0000",
    )
