"""Work that waits for one leaf, most urgent first (pure)."""

from heapq import heapify
from heapq import heappop
from heapq import heappush

from heatherdyke.leaves.work import LeafWork

# What one step of priority counts as, in seconds of deadline.
PRIORITY_STEP_S = 0.1


class LeafQueue:
    """Orders work by its deadline and priority.

    A step of priority counts as a deadline PRIORITY_STEP_S later: urgent
    classes have short deadlines, and what may wait is overtaken until its
    own deadline is near.  Work of the same place keeps its order.
    """

    __slots__ = ("_entries", "_sequence")

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, LeafWork]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, work: LeafWork) -> None:
        """Add work."""
        self._sequence += 1
        place = work.expires_at + work.priority * PRIORITY_STEP_S
        heappush(self._entries, (place, self._sequence, work))

    def first(self) -> LeafWork:
        """Return the most urgent work; the queue must not be empty."""
        return self._entries[0][2]

    def pop(self) -> LeafWork:
        """Take the most urgent work; the queue must not be empty."""
        return heappop(self._entries)[2]

    def remove(self, work: LeafWork) -> None:
        """Take out work that may wait anywhere in the queue."""
        self._entries = [e for e in self._entries if e[2] is not work]
        heapify(self._entries)

    def pop_all(self) -> list[LeafWork]:
        """Empty the queue and return what was in it."""
        entries, self._entries = self._entries, []
        return [work for _, _, work in entries]
