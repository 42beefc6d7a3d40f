"""Merges the events of several instances in causal order; pure."""

from collections.abc import Iterable
from dataclasses import dataclass

from heatherdyke.observe.journal import Event

REQUEST_FIELDS = ("request_id", "key")
TEAM_FIELDS = ("team",)
LEAF_FIELDS = ("leaf", "leaves")
ZONE_FIELDS = ("zone",)


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Which events to keep; an empty value keeps all."""

    request: str = ""
    team: str = ""
    leaf: str = ""
    zone: str = ""
    number: int = 0

    def matches(self, event: Event) -> bool:
        """Tell whether ``event`` passes every part of the filter."""
        if self.number and event.number != self.number:
            return False
        if self.zone and self.zone != event.zone:
            if not _carries(event, ZONE_FIELDS, self.zone):
                return False
        return (
            _passes(event, REQUEST_FIELDS, self.request)
            and _passes(event, TEAM_FIELDS, self.team)
            and _passes(event, LEAF_FIELDS, self.leaf)
        )


def merge_events(
    streams: Iterable[Iterable[Event]], wanted: EventFilter
) -> list[Event]:
    """Return the matching events of all streams, causes before effects.

    Events of one instance keep their order.  An event that comes in two
    streams is returned once.
    """
    event_by_id = {
        (event.instance, event.incarnation, event.sequence): event
        for stream in streams
        for event in stream
        if wanted.matches(event)
    }
    return sorted(event_by_id.values(), key=_causal_order)


def _causal_order(event: Event) -> tuple[str, str, int]:
    return event.stamp, event.instance, event.sequence


def _passes(event: Event, names: tuple[str, ...], wanted: str) -> bool:
    return not wanted or _carries(event, names, wanted)


def _carries(event: Event, names: tuple[str, ...], wanted: str) -> bool:
    for name in names:
        value = event.fields.get(name)
        if value == wanted:
            return True
        if isinstance(value, list | tuple) and wanted in value:
            return True
    return False
