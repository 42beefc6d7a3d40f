"""Tells for how long this process stood still lately (pure)."""

from dataclasses import dataclass

# How often ``tick`` is called, and how much later it is without a standstill.
TICK_INTERVAL_S = 0.25
MAX_DELAY_S = 0.25


@dataclass(slots=True)
class Standstill:
    """The last standstill, by the delays of regular ticks.

    Timers that became due meanwhile may be called before the next tick.  All
    times are monotonic seconds.
    """

    _ticked_at: float | None = None
    _began_at: float = float("-inf")
    _ended_at: float = float("-inf")

    def tick(self, now: float) -> None:
        """Record a regular tick."""
        if self._is_late(now):
            self._began_at = self._ticked_at + TICK_INTERVAL_S
            self._ended_at = now
        self._ticked_at = now

    def duration_s(self, since: float, now: float) -> float:
        """Return for how long the process stood still since then."""
        began_at, ended_at = self._began_at, self._ended_at
        if self._is_late(now):
            began_at, ended_at = self._ticked_at + TICK_INTERVAL_S, now
        return max(0.0, ended_at - max(began_at, since))

    def _is_late(self, now: float) -> bool:
        if self._ticked_at is None:
            return False
        return now - self._ticked_at > TICK_INTERVAL_S + MAX_DELAY_S
