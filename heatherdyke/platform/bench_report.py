"""Decodes the report that the users' bench writes about one day."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from heatherdyke.errors import UnreadableObject
from heatherdyke.platform.bench_journal import WHOLE_DAY


@dataclass(frozen=True, slots=True)
class DayReport:
    """One day.

    ``worth`` is the credit less the prices, ``credit`` that of the whole day
    before prices, ``in_time_share`` the share of requests that were answered
    within their latency objective.  ``violations`` names the broken rules.
    """

    worth: float
    credit: float
    in_time_share: float
    violations: tuple[str, ...]


class _WireCounts(msgspec.Struct):
    n: int
    in_aim: int


class _WireReport(msgspec.Struct):
    # The day's worth, before it is capped to a score.
    G: float
    # Name of a part of the worth, its weight and its value.
    parts: list[tuple[str, float, float]]
    breaks: dict[str, object]
    all: _WireCounts


def read_day_report(path: Path) -> DayReport:
    """Read a report; raises UnreadableObject if it cannot be decoded."""
    try:
        wire = msgspec.json.decode(path.read_bytes(), type=_WireReport)
    except (OSError, msgspec.MsgspecError) as error:
        raise UnreadableObject(str(path), str(error)) from error
    value_by_part = {name: value for name, _, value in wire.parts}
    return DayReport(
        worth=wire.G,
        credit=value_by_part.get(WHOLE_DAY, 0.0),
        in_time_share=wire.all.in_aim / max(1, wire.all.n),
        violations=tuple(wire.breaks),
    )
