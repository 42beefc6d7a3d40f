"""The lines of the capacity page, each reckoned from measured slopes."""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from math import log

from heatherdyke.config import sync as config_sync
from heatherdyke.membership.homes import TREE_FANOUT
from heatherdyke.objects import view as platform_view
from heatherdyke.observe.journal import RING_EVENTS
from heatherdyke.observe.metrics import MAX_SERIES
from heatherdyke.peers.key import SEAL_BYTES
from heatherdyke.peers.key import PeerKey
from heatherdyke.settings import Settings
from heatherdyke.usage import task as usage_task
from heatherdyke_bench.capacity_target import TARGET
from heatherdyke_bench.measure_in_process import LEAVES_PER_SECTION
from heatherdyke_bench.slopes import Slope

Slopes = dict[str, Slope]

DATAGRAM_HEADER_BYTES = 28
RING_CHILDREN = 2
UNPACKED_FILE_MB = 42.0
LARGEST_SLOTS = 6


@dataclass(frozen=True, slots=True)
class Row:
    """One line: ``limit`` is 0 if the letter sets none."""

    role: str
    what: str
    amount: float
    unit: str
    limit: float
    mechanism: str

    @property
    def verdict(self) -> str:
        """Return whether the amount fits, or by how much it does not."""
        if not self.limit:
            return ""
        if self.amount <= self.limit:
            return f"fits ({self.amount / self.limit:.0%} of {self.limit:g})"
        factor = self.amount / self.limit
        return f"**does not fit: {factor:.3g} x {self.limit:g}**"


def entry_ms(slopes: Slopes, homes: float) -> float:
    """Return the processor milliseconds of one search at its entry."""
    parts = slopes["entry_cpu"].value_at(TARGET.parts_per_search)
    return parts + slopes["entry_groups"].slope * (homes - 1)


def entry_rows(slopes: Slopes) -> list[Row]:
    """Return what an instance needs to answer callers."""
    rate = TARGET.searches_per_instance
    region = TARGET.instances / TARGET.regions
    near = TARGET.homes_per_search(region)
    far = TARGET.homes_per_search(TARGET.instances)
    near_ms = entry_ms(slopes, near)
    grouped = "PeerSearch groups a search's parts by home"
    return [
        Row("entry", "searches", rate, "/s", 0, "balancer deals them out"),
        Row(
            "entry",
            "messages, leaves of the own region",
            rate * near,
            "/s",
            0,
            grouped,
        ),
        Row(
            "entry",
            "messages, leaves of all regions",
            rate * far,
            "/s",
            0,
            grouped,
        ),
        Row(
            "entry",
            "processor time of one search, own region",
            near_ms,
            "ms",
            TARGET.p99_ms,
            grouped,
        ),
        Row(
            "entry",
            "processor, own region",
            near_ms * rate / 1000,
            "cores",
            1,
            "one process, one loop",
        ),
        Row(
            "entry",
            "processor, all regions",
            entry_ms(slopes, far) * rate / 1000,
            "cores",
            1,
            "one process, one loop",
        ),
    ]


def home_rows(slopes: Slopes) -> list[Row]:
    """Return what an instance needs as home of its leaves."""
    leaves = TARGET.leaves_per_home
    part_ms = slopes["home_cpu"].slope
    parts = TARGET.parts_per_instance
    most_ms = LARGEST_SLOTS * 1000 / TARGET.searches_per_leaf
    return [
        Row("home", "leaves", leaves, "", 0, "rendezvous hashing"),
        Row(
            "home",
            "leaf searches",
            parts,
            "/s",
            1000 / part_ms,
            "one call a leaf search on the home's connections",
        ),
        Row(
            "home",
            "processor",
            parts * part_ms / 1000,
            "cores",
            1,
            "one process, one loop",
        ),
        Row(
            "home",
            "memory of leaves with open connections",
            slopes["home_memory"].slope * leaves,
            "MB",
            0,
            "connections: slots and a spare, at most half the cap",
        ),
        Row(
            "leaf",
            "searches",
            TARGET.searches_per_leaf,
            "/s",
            0,
            f"{LARGEST_SLOTS} slots bear it at {most_ms:.3f} ms a search",
        ),
    ]


