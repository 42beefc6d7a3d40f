"""The registry of numbered events that logs and the time line share."""

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


STARTED = register(
    EventKind(
        1001,
        "instance_started",
        Severity.INFO,
        "The instance serves requests.",
        ("address", "zone"),
    )
)
STOPPING = register(
    EventKind(
        1002,
        "instance_stopping",
        Severity.INFO,
        "The instance was told to stop and finishes what runs.",
    )
)
STOPPED = register(
    EventKind(
        1003,
        "instance_stopped",
        Severity.INFO,
        "All requests have ended and the instance exits.",
    )
)
