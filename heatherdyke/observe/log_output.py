"""Structured logs on standard error, a line of JSON per entry, by loguru."""

import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from heatherdyke.observe.journal import Event

if TYPE_CHECKING:
    from loguru import Message

DEFAULT_LEVEL = "INFO"

_encoder = msgspec.json.Encoder(enc_hook=str)


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log entry; only entries made by the journal have an ``event``."""

    time: str
    level: str
    message: str
    event: Event | None = None
    error: str | None = None


def configure_logging(level: str = DEFAULT_LEVEL) -> None:
    """Log entries of ``level`` and above to standard error only.

    Raises ValueError if loguru does not know the level.
    """
    logger.remove()
    logger.add(_write_line, level=level, catch=True)


def _write_line(message: "Message") -> None:
    record = message.record
    exception = record["exception"]
    line = LogLine(
        time=record["time"].isoformat(),
        level=record["level"].name,
        message=record["message"],
        event=record["extra"].get("event"),
        error=repr(exception.value) if exception else None,
    )
    sys.stderr.write(_encoder.encode(line).decode() + "\n")
