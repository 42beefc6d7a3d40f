"""Where an instance's tasks report events.

Events go into rings of bounded size, which the time line reads, and into the
log.  Debug events, of which each search makes some, have a ring of their own,
so that they do not overwrite what happens seldom.
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
    """One occurrence of an event kind.

    ``stamp`` is an encoded hybrid timestamp; ``sequence`` counts the events
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
    """Some of an instance's events, oldest first.

    ``next_after`` is the sequence to continue after; ``overwritten`` counts
    the events after the wished one that the rings no longer hold.
    """

    instance: str
    zone: str
    incarnation: str
    next_after: int
    overwritten: int
    events: list[Event] = field(default_factory=list)


class Journal:
    """Records events of one instance under their numbers."""

    __slots__ = (
        "instance",
        "zone",
        "incarnation",
        "_clock",
        "_last",
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
        self._last = HybridTimestamp()
        self._ring: deque[Event] = deque(maxlen=capacity)
        self._debug_ring: deque[Event] = deque(maxlen=capacity)
        self._sequence = 0

    def record(self, kind: EventKind, /, **fields: Any) -> None:
        """Keep and log one occurrence of ``kind`` with its fields.

        Fields that differ from the catalogue's are reported as an event of
        their own, because a wrong report must not stop the work reported.
        """
        if fields.keys() != set(kind.fields):
            self._report_mismatch(kind, fields)
        self._append(kind, fields)

    def stamp(self) -> str:
        """Return the timestamp to send with a message to a peer."""
        self._last = tick(self._last, self._wall_ms())
        return self._last.encode()

    def observe(self, stamp: str) -> None:
        """Take in the timestamp of a message received from a peer."""
        if not stamp:
            return
        try:
            received = HybridTimestamp.decode(stamp)
            self._last = receive(self._last, received, self._wall_ms())
        except ValueError as error:
            self.record(CLOCK_REJECTED, detail=str(error))

    def read(
        self, after: int = 0, limit: int = 2 * RING_CAPACITY
    ) -> EventPage:
        """Return up to ``limit`` events after sequence number ``after``.

        An ``after`` of another incarnation, ahead of this one, counts as 0.
        """
        if after > self._sequence:
            after = 0
        held = list(merge(self._ring, self._debug_ring, key=_sequence_of))
        first = bisect_right(held, after, key=_sequence_of)
        events = held[first : first + limit]
        return EventPage(
            instance=self.instance,
            zone=self.zone,
            incarnation=self.incarnation,
            next_after=events[-1].sequence if events else self._sequence,
            overwritten=self._sequence - after - (len(held) - first),
            events=events,
        )

    def _append(self, kind: EventKind, fields: dict[str, Any]) -> None:
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
        self._append(
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
