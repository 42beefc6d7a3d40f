"""A clock that is passed to components, so that tests can replace it."""

from time import monotonic
from time import time


class Clock:
    """Reads the monotonic clock and the wall clock, both in seconds."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds; only differences are meaningful."""
        return monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for timestamps."""
        return time()
