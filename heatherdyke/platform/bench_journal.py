"""Decodes the entries that the users' bench writes to ``journal/``."""

from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

import msgspec

QUIET_SLOT = "quiet"
# The part of a day's worth that counts all requests.
WHOLE_DAY = "whole day"


@dataclass(frozen=True, slots=True)
class Price:
    """The part of a day's worth that was lost to one kind of cost."""

    kind: str
    worth: float


@dataclass(frozen=True, slots=True)
class DayResult:
    """One day of a run.

    ``worth`` is the value before it is capped to ``score``, ``credit`` that of
    the whole day before prices; ``refused`` and ``failed`` are shares of its
    requests.  An unknown seed is None.
    """

    name: str
    seed: int | None
    quiet: bool
    worth: float
    score: float
    credit: float
    refused: float
    failed: float
    violation_count: int
    prices: tuple[Price, ...]


@dataclass(frozen=True, slots=True)
class RunResult:
    """One run of the bench, with the reason that was stated for it."""

    run_id: str
    command: str
    reason: str
    site: str
    started_at: datetime
    days: tuple[DayResult, ...]


class _WireDay(msgspec.Struct):
    name: str
    slot: str | None
    # The day's worth, before it is capped to a score.
    G: float | None
    score: float | None
    rules: dict[str, object]
    # Kind, amount used and the worth lost to it.
    prices: list[tuple[str, float, float]]
    # The part, its weight and its value.
    parts: list[tuple[str, float | None, float | None]] = []
    seed: int | None = None
    refused: float | None = None
    failed: float | None = None


class _WireEntry(msgspec.Struct):
    id: str
    cmd: str
    site: str | None
    # Start and end, in ISO 8601.
    at: list[str]
    days: list[_WireDay]
    why: str | None = None


def read_runs(directory: Path) -> tuple[list[RunResult], list[str]]:
    """Return the runs by start time, and the files that cannot be decoded.

    Entries without a site or without days are left out.
    """
    runs: list[RunResult] = []
    unreadable: list[str] = []
    for path in sorted(directory.glob("*.json")):
        try:
            entry = msgspec.json.decode(path.read_bytes(), type=_WireEntry)
        except msgspec.MsgspecError as error:
            unreadable.append(f"{path.name}: {error}")
            continue
        if entry.site and entry.days:
            runs.append(_decode_run(entry))
    runs.sort(key=lambda run: run.started_at)
    return runs, unreadable


def _decode_run(entry: _WireEntry) -> RunResult:
    return RunResult(
        run_id=entry.id,
        command=entry.cmd,
        reason=entry.why or "",
        site=entry.site or "",
        started_at=datetime.fromisoformat(entry.at[0]),
        days=tuple(
            DayResult(
                name=day.name,
                quiet=day.slot == QUIET_SLOT,
                seed=day.seed,
                worth=day.G or 0.0,
                score=day.score or 0.0,
                credit=_value_of(day.parts, WHOLE_DAY),
                refused=day.refused or 0.0,
                failed=day.failed or 0.0,
                violation_count=len(day.rules),
                prices=tuple(
                    Price(kind, cost) for kind, _, cost in day.prices
                ),
            )
            for day in entry.days
        ),
    )


def _value_of(
    parts: list[tuple[str, float | None, float | None]], wanted: str
) -> float:
    value_by_part = {name: value for name, _, value in parts}
    return value_by_part.get(wanted) or 0.0
