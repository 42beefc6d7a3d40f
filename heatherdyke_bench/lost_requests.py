"""Counts from gateway logs when requests were late, refused or failed.

The report names the reasons.  Instances drop log lines beyond a rate,
successes first, so the counts of requests in time are lower bounds; the report
states how many lines were dropped.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from datetime import datetime
from pathlib import Path

from heatherdyke.gateway.explain import LogEntry
from heatherdyke.gateway.explain import read_entry
from heatherdyke_bench.errors import LogError

IN_TIME = "in time"
LATE = "late"
REFUSED = "refused"
FAILED = "failed"
LEFT = "client left"
OUTCOMES = (IN_TIME, LATE, REFUSED, FAILED, LEFT)
_OUTCOME_BY_EVENT = {
    "request_refused": REFUSED,
    "request_failed": FAILED,
    "client_left": LEFT,
}
_ANSWERED_EVENTS = frozenset(("request_served", "search_partial"))
_DROPPED_EVENT = "log_limited"
# Reasons that a table row names, most frequent first.
MAX_REASONS = 3


@dataclass(slots=True)
class Interval:
    """The requests of one route that ended within an interval."""

    count_by_outcome: Counter[str] = field(default_factory=Counter)
    count_by_reason: Counter[str] = field(default_factory=Counter)

    @property
    def lost(self) -> int:
        """Return how many requests were not answered in time."""
        return self.count_by_outcome.total() - self.count_by_outcome[IN_TIME]


@dataclass(slots=True)
class LostRequests:
    """Intervals by start, in seconds after the first entry, and by route."""

    interval_by_key: dict[tuple[float, str], Interval] = field(
        default_factory=dict
    )
    dropped_lines: int = 0


def read_lines(paths: Iterable[Path]) -> Iterator[str]:
    """Return the lines of files; raises LogError if one cannot be read."""
    for path in paths:
        try:
            with path.open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise LogError(
                f"{path} cannot be read ({error.strerror})", "correct the path"
            ) from error


def count_lost(lines: Iterable[str], interval_s: float) -> LostRequests:
    """Count the ends of requests by interval and route.

    Raises LogError if no line is a log entry.
    """
    entries = [entry for line in lines if (entry := read_entry(line))]
    if not entries:
        raise LogError("the files have no log entry", "name gateway logs")
    started_at = min(map(_logged_at, entries))
    result = LostRequests()
    for entry in entries:
        if entry.event == _DROPPED_EVENT:
            dropped = entry.fields["left_out_by_event"]
            result.dropped_lines += sum(dropped.values())
        outcome = outcome_of(entry)
        if outcome is None:
            continue
        second = _logged_at(entry) - started_at
        start_s = second // interval_s * interval_s
        key = (start_s, entry.fields["route"])
        interval = result.interval_by_key.setdefault(key, Interval())
        interval.count_by_outcome[outcome] += 1
        if outcome in (REFUSED, FAILED):
            reason = entry.fields["why"].partition(":")[0]
            interval.count_by_reason[reason] += 1
    return result


def outcome_of(entry: LogEntry) -> str | None:
    """Return how the entry's request ended, None if it does not say."""
    if not entry.fields.get("route"):
        return None
    if entry.event in _ANSWERED_EVENTS:
        return LATE if entry.fields.get("late") else IN_TIME
    return _OUTCOME_BY_EVENT.get(entry.event)


def format_lost(result: LostRequests) -> str:
    """Return a Markdown table of the intervals with a lost request."""
    lines = [
        f"| from second | route | {' | '.join(OUTCOMES)} | reasons |",
        "|---" * (len(OUTCOMES) + 3) + "|",
    ]
    for (start_s, route), interval in sorted(result.interval_by_key.items()):
        if not interval.lost:
            continue
        counts = [str(interval.count_by_outcome[name]) for name in OUTCOMES]
        reasons = ", ".join(
            f"{reason} {count}"
            for reason, count in interval.count_by_reason.most_common(
                MAX_REASONS
            )
        )
        cells = [f"{start_s:g}", route, *counts, reasons]
        lines.append(f"| {' | '.join(cells)} |")
    lines.append(f"{result.dropped_lines} log lines were dropped.")
    return "\n".join(lines)


def _logged_at(entry: LogEntry) -> float:
    return datetime.fromisoformat(entry.fields["time"]).timestamp()
