"""Series in Prometheus' text exposition format."""

import re
from collections.abc import Iterable

from heatherdyke.observe.series import CounterSeries
from heatherdyke.observe.series import LatencySummary

PREFIX = "heatherdyke_"


def render_series(
    latencies: Iterable[LatencySummary], counters: Iterable[CounterSeries]
) -> str:
    """Render the series as text; durations are in seconds."""
    lines: list[str] = []
    declared: set[str] = set()
    for summary in latencies:
        name = _metric_name(summary.name) + "_seconds"
        _declare_type(name, "summary", declared, lines)
        lines.extend(_summary_lines(name, summary))
    for counter in counters:
        name = _metric_name(counter.name) + "_total"
        _declare_type(name, "counter", declared, lines)
        lines.append(f"{name}{{{_label_pair(counter.label)}}} {counter.count}")
    return "\n".join(lines) + "\n"


def render_gauges(value_by_name: dict[str, float]) -> str:
    """Render the current values of some quantities as text."""
    lines: list[str] = []
    for name, value in value_by_name.items():
        metric_name = _metric_name(name)
        lines.append(f"# TYPE {metric_name} gauge")
        lines.append(f"{metric_name} {value}")
    return "".join(line + "\n" for line in lines)


def _summary_lines(name: str, summary: LatencySummary) -> list[str]:
    label = _label_pair(summary.label)
    seconds_by_quantile = {
        "0.5": summary.p50_ms / 1000,
        "0.99": summary.p99_ms / 1000,
        "0.999": summary.p999_ms / 1000,
    }
    lines = [
        f'{name}{{{label},quantile="{quantile}"}} {seconds:.6f}'
        for quantile, seconds in seconds_by_quantile.items()
    ]
    lines.append(f"{name}_count{{{label}}} {summary.count}")
    return lines


def _declare_type(
    name: str, metric_type: str, declared: set[str], lines: list[str]
) -> None:
    if name not in declared:
        declared.add(name)
        lines.append(f"# TYPE {name} {metric_type}")


def _metric_name(name: str) -> str:
    return PREFIX + re.sub(r"[^a-zA-Z0-9_]", "_", name)


def _label_pair(value: str) -> str:
    escaped = value.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n")
    return f'label="{escaped}"'
