"""Computes a run's figures per phase and class, without I/O."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import fields
from statistics import median
from typing import Any

from hdrh.histogram import HdrHistogram

from heatherdyke.request_errors import RunState
from heatherdyke.standin.leaf_model import LeafRecord
from heatherdyke_bench.load import MAX_LATENCY_US
from heatherdyke_bench.load import SIGNIFICANT_DIGITS
from heatherdyke_bench.load import ClassResult


@dataclass(frozen=True, slots=True)
class ClassReport:
    """Figures of one class of searches in one phase.

    ``untrue`` counts refusals whose run state is NOT_RUN although the
    request had reached a leaf.
    """

    sent: int
    answered: int
    useful_share: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    coverage_mean: float
    coverage_min: float
    refused: int
    broken: int
    untrue: int
    mixed: int
    wrong: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load on the leaves in one phase.

    ``extra_share`` is the ratio of leaf searches received to those that the
    answers needed, minus one.  ``fairness`` is the ratio of the maximum to
    the mean number of searches over comparable leaves, which are those of
    the small services.  ``least_zone`` is the number of searches in the zone
    that received the fewest.
    """

    leaf_searches: int
    extra_share: float
    over_slots: int
    cold_excess: int
    cold_excess_known: int
    sheds: int
    draining_arrivals: int
    connections_max: int
    fairness: float
    least_zone: int = 0


@dataclass(frozen=True, slots=True)
class PhaseReport:
    """One phase of one run."""

    class_by_name: dict[str, ClassReport]
    load: LoadReport
    refused_by_kind: dict[str, int]
    detail_by_kind: dict[str, str]
    useful_by_second: dict[int, int]
    worst_ms_by_second: dict[int, float]


@dataclass(frozen=True, slots=True)
class RunReport:
    """One run of a scenario under one policy and seed.

    ``mixed_requests`` counts requests that queried more than one snapshot.
    ``load_average`` is the machine's at the end of the run and shows how
    far other work may have disturbed the figures.
    """

    scenario: str
    deployment: str
    policy: str
    seed: int
    phase_by_name: dict[str, PhaseReport]
    platform_calls: dict[str, int]
    watches_waiting_max: int
    cold_s_max: float
    mixed_requests: int = 0
    load_average: float = 0.0


@dataclass(slots=True)
class LeafTotals:
    """Counters of all leaves at one point in time."""

    searches_by_leaf: dict[str, int]
    counts: Counter[str]
    connections_max: int
    cold_s_max: float

    @classmethod
    def from_records(cls, records: dict[str, LeafRecord]) -> "LeafTotals":
        """Sum the leaves' records over their incarnations."""
        counts: Counter[str] = Counter()
        searches_by_leaf = {}
        for leaf, record in records.items():
            incarnations = record.incarnations
            searches_by_leaf[leaf] = sum(i.searches for i in incarnations)
            for incarnation in incarnations:
                counts["over_slots"] += incarnation.over_slots
                counts["cold_excess"] += incarnation.cold_excess
                counts["cold_excess_known"] += incarnation.cold_excess_known
                counts["sheds"] += incarnation.refusals_by_kind.get("shed", 0)
                counts["draining"] += incarnation.draining_arrivals
        recorded = [record.incarnations for record in records.values()]
        return cls(
            searches_by_leaf,
            counts,
            max((i.connections_max for m in recorded for i in m), default=0),
            max((i.cold_s for m in recorded for i in m), default=0.0),
        )


def received_request_ids(records: dict[str, LeafRecord]) -> set[str]:
    """Return the ids of all requests that reached any leaf."""
    return {
        request_id
        for record in records.values()
        for incarnation in record.incarnations
        for request_id in incarnation.snapshots_by_request
    }


def count_mixed_snapshot_requests(records: dict[str, LeafRecord]) -> int:
    """Return the number of requests that queried more than one snapshot."""
    snapshots_by_id: dict[str, set[int]] = {}
    for record in records.values():
        for incarnation in record.incarnations:
            for request_id, used in incarnation.snapshots_by_request.items():
                snapshots_by_id.setdefault(request_id, set()).update(used)
    return sum(len(snapshots) > 1 for snapshots in snapshots_by_id.values())


def report_phase(
    results: dict[str, ClassResult],
    before: LeafTotals,
    after: LeafTotals,
    zone_by_comparable_leaf: dict[str, str],
    received: set[str],
) -> PhaseReport:
    """Return a phase's report from the callers' and the leaves' figures."""
    needed = sum(result.needed for result in results.values())
    kinds = Counter(
        refused.kind
        for result in results.values()
        for refused in result.refused
    )
    seconds: Counter[int] = Counter()
    worst_ms: dict[int, float] = {}
    for result in results.values():
        seconds.update(result.useful_by_second)
        for second, value in result.worst_ms_by_second.items():
            worst_ms[second] = max(value, worst_ms.get(second, 0.0))
    return PhaseReport(
        {n: _report_class(r, received) for n, r in results.items()},
        _report_load(before, after, zone_by_comparable_leaf, needed),
        dict(kinds),
        {
            refused.kind: refused.detail
            for result in results.values()
            for refused in result.refused
        },
        dict(sorted(seconds.items())),
        dict(sorted(worst_ms.items())),
    )


def median_report(reports: list[Any]) -> Any:
    """Return the median of each figure over repeated runs.

    ``reports`` are all ClassReports or all LoadReports.
    """
    report_type = type(reports[0])
    return report_type(
        *(
            median(getattr(report, field.name) for report in reports)
            for field in fields(report_type)
        )
    )


def _report_class(result: ClassResult, received: set[str]) -> ClassReport:
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    histogram.decode_and_add(result.histogram)
    untrue = sum(
        refused.run_state is RunState.NOT_RUN
        and refused.request_id in received
        for refused in result.refused
    )
    answered = max(1, result.answered)
    return ClassReport(
        sent=result.sent,
        answered=result.answered,
        useful_share=result.useful / max(1, result.sent),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        p999_ms=histogram.get_value_at_percentile(99.9) / 1000,
        coverage_mean=result.coverage_sum / answered,
        coverage_min=result.coverage_min,
        refused=len(result.refused),
        broken=result.broken,
        untrue=untrue,
        mixed=result.mixed,
        wrong=result.wrong,
    )


def _report_load(
    before: LeafTotals,
    after: LeafTotals,
    zone_by_comparable_leaf: dict[str, str],
    needed: int,
) -> LoadReport:
    by_leaf = {
        leaf: total - before.searches_by_leaf.get(leaf, 0)
        for leaf, total in after.searches_by_leaf.items()
    }
    counts = after.counts - before.counts
    searches = sum(by_leaf.values())
    searches_by_comparable_leaf = [
        by_leaf[leaf] for leaf in zone_by_comparable_leaf
    ]
    by_zone: Counter[str] = Counter()
    for leaf, zone in zone_by_comparable_leaf.items():
        by_zone[zone] += by_leaf[leaf]
    mean = sum(searches_by_comparable_leaf) / len(searches_by_comparable_leaf)
    return LoadReport(
        leaf_searches=searches,
        extra_share=searches / needed - 1 if needed else 0.0,
        over_slots=counts["over_slots"],
        cold_excess=counts["cold_excess"],
        cold_excess_known=counts["cold_excess_known"],
        sheds=counts["sheds"],
        draining_arrivals=counts["draining"],
        connections_max=after.connections_max,
        fairness=max(searches_by_comparable_leaf) / mean if mean else 0.0,
        least_zone=min(by_zone.values()),
    )
