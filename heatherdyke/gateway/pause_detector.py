"""Detects that the process was paused (pure)."""

from dataclasses import dataclass

# Delays of the event loop itself are shorter.
MIN_PAUSE_S = 1.0


@dataclass(slots=True)
class PauseDetector:
    """Compares regular ticks on a clock that includes suspended time."""

    interval_s: float
    ticked_at: float | None = None

    def tick(self, boot_s: float) -> float:
        """Return how long the process was paused, 0 if it was not."""
        previous, self.ticked_at = self.ticked_at, boot_s
        if previous is None:
            return 0.0
        paused_s = boot_s - previous - self.interval_s
        return paused_s if paused_s >= MIN_PAUSE_S else 0.0
