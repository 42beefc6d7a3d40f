"""Compares two trials on the users' bench, from their journal entries.

A trial is a set of single days played with a reason that begins with ``Trial``
and its name.
"""

import statistics
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from heatherdyke.platform.bench_journal import DayResult
from heatherdyke.platform.bench_journal import RunResult
from heatherdyke_bench.errors import TrialError

# The price of traffic between zones.
CROSS_ZONE_PRICE = "GB between zones"
_PlayKey = tuple[str, int | None]


@dataclass(frozen=True, slots=True)
class Change:
    """A value's mean before and after, over the days of both trials.

    ``spread`` is the standard deviation of the differences.
    """

    name: str
    before: float
    after: float
    spread: float


_value_by_name: dict[str, Callable[[DayResult], float]] = {
    "worth": lambda day: day.worth,
    "credit": lambda day: day.credit,
    "refused": lambda day: day.refused,
    "failed": lambda day: day.failed,
    "bytes between zones": lambda day: sum(
        price.worth for price in day.prices if price.kind == CROSS_ZONE_PRICE
    ),
}


def days_of(
    runs: Iterable[RunResult], name: str, site: str
) -> dict[_PlayKey, DayResult]:
    """Return the days of a trial at a site by name and seed.

    Of a day that was played more than once the last result counts.  Raises
    TrialError if there is none.
    """
    day_by_key = {
        (day.name, day.seed): day
        for run in runs
        if run.site == site and run.reason.startswith(f"Trial {name}:")
        for day in run.days
    }
    if not day_by_key:
        raise TrialError(
            f"the journal has no trial {name!r} of site {site!r}",
            "correct the names",
        )
    return day_by_key


def compare_trials(
    before: dict[_PlayKey, DayResult], after: dict[_PlayKey, DayResult]
) -> tuple[list[str], list[Change]]:
    """Return the labels of the days of both trials, and what changed.

    Raises TrialError if no day was played in both.
    """
    keys = [key for key in before if key in after]
    if not keys:
        raise TrialError("the trials have no day in common", "name others")
    changes = []
    for name, value_of in _value_by_name.items():
        olds = [value_of(before[key]) for key in keys]
        news = [value_of(after[key]) for key in keys]
        differences = [new - old for old, new in zip(olds, news, strict=True)]
        spread = statistics.stdev(differences) if len(keys) > 1 else 0.0
        changes.append(
            Change(
                name, statistics.fmean(olds), statistics.fmean(news), spread
            )
        )
    return [f"{name}:{seed}" for name, seed in keys], changes


def format_changes(labels: list[str], changes: list[Change]) -> str:
    """Return a Markdown table and the days compared."""
    lines = [
        "| value | before | after | difference | spread |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {change.name} | {change.before:.3f} | {change.after:.3f} "
        f"| {change.after - change.before:+.3f} | {change.spread:.3f} |"
        for change in changes
    ]
    lines.append(f"{len(labels)} days: {', '.join(labels)}")
    return "\n".join(lines)
