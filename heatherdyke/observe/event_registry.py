"""The registry of numbered events that logs and the time line share.

Numbers stand in ranges: 1xxx instance, 2xxx configuration and zones, 3xxx
membership and homes, 4xxx search path and leaves, 5xxx run-once, admission
and spending, 6xxx platform, 7xxx gateway.
"""

from dataclasses import dataclass
from enum import Enum


class Severity(Enum):
    """How much an event matters to an operator."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


@dataclass(frozen=True, slots=True)
class EventKind:
    """A kind of event: its number never changes meaning.

    ``fields`` names what each occurrence carries; ``action`` tells the
    operator what to do, if anything.
    """

    number: int
    name: str
    severity: Severity
    summary: str
    fields: tuple[str, ...] = ()
    action: str = ""


kind_by_number: dict[int, EventKind] = {}


def register(kind: EventKind) -> EventKind:
    """Add ``kind`` to the catalogue; raises ValueError on a used number."""
    if kind.number in kind_by_number:
        raise ValueError(f"event number {kind.number} is used twice")
    kind_by_number[kind.number] = kind
    return kind
