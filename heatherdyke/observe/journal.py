"""Journal in which the tasks of an instance record events.

Events go into ring buffers, which the timeline reads, and into the log.  Debug
events have a ring buffer of their own: each search records several, and they
must not overwrite rare events.
"""

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from heapq import merge
from typing import Any

from loguru import logger

from heatherdyke.clock import Clock
from heatherdyke.observe.event_registry import EventKind
from heatherdyke.observe.event_registry import Severity
from heatherdyke.observe.events import CLOCK_REJECTED
from heatherdyke.observe.events import EVENT_FIELDS_MISMATCHED
from heatherdyke.observe.hybrid_clock import HybridTimestamp
from heatherdyke.observe.hybrid_clock import receive
from heatherdyke.observe.hybrid_clock import tick

RING_CAPACITY = 4096


@dataclass(frozen=True, slots=True)
class Event:
    """A recorded event.

    ``stamp`` is an encoded hybrid timestamp; ``sequence`` numbers the events
    of one incarnation of ``instance`` from 1.
    """

    stamp: str
    sequence: int
    instance: str
    zone: str
    incarnation: str
    number: int
    name: str
    severity: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EventPage:
    """A page of an instance's events, oldest first.

    ``next_after`` is the sequence number to request the next page after;
    ``overwritten`` counts the events after the requested sequence number
    that the ring buffers no longer hold.
    """

    instance: str
    zone: str
    incarnation: str
    next_after: int
    overwritten: int
    events: list[Event] = field(default_factory=list)


class Journal:
    """Records the events of one instance."""

    __slots__ = (
        "instance",
        "zone",
        "incarnation",
        "_clock",
        "_last_timestamp",
        "_ring",
        "_debug_ring",
        "_sequence",
    )

    def __init__(
        self,
        instance: str,
        zone: str = "",
        incarnation: str = "",
        capacity: int = RING_CAPACITY,
        clock: Clock | None = None,
    ) -> None:
        self.instance = instance
        self.zone = zone
        self.incarnation = incarnation
        self._clock = clock or Clock()
        self._last_timestamp = HybridTimestamp()
        self._ring: deque[Event] = deque(maxlen=capacity)
        self._debug_ring: deque[Event] = deque(maxlen=capacity)
        self._sequence = 0

    def record(self, kind: EventKind, /, **fields: Any) -> None:
        """Record and log an event of ``kind`` with its fields.

        Fields that differ from the kind's are reported as a separate event
        rather than raised: a faulty record must not fail the caller.
        """
        if fields.keys() != set(kind.fields):
            self._report_mismatch(kind, fields)
        self._store_and_log(kind, fields)

    def stamp(self) -> str:
        """Return the timestamp to send with a message to a peer."""
        self._last_timestamp = tick(self._last_timestamp, self._wall_ms())
        return self._last_timestamp.encode()

    def observe(self, stamp: str) -> None:
        """Advance the clock past the timestamp of a message from a peer.

        A malformed timestamp, or one too far ahead, is recorded and ignored.
        """
        if not stamp:
            return
        try:
            received = HybridTimestamp.decode(stamp)
            self._last_timestamp = receive(
                self._last_timestamp, received, self._wall_ms()
            )
        except ValueError as error:
            self.record(CLOCK_REJECTED, detail=str(error))

    def read(
        self, after: int = 0, limit: int = 2 * RING_CAPACITY
    ) -> EventPage:
        """Return up to ``limit`` events after sequence number ``after``.

        An ``after`` beyond the last event is of an earlier incarnation and
        counts as 0.
        """
        if after > self._sequence:
            after = 0
        stored = list(merge(self._ring, self._debug_ring, key=_sequence_of))
        first = bisect_right(stored, after, key=_sequence_of)
        events = stored[first : first + limit]
        return EventPage(
            instance=self.instance,
            zone=self.zone,
            incarnation=self.incarnation,
            next_after=events[-1].sequence if events else self._sequence,
            overwritten=self._sequence - after - (len(stored) - first),
            events=events,
        )

    def _store_and_log(self, kind: EventKind, fields: dict[str, Any]) -> None:
        self._sequence += 1
        event = Event(
            stamp=self.stamp(),
            sequence=self._sequence,
            instance=self.instance,
            zone=self.zone,
            incarnation=self.incarnation,
            number=kind.number,
            name=kind.name,
            severity=kind.severity.value,
            fields=fields,
        )
        self._ring_of(kind).append(event)
        logger.bind(event=event).log(kind.severity.value, kind.name)

    def _ring_of(self, kind: EventKind) -> deque[Event]:
        is_debug = kind.severity is Severity.DEBUG
        return self._debug_ring if is_debug else self._ring

    def _report_mismatch(
        self, kind: EventKind, fields: dict[str, Any]
    ) -> None:
        self._store_and_log(
            EVENT_FIELDS_MISMATCHED,
            {
                "kind": kind.name,
                "missing": sorted(set(kind.fields) - fields.keys()),
                "unknown": sorted(fields.keys() - set(kind.fields)),
            },
        )

    def _wall_ms(self) -> int:
        return int(self._clock.wall() * 1000)


def _sequence_of(event: Event) -> int:
    return event.sequence
