"""Counters and latencies of a gateway.

Unlike those of the product's own instances, its latencies are never merged
with those of others, so that a sketch without compiled code is enough.
"""

from ddsketch import DDSketch

from heatherdyke.observe.prometheus_lines import render_series
from heatherdyke.observe.series import PERCENTILES
from heatherdyke.observe.series import CounterSeries
from heatherdyke.observe.series import LatencySummary
from heatherdyke.observe.series import SeriesKey
from heatherdyke.observe.series import bounded_key

RELATIVE_ACCURACY = 0.01
MIN_LATENCY_S = 1e-6


class GatewayMetrics:
    """Collects latencies and counters by name and label."""

    __slots__ = ("_sketch_by_key", "_count_by_key")

    def __init__(self) -> None:
        self._sketch_by_key: dict[SeriesKey, DDSketch] = {}
        self._count_by_key: dict[SeriesKey, int] = {}

    def record_latency(self, name: str, label: str, seconds: float) -> None:
        """Record a duration."""
        key = bounded_key(self._sketch_by_key, name, label)
        sketch = self._sketch_by_key.get(key)
        if sketch is None:
            sketch = DDSketch(RELATIVE_ACCURACY)
            self._sketch_by_key[key] = sketch
        sketch.add(max(seconds, MIN_LATENCY_S))

    def count(self, name: str, label: str, n: int = 1) -> None:
        """Increase a counter by ``n``."""
        key = bounded_key(self._count_by_key, name, label)
        self._count_by_key[key] = self._count_by_key.get(key, 0) + n

    def render(self) -> str:
        """Return all series in Prometheus' text format."""
        latencies = [
            _summarise(key, sketch)
            for key, sketch in sorted(self._sketch_by_key.items())
        ]
        counters = [
            CounterSeries(name, label, count)
            for (name, label), count in sorted(self._count_by_key.items())
        ]
        return render_series(latencies, counters)


def _summarise(key: SeriesKey, sketch: DDSketch) -> LatencySummary:
    name, label = key
    p50, p99, p999, longest = (
        1000.0 * sketch.get_quantile_value(percentile / 100.0)
        for percentile in (*PERCENTILES, 100.0)
    )
    return LatencySummary(
        name=name,
        label=label,
        count=int(sketch.count),
        p50_ms=p50,
        p99_ms=p99,
        p999_ms=p999,
        max_ms=longest,
    )
