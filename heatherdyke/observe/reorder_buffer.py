"""Orders events that arrive while instances are being followed; pure."""

from heatherdyke.observe.hybrid_clock import HybridTimestamp
from heatherdyke.observe.journal import Event
from heatherdyke.observe.timeline import EventFilter
from heatherdyke.observe.timeline import merge_events

REORDER_WINDOW_MS = 1500


class ReorderBuffer:
    """Delays events until earlier ones of other instances have arrived.

    An event is released REORDER_WINDOW_MS after its timestamp, so that its
    cause is released first even if it was read slightly later.
    """

    __slots__ = ("_event_filter", "_held")

    def __init__(self, event_filter: EventFilter) -> None:
        self._event_filter = event_filter
        self._held: list[Event] = []

    def add(self, streams: list[list[Event]]) -> None:
        """Add newly read events that match the filter."""
        self._held = merge_events([self._held, *streams], self._event_filter)

    def release(self, wall_ms: int) -> list[Event]:
        """Remove and return the events whose window ended by ``wall_ms``."""
        limit = HybridTimestamp(max(0, wall_ms - REORDER_WINDOW_MS)).encode()
        settled = [event for event in self._held if event.stamp < limit]
        self._held = self._held[len(settled) :]
        return settled
