"""Metrics as text for scraping, in Prometheus' exposition format."""

import re

from heatherdyke.observe.metrics import LatencySeries
from heatherdyke.observe.metrics import StatsPage
from heatherdyke.observe.metrics import summarise

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
PREFIX = "heatherdyke_"


def render_metrics(page: StatsPage) -> str:
    """Return the page as text; durations are in seconds."""
    lines: list[str] = []
    typed: set[str] = set()
    for series in page.latencies:
        name = _metric_name(series.name) + "_seconds"
        _declare(name, "summary", typed, lines)
        lines.extend(_summary_lines(name, series))
    for counter in page.counters:
        name = _metric_name(counter.name) + "_total"
        _declare(name, "counter", typed, lines)
        lines.append(f"{name}{{{_label(counter.label)}}} {counter.count}")
    return "\n".join(lines) + "\n"


def _summary_lines(name: str, series: LatencySeries) -> list[str]:
    summary = summarise(series)
    label = _label(series.label)
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


def _declare(
    name: str, metric_type: str, typed: set[str], lines: list[str]
) -> None:
    if name not in typed:
        typed.add(name)
        lines.append(f"# TYPE {name} {metric_type}")


def _metric_name(name: str) -> str:
    return PREFIX + re.sub(r"[^a-zA-Z0-9_]", "_", name)


def _label(value: str) -> str:
    escaped = value.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n")
    return f'label="{escaped}"'
