"""The priority queue of work for one leaf, without I/O."""

from heapq import heapify
from heapq import heappop
from heapq import heappush

from heatherdyke.leaves.work import LeafWork

# Each priority level moves the effective deadline back by this much.
PRIORITY_STEP_S = 0.1


class LeafQueue:
    """Orders work by its deadline and priority.

    Each priority level counts as a deadline that is ``PRIORITY_STEP_S``
    later.  Urgent classes have short deadlines, and less urgent work is
    overtaken only until its own deadline is near.  Work with the same
    effective deadline is served in order of arrival.
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
        effective_deadline = work.expires_at + work.priority * PRIORITY_STEP_S
        heappush(self._entries, (effective_deadline, self._sequence, work))

    def first(self) -> LeafWork:
        """Return the most urgent work; the queue must not be empty."""
        return self._entries[0][2]

    def pop(self) -> LeafWork:
        """Remove and return the most urgent work; there must be some."""
        return heappop(self._entries)[2]

    def remove(self, work: LeafWork) -> None:
        """Remove work from any position in the queue."""
        self._entries = [e for e in self._entries if e[2] is not work]
        heapify(self._entries)

    def pop_all(self) -> list[LeafWork]:
        """Empty the queue and return its work, in no particular order."""
        entries, self._entries = self._entries, []
        return [work for _, _, work in entries]
