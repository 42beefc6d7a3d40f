"""Series of metrics, by name and label."""

from dataclasses import dataclass
from typing import Any

MAX_SERIES = 512
OVERFLOW_LABEL = "other"
PERCENTILES = (50.0, 99.0, 99.9)

SeriesKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class CounterSeries:
    """A counter's value since the instance started."""

    name: str
    label: str
    count: int


@dataclass(frozen=True, slots=True)
class LatencySummary:
    """Count and percentiles of a latency series, in milliseconds."""

    name: str
    label: str
    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


def bounded_key(
    by_key: dict[SeriesKey, Any], name: str, label: str
) -> SeriesKey:
    """Return the key of a series, with a common label if there are many."""
    key = (name, label)
    if key in by_key or len(by_key) < MAX_SERIES:
        return key
    return (name, OVERFLOW_LABEL)
