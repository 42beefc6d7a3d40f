"""The times and shares on which all homes of a deployment agree; pure."""

from dataclasses import dataclass

NEVER = float("-inf")
SHORT_WORK_S = 1.0
MAX_WORK_S = 30.0
TRANSIT_S = 1.0
CLOCK_DRIFT = 0.02


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """The times that all instances of a deployment agree on, in seconds.

    Short work lasts at most ``short_work_s`` at a leaf, any work at most
    ``max_work_s``.  ``drift`` bounds by how much two monotonic clocks
    differ in rate, and ``transit_s`` how long a request is under way.
    """

    lease_s: float = 2.0
    short_work_s: float = SHORT_WORK_S
    max_work_s: float = MAX_WORK_S
    transit_s: float = TRANSIT_S
    drift: float = CLOCK_DRIFT

    @property
    def lapse_wait_s(self) -> float:
        """Return how long a successor waits for a lease to have lapsed."""
        wait_s = self.lease_s + self.short_work_s + self.transit_s
        return wait_s * (1 + self.drift)

    @property
    def short_wait_s(self) -> float:
        """Return when the short work of a process that ended is over."""
        return self.wait_s(self.short_work_s)

    def wait_s(self, work_s: float) -> float:
        """Return when work of ``work_s`` of an ended process is over."""
        return (work_s + self.transit_s) * (1 + self.drift)


def reserved_slots(slots: int) -> int:
    """Return how many slots a lapsed home leaves to its successor."""
    return 1 if slots > 1 else 0
