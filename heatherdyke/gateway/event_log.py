"""One structured line a decision, within a budget of lines a second.

Lines are JSON on standard output.  A full pipe loses lines; it never holds
the process up.  What is left out is counted and told.
"""

import os
import sys
from dataclasses import dataclass
from typing import Any

import msgspec
from loguru import logger

from heatherdyke.gateway.events import LOG_LIMITED
from heatherdyke.observe.event_registry import EventKind
from heatherdyke.observe.event_registry import Severity

LINES_PER_S = 40.0
BURST_LINES = 200.0
# Below this many left lines only warnings and errors are written, so that
# refused and failed requests go before served ones.
RESERVED_LINES = 100.0
REPORT_EVERY_S = 1.0


@dataclass(slots=True)
class LogLineBudget:
    """A token bucket of log lines (pure)."""

    rate: float = LINES_PER_S
    burst: float = BURST_LINES
    reserved: float = RESERVED_LINES
    tokens: float = BURST_LINES
    filled_at: float = 0.0

    def take(self, severity: Severity, now: float) -> bool:
        """Take a token; the reserve is for warnings and errors."""
        earned = (now - self.filled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + max(0.0, earned))
        self.filled_at = now
        urgent = severity in (Severity.WARNING, Severity.ERROR)
        floor = 1.0 if urgent else self.reserved
        if self.tokens < floor:
            return False
        self.tokens -= 1.0
        return True


class EventLog:
    """Writes events of this process; ``now`` reads a monotonic clock."""

    __slots__ = ("_now", "_budget", "_left_out_by_event", "_reported_at")

    def __init__(self, now: Any, budget: LogLineBudget | None = None) -> None:
        self._now = now
        self._budget = budget or LogLineBudget()
        self._left_out_by_event: dict[str, int] = {}
        self._reported_at = 0.0

    def record(self, kind: EventKind, /, **fields: Any) -> None:
        """Write one line, if the budget allows it."""
        now = self._now()
        if not self._budget.take(kind.severity, now):
            count = self._left_out_by_event.get(kind.name, 0)
            self._left_out_by_event[kind.name] = count + 1
            return
        self._report_left_out(now)
        self._write(kind, now, fields)

    def _report_left_out(self, now: float) -> None:
        due = now - self._reported_at >= REPORT_EVERY_S
        if self._left_out_by_event and due:
            self._reported_at = now
            left_out, self._left_out_by_event = self._left_out_by_event, {}
            self._write(LOG_LIMITED, now, {"left_out_by_event": left_out})

    def _write(
        self, kind: EventKind, now: float, fields: dict[str, Any]
    ) -> None:
        line = {"at_s": round(now, 4), "number": kind.number, **fields}
        logger.bind(fields=line).log(kind.severity.value, kind.name)


class _Output:
    """Writes encoded lines to a descriptor that never blocks.

    Lines lost to a slow reader are counted in the next one's ``lost``.
    """

    __slots__ = ("_descriptor", "_name", "_encoder", "_lost")

    def __init__(self, descriptor: int, name: str) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._name = name
        self._lost = 0
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def write(self, message: Any) -> None:
        """Write one of loguru's messages as a line of JSON."""
        record = message.record
        line = {
            "time": record["time"].isoformat(),
            "instance": self._name,
            "level": record["level"].name,
            "event": record["message"],
            **record["extra"].get("fields", {}),
        }
        if self._lost:
            line["lost"] = self._lost
        data = self._encoder.encode(line) + b"\n"
        try:
            os.write(self._descriptor, data)
        except BlockingIOError:
            # The reader is slow: the line is lost rather than the request.
            self._lost += 1
        else:
            self._lost = 0


def write_events_to_stdout(name: str, level: str = "DEBUG") -> None:
    """Send all lines of ``level`` and above to standard output."""
    output = _Output(sys.stdout.fileno(), name)
    logger.remove()
    logger.add(output.write, level=level, format="{message}", catch=True)
