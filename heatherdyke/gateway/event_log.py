"""Logs events as JSON lines on standard output, with a rate limit.

Writes never block: lines are dropped while the pipe is full.  Lines dropped
by the rate limit or by a full pipe are counted, and the counts are logged.
"""

import os
from dataclasses import dataclass
from typing import Any

import msgspec
from loguru import logger

from heatherdyke.gateway.events import GATEWAY_FAILED
from heatherdyke.gateway.events import GATEWAY_READY
from heatherdyke.gateway.events import GATEWAY_STARTED
from heatherdyke.gateway.events import GATEWAY_STOPPED
from heatherdyke.gateway.events import GATEWAY_STOPPING
from heatherdyke.gateway.events import LOG_LIMITED
from heatherdyke.gateway.events import SETTINGS_RELOADED
from heatherdyke.gateway.events import STORE_LOST
from heatherdyke.gateway.events import STORE_REGAINED
from heatherdyke.observe.event_registry import EventKind
from heatherdyke.observe.event_registry import Severity

# ``sys.stdout`` is None if the descriptor was closed at the start.
STANDARD_OUTPUT = 1
LINES_PER_S = 40.0
LINE_BURST = 200.0
# With fewer tokens than this only warnings and errors are logged, so that
# refused and failed requests take precedence over successful ones.
RESERVED_LINES = 100.0
REPORT_INTERVAL_S = 1.0
# Longer texts are cut.  They come from others' entries and requests.
MAX_TEXT_CHARS = 8192
# These are rare, and other lines cannot be understood without them.
UNLIMITED = frozenset(
    (
        GATEWAY_FAILED,
        GATEWAY_READY,
        GATEWAY_STARTED,
        GATEWAY_STOPPED,
        GATEWAY_STOPPING,
        SETTINGS_RELOADED,
        STORE_LOST,
        STORE_REGAINED,
    )
)


@dataclass(slots=True)
class LogLineBudget:
    """A token bucket that limits the rate of log lines (pure)."""

    rate: float = LINES_PER_S
    burst: float = LINE_BURST
    reserved: float = RESERVED_LINES
    tokens: float = LINE_BURST
    refilled_at: float = 0.0

    def take(self, severity: Severity, now: float) -> bool:
        """Take a token; the reserve is kept for warnings and errors."""
        added = (now - self.refilled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + max(0.0, added))
        self.refilled_at = now
        is_urgent = severity in (Severity.WARNING, Severity.ERROR)
        required = 1.0 if is_urgent else self.reserved
        if self.tokens < required:
            return False
        self.tokens -= 1.0
        return True


class EventLog:
    """Logs the events of this process; ``now`` is a monotonic clock."""

    __slots__ = ("_now", "_budget", "_dropped_by_event", "_reported_at")

    def __init__(self, now: Any, budget: LogLineBudget | None = None) -> None:
        self._now = now
        self._budget = budget or LogLineBudget()
        self._dropped_by_event: dict[str, int] = {}
        self._reported_at = 0.0

    def record(self, kind: EventKind, /, **fields: Any) -> None:
        """Log an event if the rate limit allows it, else count it."""
        now = self._now()
        allowed = self._budget.take(kind.severity, now)
        if not allowed and kind not in UNLIMITED:
            count = self._dropped_by_event.get(kind.name, 0)
            self._dropped_by_event[kind.name] = count + 1
            return
        self._report_dropped(now)
        self._write(kind, now, fields)

    def _report_dropped(self, now: float) -> None:
        is_due = now - self._reported_at >= REPORT_INTERVAL_S
        if self._dropped_by_event and is_due:
            self._reported_at = now
            dropped, self._dropped_by_event = self._dropped_by_event, {}
            self._write(LOG_LIMITED, now, {"left_out_by_event": dropped})

    def _write(
        self, kind: EventKind, now: float, fields: dict[str, Any]
    ) -> None:
        line = {"at_s": round(now, 4), "number": kind.number}
        for name, value in fields.items():
            line[name] = _shorten(value)
        logger.bind(fields=line).log(kind.severity.value, kind.name)


def _shorten(value: Any) -> Any:
    """Return the value of a field, without most of a long text."""
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
        return f"{value[:MAX_TEXT_CHARS]}... ({len(value)} characters)"
    return value


class _JsonLineWriter:
    """Writes JSON lines to a non-blocking file descriptor.

    The next line that is written states in ``lost`` how many were dropped
    before it because they could not be written.
    """

    __slots__ = ("_descriptor", "_name", "_encoder", "_lost")

    def __init__(self, descriptor: int, name: str) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._name = name
        self._lost = 0
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def write(self, message: Any) -> None:
        """Write a loguru message as a line of JSON."""
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
        except OSError:
            # A reader that is slow or gone, or a full disk, must not delay
            # or fail requests.
            self._lost += 1
        else:
            self._lost = 0


def write_events_to_stdout(name: str, level: str = "DEBUG") -> None:
    """Write events of ``level`` and above to standard output."""
    output = _JsonLineWriter(STANDARD_OUTPUT, name)
    logger.remove()
    logger.add(output.write, level=level, format="{message}", catch=True)
