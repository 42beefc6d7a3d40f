"""Which connections are closed to make room for new ones (pure).

First those that are idle, then those whose requests arrive slowly, and last
those that have been opened or served just now: their next requests may be on
the way.
"""

from collections.abc import Collection
from typing import Protocol

# A connection counts as idle after this time; clients that send one request
# after the other use theirs again sooner.
MIN_IDLE_S = 0.25
# Sorting takes milliseconds.  It is not repeated for this long if it found
# less than this share of the connections, as each new one would repeat it.
SORT_PAUSE_S = 0.05
MIN_FOUND_SHARE = 0.05


class ClosableConnection(Protocol):
    """The view of a connection that decides when it is closed."""

    last_active_at: float

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read, waits or is served."""

    @property
    def is_incomplete(self) -> bool:
        """Return whether all that was received is a part of a request."""

    @property
    def is_closing(self) -> bool:
        """Return whether the connection ends once all is sent."""

    def reading_for_s(self, now: float) -> float:
        """Return how long the client takes, without waits for turns here."""

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle; return whether it was."""

    def evict(self) -> None:
        """Close the connection, as others need its place or its memory."""


class ClosableConnections:
    """The connections that can be closed, sorted when they are needed."""

    __slots__ = ("_sorted", "_sorted_at", "_sort_again_at")

    def __init__(self) -> None:
        # The first to close is the last.
        self._sorted: list[ClosableConnection] = []
        self._sorted_at = float("-inf")
        self._sort_again_at = float("-inf")

    def forget(self) -> None:
        """Sort again when a connection is to be closed.

        Call this regularly, as the order changes.
        """
        self._sorted.clear()

    def close_one(
        self, connections: Collection[ClosableConnection], now: float
    ) -> bool:
        """Close a connection; return False if all of them are in use."""
        if not self._sorted and now >= self._sort_again_at:
            self._sort(connections, now)
        while self._sorted:
            connection = self._sorted.pop()
            if self._close(connection):
                return True
        return False

    def _sort(
        self, connections: Collection[ClosableConnection], now: float
    ) -> None:
        self._sorted = [
            item
            for item in connections
            if (item.is_idle or item.is_incomplete) and not item.is_closing
        ]
        self._sorted.sort(key=lambda item: _priority(item, now))
        self._sorted_at = now
        if len(self._sorted) < MIN_FOUND_SHARE * len(connections):
            self._sort_again_at = now + SORT_PAUSE_S

    def _close(self, connection: ClosableConnection) -> bool:
        """Close a connection unless it is in use again."""
        if connection.is_closing:
            return False
        if connection.last_active_at > self._sorted_at:
            return False
        if connection.close_if_idle():
            return True
        if not connection.is_incomplete:
            return False
        connection.evict()
        return True


def _priority(
    connection: ClosableConnection, now: float
) -> tuple[bool, bool, float]:
    """Return a key that is largest for the first connection to close."""
    is_idle = connection.is_idle
    if not is_idle:
        return False, True, connection.reading_for_s(now)
    idle_s = now - connection.last_active_at
    return idle_s >= MIN_IDLE_S, False, idle_s
