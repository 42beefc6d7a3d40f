"""Metrics in Prometheus' text exposition format."""

from heatherdyke.observe.metrics import StatsPage
from heatherdyke.observe.metrics import summarise
from heatherdyke.observe.prometheus_lines import render_series

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


def render_metrics(page: StatsPage) -> str:
    """Render the series as text; durations are in seconds."""
    return render_series(map(summarise, page.latencies), page.counters)
