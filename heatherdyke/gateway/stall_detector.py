"""Detects that the event loop stood still, and how busy it was (pure)."""

from dataclasses import dataclass

from heatherdyke.gateway.standstill import MAX_DELAY_S


@dataclass(frozen=True, slots=True)
class Stall:
    """A tick that came ``late_s`` late.

    The process used ``cpu_s`` of processor time since the tick before: about
    as much in work of its own, and hardly any while it was paused or waited
    for a processor.
    """

    late_s: float
    cpu_s: float


@dataclass(slots=True)
class StallDetector:
    """Compares regular ticks on a clock with the processor time used."""

    interval_s: float
    _ticked_at: float | None = None
    _cpu_s: float = 0.0

    def tick(self, now: float, cpu_s: float) -> Stall | None:
        """Return the stall that this tick ends, if any.

        ``cpu_s`` is what the process has used since its start.
        """
        previous, self._ticked_at = self._ticked_at, now
        used_s = cpu_s - self._cpu_s
        self._cpu_s = cpu_s
        if previous is None:
            return None
        late_s = now - previous - self.interval_s
        return Stall(late_s, used_s) if late_s > MAX_DELAY_S else None