def control_rows(slopes: Slopes) -> list[Row]:
    """Return what each instance spends on control."""
    members = TARGET.members_per_zone
    edit_ms = slopes["edit_apply"].value_at(LEAVES_PER_SECTION)
    edit_ms += slopes["document_index"].value_at(TARGET.leaves)
    cpu = slopes["idle_cpu"].value_at(members) + edit_ms * TARGET.edits_per_s
    document = slopes["document_memory"].value_at(TARGET.leaves)
    journal = slopes["journal_memory"].value_at(2 * RING_EVENTS)
    metrics = slopes["metrics_memory"].value_at(MAX_SERIES)
    state = document + journal + metrics
    whole = slopes["idle_memory"].value_at(members) + state + UNPACKED_FILE_MB
    cpu_limit = TARGET.control_cpu_ms_per_s
    return [
        Row(
            "control",
            "processor without callers",
            cpu,
            "ms/s",
            cpu_limit,
            "heartbeat tree, few platform reads",
        ),
        Row(
            "control",
            "document",
            document,
            "MB",
            0,
            f"sections of {LEAVES_PER_SECTION} leaves, held as text and "
            "decoded",
        ),
        Row(
            "control",
            "events",
            journal,
            "MB",
            0,
            f"two rings of {RING_EVENTS}",
        ),
        Row(
            "control",
            "metrics",
            metrics,
            "MB",
            0,
            f"at most {MAX_SERIES} latency series",
        ),
        Row(
            "control",
            "state together",
            state,
            "MB",
            TARGET.control_memory_mb,
            "the three lines above",
        ),
        Row(
            "control",
            "whole process and unpacked file",
            whole,
            "MB",
            TARGET.control_memory_mb,
            "interpreter and libraries are most of it",
        ),
        *_traffic_rows(slopes),
    ]


def _traffic_rows(slopes: Slopes) -> list[Row]:
    limit = TARGET.control_kb_per_s
    interval_s = Settings("", "", "", "", "", PeerKey("")).heartbeat_interval_s
    size = slopes["heartbeat_bytes"].value_at(TARGET.zones)
    size += DATAGRAM_HEADER_BYTES + SEAL_BYTES
    asked = slopes["heartbeat_targets"].value_at(TARGET.members_per_zone)
    at_root = TREE_FANOUT + RING_CHILDREN + asked
    edit = slopes["edit_bytes"].value_at(LEAVES_PER_SECTION) / 1000
    return [
        Row(
            "control",
            "heartbeats sent by a member",
            2 * asked * size / interval_s / 1000,
            "kB/s",
            limit,
            "tree and ring: questions and as many answers",
        ),
        Row(
            "zone reader",
            "heartbeats sent",
            at_root * size / interval_s / 1000,
            "kB/s",
            limit,
            f"root of the tree: answers {TREE_FANOUT} children",
        ),
        Row(
            "control",
            "sections of edits received",
            edit * TARGET.edits_per_s,
            "kB/s",
            limit,
            "the changed section travels, not the document",
        ),
        Row(
            "zone reader",
            "the platform's list, by ObjectView",
            platform_view.LIST_BYTES_PER_S / 1000,
            "kB/s",
            limit,
            "read as seldom as its length asks for",
        ),
    ]


def platform_rows(slopes: Slopes) -> list[Row]:
    """Return the platform's calls and the time until an edit is in force."""
    calls = slopes["platform_calls"]
    readers = calls.intercept / 2 * TARGET.zones
    total = calls.slope * TARGET.instances + readers
    changes = 2 * (TARGET.replaced_per_day + TARGET.failed_per_day)
    return [
        Row(
            "platform",
            "calls by all instances",
            total,
            "/s",
            TARGET.platform_reads_per_s,
            "zone readers watch, the others read seldom",
        ),
        Row(
            "platform",
            "of these by zone readers",
            readers,
            "/s",
            0,
            "watches of head and zones, the roster's confirmation",
        ),
        Row(
            "platform",
            "writes of edits",
            2 * TARGET.edits_per_s,
            "/s",
            0,
            "the section, then the head by conditional update",
        ),
        Row(
            "platform",
            "writes of usage",
            TARGET.instances / usage_task.STORE_INTERVAL_S,
            "/s",
            0,
            "one object an instance and interval, while it has callers",
        ),
        Row(
            "platform",
            "writes of rosters",
            changes / 86_400,
            "/s",
            0,
            "a leave and a join for each instance replaced or failed",
        ),
        Row(
            "control",
            "accepted edit in force, by reckoning",
            in_force_s(slopes),
            "s",
            TARGET.in_force_s,
            "watch, then down the tree: a heartbeat and a fetch a level",
        ),
    ]


def in_force_s(slopes: Slopes) -> float:
    """Return the reckoned seconds from acceptance to the last member.

    A watch that has just ended waits for a retry; each level of the tree
    waits for a heartbeat's interval, one lost heartbeat and a fetch.
    """
    settings = Settings("", "", "", "", "", PeerKey(""))
    members = TARGET.members_per_zone
    levels = ceil(log(members * (TREE_FANOUT - 1) + 1, TREE_FANOUT)) - 1
    fetch_s = 0.1
    level_s = 2 * settings.heartbeat_interval_s + fetch_s
    apply_ms = slopes["edit_apply"].value_at(LEAVES_PER_SECTION)
    apply_ms += slopes["document_index"].value_at(TARGET.leaves)
    return config_sync.RETRY_S + levels * (level_s + apply_ms / 1000)


row_builders: list[Callable[[Slopes], list[Row]]] = [
    entry_rows,
    home_rows,
    control_rows,
    platform_rows,
]
