"""The lease times and reserved slots that all instances agree on."""

from dataclasses import dataclass

NEVER = float("-inf")
SHORT_WORK_S = 1.0
MAX_WORK_S = 30.0
TRANSIT_S = 1.0
CLOCK_DRIFT = 0.02


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """The times that all instances of a deployment agree on, in seconds.

    Short work takes at most ``short_work_s`` at a leaf, any work at most
    ``max_work_s``.  ``drift`` limits by which fraction the rates of two
    monotonic clocks differ, and ``transit_s`` how long a request is in
    transit.
    """

    lease_s: float = 2.0
    short_work_s: float = SHORT_WORK_S
    max_work_s: float = MAX_WORK_S
    transit_s: float = TRANSIT_S
    drift: float = CLOCK_DRIFT

    @property
    def expiry_wait_s(self) -> float:
        """Return how long a successor waits for a lease to have expired."""
        wait_s = self.lease_s + self.short_work_s + self.transit_s
        return wait_s * (1 + self.drift)

    @property
    def short_wait_s(self) -> float:
        """Return how long short work may outlive its process."""
        return self.wait_s(self.short_work_s)

    def wait_s(self, work_s: float) -> float:
        """Return how long work of ``work_s`` may outlive its process."""
        return (work_s + self.transit_s) * (1 + self.drift)


def reserved_slots(slots: int) -> int:
    """Return how many slots a home with an expired lease leaves free."""
    return 1 if slots > 1 else 0
