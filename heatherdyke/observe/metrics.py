"""Latency histograms and counters of an instance, and their merging.

Histograms are HdrHistograms with one range and precision, so that merging
them is lossless.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from hdrh.histogram import HdrHistogram

from heatherdyke.observe.series import MAX_SERIES as MAX_SERIES  # noqa: F401
from heatherdyke.observe.series import PERCENTILES
from heatherdyke.observe.series import CounterSeries
from heatherdyke.observe.series import LatencySummary
from heatherdyke.observe.series import SeriesKey
from heatherdyke.observe.series import bounded_key

MIN_LATENCY_US = 1
MAX_LATENCY_US = 100_000_000
SIGNIFICANT_DIGITS = 2


@dataclass(frozen=True, slots=True)
class LatencySeries:
    """A histogram of microseconds in HdrHistogram's base64 encoding."""

    name: str
    label: str
    histogram: str


@dataclass(frozen=True, slots=True)
class StatsPage:
    """All series of one instance, or of several instances merged."""

    instance: str
    zone: str
    incarnation: str
    latencies: list[LatencySeries] = field(default_factory=list)
    counters: list[CounterSeries] = field(default_factory=list)


class Metrics:
    """Collects latencies and counters by name and label.

    Once there are MAX_SERIES latency series (or counters), values with a new
    label are recorded under the label ``other``, so that memory stays bounded.
    """

    __slots__ = ("_histogram_by_key", "_count_by_key")

    def __init__(self) -> None:
        self._histogram_by_key: dict[SeriesKey, HdrHistogram] = {}
        self._count_by_key: dict[SeriesKey, int] = {}

    def record_latency(self, name: str, label: str, seconds: float) -> None:
        """Record a duration, clamped to the range of the histogram."""
        key = bounded_key(self._histogram_by_key, name, label)
        histogram = self._histogram_by_key.get(key)
        if histogram is None:
            histogram = _new_histogram()
            self._histogram_by_key[key] = histogram
        microseconds = int(seconds * 1e6)
        histogram.record_value(
            min(max(microseconds, MIN_LATENCY_US), MAX_LATENCY_US)
        )

    def count(self, name: str, label: str, n: int = 1) -> None:
        """Increase a counter by ``n``."""
        key = bounded_key(self._count_by_key, name, label)
        self._count_by_key[key] = self._count_by_key.get(key, 0) + n

    def read(self, instance: str, zone: str, incarnation: str) -> StatsPage:
        """Return the current values of all series."""
        return _page(
            instance,
            zone,
            incarnation,
            self._histogram_by_key,
            self._count_by_key,
        )


def merge_stats(pages: Iterable[StatsPage]) -> StatsPage:
    """Merge the series of several instances."""
    histogram_by_key: dict[SeriesKey, HdrHistogram] = {}
    count_by_key: dict[SeriesKey, int] = {}
    for page in pages:
        for series in page.latencies:
            key = (series.name, series.label)
            merged = histogram_by_key.setdefault(key, _new_histogram())
            merged.add(HdrHistogram.decode(series.histogram))
        for counter in page.counters:
            key = (counter.name, counter.label)
            count_by_key[key] = count_by_key.get(key, 0) + counter.count
    return _page("", "", "", histogram_by_key, count_by_key)


def summarise(series: LatencySeries) -> LatencySummary:
    """Return the count and percentiles of a series."""
    histogram = HdrHistogram.decode(series.histogram)
    p50, p99, p999 = (
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    )
    return LatencySummary(
        name=series.name,
        label=series.label,
        count=histogram.get_total_count(),
        p50_ms=p50,
        p99_ms=p99,
        p999_ms=p999,
        max_ms=histogram.get_max_value() / 1000,
    )


def _page(
    instance: str,
    zone: str,
    incarnation: str,
    histogram_by_key: dict[SeriesKey, HdrHistogram],
    count_by_key: dict[SeriesKey, int],
) -> StatsPage:
    return StatsPage(
        instance=instance,
        zone=zone,
        incarnation=incarnation,
        latencies=[
            LatencySeries(name, label, histogram.encode().decode())
            for (name, label), histogram in sorted(histogram_by_key.items())
        ],
        counters=[
            CounterSeries(name, label, count)
            for (name, label), count in sorted(count_by_key.items())
        ],
    )


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
