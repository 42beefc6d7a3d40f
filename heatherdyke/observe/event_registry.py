"""Registry of the numbered kinds of events in logs and the timeline.

Number ranges: 1xxx instance, 2xxx configuration and zones, 3xxx
membership and homes, 4xxx search path and leaves, 5xxx run-once, admission
and spending, 6xxx platform, 7xxx gateway.
"""

from dataclasses import dataclass
from enum import Enum


class Severity(Enum):
    """Log level of an event."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


@dataclass(frozen=True, slots=True)
class EventKind:
    """A kind of event, with a number whose meaning never changes.

    ``fields`` lists the fields of each event of this kind; ``action`` tells
    the operator what to do, if anything.
    """

    number: int
    name: str
    severity: Severity
    summary: str
    fields: tuple[str, ...] = ()
    action: str = ""


kind_by_number: dict[int, EventKind] = {}


def register(
    number: int,
    name: str,
    severity: Severity,
    summary: str,
    fields: tuple[str, ...] = (),
    action: str = "",
) -> EventKind:
    """Register a kind; raises ValueError if its number is taken."""
    if number in kind_by_number:
        raise ValueError(f"event number {number} is registered twice")
    kind = EventKind(number, name, severity, summary, fields, action)
    kind_by_number[number] = kind
    return kind
