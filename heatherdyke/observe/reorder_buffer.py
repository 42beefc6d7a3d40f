"""Orders events that arrive while instances are being followed; pure."""

from heatherdyke.observe.hybrid_clock import HybridTimestamp
from heatherdyke.observe.journal import Event
from heatherdyke.observe.timeline import EventFilter
from heatherdyke.observe.timeline import merge_events

SETTLE_MS = 1500


class ReorderBuffer:
    """Holds events back until those of other instances should be here.

    An event is released SETTLE_MS after its timestamp, so that a cause that
    was read a little later still comes out first.
    """

    __slots__ = ("_wanted", "_held")

    def __init__(self, wanted: EventFilter) -> None:
        self._wanted = wanted
        self._held: list[Event] = []

    def add(self, streams: list[list[Event]]) -> None:
        """Take in newly read events."""
        self._held = merge_events([self._held, *streams], self._wanted)

    def release(self, wall_ms: int) -> list[Event]:
        """Return and drop the events that are settled at ``wall_ms``."""
        limit = HybridTimestamp(max(0, wall_ms - SETTLE_MS)).encode()
        settled = [event for event in self._held if event.stamp < limit]
        self._held = self._held[len(settled) :]
        return settled
