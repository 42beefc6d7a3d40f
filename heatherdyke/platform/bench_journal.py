"""Decodes the entries that the users' bench leaves in ``journal/``."""

from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

import msgspec

QUIET_SLOT = "quiet"


@dataclass(frozen=True, slots=True)
class Price:
    """What a day's worth lost to one kind of cost."""

    kind: str
    worth: float


@dataclass(frozen=True, slots=True)
class DayResult:
    """One day of a run; ``worth`` may exceed what ``score`` is cut at."""

    name: str
    quiet: bool
    worth: float
    score: float
    broken_rules: int
    prices: tuple[Price, ...]


@dataclass(frozen=True, slots=True)
class RunResult:
    """One run of the bench."""

    run_id: str
    command: str
    site: str
    began_at: datetime
    days: tuple[DayResult, ...]


class _Day(msgspec.Struct):
    name: str
    slot: str | None
    # The day's worth, before it is cut to a score.
    G: float | None
    score: float | None
    rules: dict[str, object]
    # Kind, amount and what it cost.
    prices: list[tuple[str, float, float]]


class _Entry(msgspec.Struct):
    id: str
    cmd: str
    site: str | None
    # Beginning and end, in ISO 8601.
    at: list[str]
    days: list[_Day]


def read_runs(directory: Path) -> tuple[list[RunResult], list[str]]:
    """Return the runs in order of time, and files that are no entries."""
    runs: list[RunResult] = []
    unreadable: list[str] = []
    for path in sorted(directory.glob("*.json")):
        try:
            entry = msgspec.json.decode(path.read_bytes(), type=_Entry)
        except msgspec.MsgspecError as error:
            unreadable.append(f"{path.name}: {error}")
            continue
        if entry.site and entry.days:
            runs.append(_to_run(entry))
    runs.sort(key=lambda run: run.began_at)
    return runs, unreadable


def _to_run(entry: _Entry) -> RunResult:
    return RunResult(
        run_id=entry.id,
        command=entry.cmd,
        site=entry.site or "",
        began_at=datetime.fromisoformat(entry.at[0]),
        days=tuple(
            DayResult(
                name=day.name,
                quiet=day.slot == QUIET_SLOT,
                worth=day.G or 0.0,
                score=day.score or 0.0,
                broken_rules=len(day.rules),
                prices=tuple(
                    Price(kind, cost) for kind, _, cost in day.prices
                ),
            )
            for day in entry.days
        ),
    )
