"""Clocks as values, so that decisions take the time as an argument."""

from time import monotonic
from time import time


class Clock:
    """Reads the monotonic clock and the wall clock, both in seconds."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds; only differences have a meaning."""
        return monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch, for people to read."""
        return time()
