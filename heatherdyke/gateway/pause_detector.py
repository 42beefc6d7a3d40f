"""Notices that the process stood still (pure)."""

from dataclasses import dataclass

# The loop's own delays stay below this.
LEAST_S = 1.0


@dataclass(slots=True)
class PauseDetector:
    """Compares ticks by a clock that counts suspended time too."""

    interval_s: float
    ticked_at: float | None = None

    def tick(self, boot_s: float) -> float:
        """Return for how long the process stood still, 0 if it did not."""
        before, self.ticked_at = self.ticked_at, boot_s
        if before is None:
            return 0.0
        paused_s = boot_s - before - self.interval_s
        return paused_s if paused_s >= LEAST_S else 0.0
