"""Which requests a process that is about to end still accepts (pure).

The end of a process that received a stop signal is known.  A request that is
still running then is lost; one that is refused instead can be served by
another instance.
"""

from dataclasses import dataclass

# Draining ends this long before the platform kills the process, also while
# requests are running.
KILL_MARGIN_S = 0.6
# A request is given this many times its expected duration.
SAFETY_FACTOR = 3.0


@dataclass(slots=True)
class Shutdown:
    """The end of this process; ``ends_at`` is monotonic, None if unknown."""

    ends_at: float | None = None

    def begin(self, now: float, shutdown_s: float) -> None:
        """Set the end; the platform kills the process in ``shutdown_s``."""
        self.ends_at = now + max(0.0, shutdown_s - KILL_MARGIN_S)

    def end(self, now: float) -> None:
        """Set the end to now, as nothing is running any more."""
        self.ends_at = now

    def remaining_s(self, now: float) -> float:
        """Return the time until the end, infinite without one."""
        if self.ends_at is None:
            return float("inf")
        return self.ends_at - now

    def allows(
        self, now: float, limit_s: float, expected_s: float | None
    ) -> bool:
        """Return whether a request will be answered before the end.

        It takes ``limit_s`` at most and usually ``expected_s``, which is None
        if that is not known.
        """
        needed_s = limit_s
        if expected_s is not None:
            needed_s = min(limit_s, SAFETY_FACTOR * expected_s)
        return self.remaining_s(now) > needed_s
