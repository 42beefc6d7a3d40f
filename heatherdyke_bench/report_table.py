"""Formats run reports as Markdown tables."""

from dataclasses import dataclass

from heatherdyke_bench.report import ClassReport
from heatherdyke_bench.report import LoadReport
from heatherdyke_bench.report import RunReport
from heatherdyke_bench.report import median_report

CLASS_HEADER = (
    "| phase | class | policy | sent | useful | p50 ms | p99 ms | p99.9 ms "
    "| coverage mean | min | refused | broken | untrue | mixed | wrong |"
)
LOAD_HEADER = (
    "| phase | policy | leaf searches | extra load | over slots "
    "| cold excess | of these known | sheds | at draining "
    "| connections max | max/mean | least zone |"
)


@dataclass(frozen=True, slots=True)
class _PolicyReports:
    """The reports of one policy over its seeds."""

    policy: str
    reports: list[RunReport]


def format_tables(reports: list[RunReport]) -> str:
    """Return the medians over seeds, a row per phase, class and policy."""
    groups = _group_by_policy(reports)
    phases = list(reports[0].phase_by_name)
    lines = [CLASS_HEADER, _separator(CLASS_HEADER)]
    for phase in phases:
        for name in reports[0].phase_by_name[phase].class_by_name:
            lines += [_class_row(phase, name, group) for group in groups]
    lines += ["", LOAD_HEADER, _separator(LOAD_HEADER)]
    for phase in phases:
        lines += [_load_row(phase, group) for group in groups]
    lines += [""] + [_platform_line(group) for group in groups]
    return "\n".join(lines)


def _group_by_policy(reports: list[RunReport]) -> list[_PolicyReports]:
    policies = list(dict.fromkeys(report.policy for report in reports))
    return [
        _PolicyReports(policy, [r for r in reports if r.policy == policy])
        for policy in policies
    ]


def _separator(header: str) -> str:
    return "|" + "---|" * (header.count("|") - 1)


def _class_row(phase: str, name: str, group: _PolicyReports) -> str:
    row: ClassReport = median_report(
        [r.phase_by_name[phase].class_by_name[name] for r in group.reports]
    )
    return (
        f"| {phase} | {name} | {group.policy} | {row.sent:.0f} "
        f"| {row.useful_share:.1%} | {row.p50_ms:.1f} | {row.p99_ms:.1f} "
        f"| {row.p999_ms:.1f} | {row.coverage_mean:.4f} "
        f"| {row.coverage_min:.2f} | {row.refused:.0f} | {row.broken:.0f} "
        f"| {row.untrue:.0f} | {row.mixed:.0f} | {row.wrong:.0f} |"
    )


def _load_row(phase: str, group: _PolicyReports) -> str:
    row: LoadReport = median_report(
        [r.phase_by_name[phase].load for r in group.reports]
    )
    return (
        f"| {phase} | {group.policy} | {row.leaf_searches:.0f} "
        f"| {row.extra_share:+.1%} | {row.over_slots:.0f} "
        f"| {row.cold_excess:.0f} | {row.cold_excess_known:.0f} "
        f"| {row.sheds:.0f} | {row.draining_arrivals:.0f} "
        f"| {row.connections_max:.0f} | {row.fairness:.2f} "
        f"| {row.least_zone:.0f} |"
    )


def _platform_line(group: _PolicyReports) -> str:
    report = group.reports[-1]
    loads = [f"{r.load_average:.1f}" for r in group.reports]
    calls = ", ".join(
        f"{count} {kind}"
        for kind, count in sorted(report.platform_calls.items())
        if kind != "POST /instances"
    )
    kinds: dict[str, int] = {}
    details: dict[str, str] = {}
    for phase in report.phase_by_name.values():
        for kind, count in phase.refused_by_kind.items():
            kinds[kind] = kinds.get(kind, 0) + count
            details[kind] = phase.detail_by_kind[kind]
    return (
        f"{group.policy}, seed {report.seed}: platform calls {calls}; "
        f"load average {', '.join(loads)}; "
        f"requests with mixed snapshots {report.mixed_requests}; "
        f"watches waiting at most {report.watches_waiting_max}; longest "
        f"cold start {report.cold_s_max:.1f} s; refusals {kinds}, "
        f"one of each kind: {details}"
    )
