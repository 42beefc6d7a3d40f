"""Rows of the capacity table, computed from measured slopes."""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from math import log

from heatherdyke.config import sync as config_sync
from heatherdyke.membership.zone_membership import TREE_FANOUT
from heatherdyke.objects import platform_state_sync as state_sync
from heatherdyke.observe.journal import RING_CAPACITY
from heatherdyke.observe.metrics import MAX_SERIES
from heatherdyke.peers.key import MAC_BYTES
from heatherdyke.peers.key import PeerKey
from heatherdyke.settings import Settings
from heatherdyke.usage import writer as usage_writer
from heatherdyke_bench.capacity_target import TARGET
from heatherdyke_bench.measure_in_process import LEAVES_PER_SECTION
from heatherdyke_bench.slopes import Slope

Slopes = dict[str, Slope]

DATAGRAM_HEADER_BYTES = 28
RING_CHILDREN = 2
UNPACKED_FILE_MB = 42.0
MAX_LEAF_SLOTS = 6


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table; a ``limit`` of 0 means that there is none."""

    role: str
    quantity: str
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
    """Return the CPU milliseconds of one search at its entry instance."""
    parts = slopes["entry_cpu"].value_at(TARGET.parts_per_search)
    return parts + slopes["entry_groups"].slope * (homes - 1)


def entry_rows(slopes: Slopes) -> list[Row]:
    """Return what an instance needs to answer its callers."""
    rate = TARGET.searches_per_instance
    instances_per_region = TARGET.instances / TARGET.regions
    homes_in_region = TARGET.homes_per_search(instances_per_region)
    homes_in_all_regions = TARGET.homes_per_search(TARGET.instances)
    in_region_ms = entry_ms(slopes, homes_in_region)
    grouped = "PeerSearch groups a search's parts by home"
    return [
        Row("entry", "searches", rate, "/s", 0, "spread by the load balancer"),
        Row(
            "entry",
            "messages, leaves of the own region",
            rate * homes_in_region,
            "/s",
            0,
            grouped,
        ),
        Row(
            "entry",
            "messages, leaves of all regions",
            rate * homes_in_all_regions,
            "/s",
            0,
            grouped,
        ),
        Row(
            "entry",
            "processor time of one search, own region",
            in_region_ms,
            "ms",
            TARGET.p99_ms,
            grouped,
        ),
        Row(
            "entry",
            "processor, own region",
            in_region_ms * rate / 1000,
            "cores",
            1,
            "one process, one event loop",
        ),
        Row(
            "entry",
            "processor, all regions",
            entry_ms(slopes, homes_in_all_regions) * rate / 1000,
            "cores",
            1,
            "one process, one event loop",
        ),
    ]


def home_rows(slopes: Slopes) -> list[Row]:
    """Return what an instance needs as the home of its leaves."""
    leaves = TARGET.leaves_per_home
    part_ms = slopes["home_cpu"].slope
    parts = TARGET.parts_per_instance
    max_ms = MAX_LEAF_SLOTS * 1000 / TARGET.searches_per_leaf
    return [
        Row("home", "leaves", leaves, "", 0, "rendezvous hashing"),
        Row(
            "home",
            "leaf searches",
            parts,
            "/s",
            1000 / part_ms,
            "one call per leaf search on the home's connections",
        ),
        Row(
            "home",
            "processor",
            parts * part_ms / 1000,
            "cores",
            1,
            "one process, one event loop",
        ),
        Row(
            "home",
            "memory of leaves with open connections",
            slopes["home_memory"].slope * leaves,
            "MB",
            0,
            "connections: slots and a spare, at most half the limit",
        ),
        Row(
            "leaf",
            "searches",
            TARGET.searches_per_leaf,
            "/s",
            0,
            f"{MAX_LEAF_SLOTS} slots: at most {max_ms:.3f} ms per search",
        ),
    ]


def control_rows(slopes: Slopes) -> list[Row]:
    """Return what each instance spends on the control plane."""
    members = TARGET.members_per_zone
    edit_ms = slopes["edit_apply"].value_at(LEAVES_PER_SECTION)
    edit_ms += slopes["document_index"].value_at(TARGET.leaves)
    cpu = slopes["idle_cpu"].value_at(members) + edit_ms * TARGET.edits_per_s
    document = slopes["document_memory"].value_at(TARGET.leaves)
    journal = slopes["journal_memory"].value_at(2 * RING_CAPACITY)
    metrics = slopes["metrics_memory"].value_at(MAX_SERIES)
    state = document + journal + metrics
    process_mb = (
        slopes["idle_memory"].value_at(members) + state + UNPACKED_FILE_MB
    )
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
            f"sections of {LEAVES_PER_SECTION} leaves, held encoded and "
            "decoded",
        ),
        Row(
            "control",
            "events",
            journal,
            "MB",
            0,
            f"two ring buffers of {RING_CAPACITY}",
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
            "state in total",
            state,
            "MB",
            TARGET.control_memory_mb,
            "sum of the three rows above",
        ),
        Row(
            "control",
            "process and unpacked file",
            process_mb,
            "MB",
            TARGET.control_memory_mb,
            "mostly interpreter and libraries",
        ),
        *_traffic_rows(slopes),
    ]


def _traffic_rows(slopes: Slopes) -> list[Row]:
    limit = TARGET.control_kb_per_s
    interval_s = Settings("", "", "", "", "", PeerKey("")).heartbeat_interval_s
    size = slopes["heartbeat_bytes"].value_at(TARGET.zones)
    size += DATAGRAM_HEADER_BYTES + MAC_BYTES
    targets = slopes["heartbeat_targets"].value_at(TARGET.members_per_zone)
    sent_by_root = TREE_FANOUT + RING_CHILDREN + targets
    edit = slopes["edit_bytes"].value_at(LEAVES_PER_SECTION) / 1000
    return [
        Row(
            "control",
            "heartbeats sent by a member",
            2 * targets * size / interval_s / 1000,
            "kB/s",
            limit,
            "tree and ring: requests and as many replies",
        ),
        Row(
            "zone reader",
            "heartbeats sent",
            sent_by_root * size / interval_s / 1000,
            "kB/s",
            limit,
            f"root of the tree: replies to {TREE_FANOUT} children",
        ),
        Row(
            "control",
            "sections received for edits",
            edit * TARGET.edits_per_s,
            "kB/s",
            limit,
            "only the changed section is sent, not the document",
        ),
        Row(
            "zone reader",
            "reads of the platform's instance list",
            state_sync.LIST_BYTES_PER_S / 1000,
            "kB/s",
            limit,
            "read less often the longer it is",
        ),
    ]


def platform_rows(slopes: Slopes) -> list[Row]:
    """Return the platform's calls and the time to activate an edit."""
    calls = slopes["platform_calls"]
    # The intercept is the calls of the readers of the two measured zones.
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
            "zone readers watch, the others read rarely",
        ),
        Row(
            "platform",
            "of these by zone readers",
            readers,
            "/s",
            0,
            "watches on head and zones, roster confirmations",
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
            TARGET.instances / usage_writer.STORE_INTERVAL_S,
            "/s",
            0,
            "one object per instance and interval, while it has callers",
        ),
        Row(
            "platform",
            "writes of rosters",
            changes / 86_400,
            "/s",
            0,
            "one leave and one join per instance replaced or failed",
        ),
        Row(
            "control",
            "accepted edit active everywhere, computed",
            activation_s(slopes),
            "s",
            TARGET.max_activation_s,
            "watch, then a heartbeat and a fetch per level of the tree",
        ),
    ]


def activation_s(slopes: Slopes) -> float:
    """Return the computed seconds until the last member has applied an edit.

    A watch that has just ended adds a retry delay; each level of the tree
    adds two heartbeat intervals, as one heartbeat may be lost, and a fetch.
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
