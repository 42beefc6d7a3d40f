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
    """Criteria that an event must meet; an empty one accepts all events."""

    request: str = ""
    team: str = ""
    leaf: str = ""
    zone: str = ""
    number: int = 0

    def matches(self, event: Event) -> bool:
        """Tell whether ``event`` meets all criteria."""
        if self.number and event.number != self.number:
            return False
        if self.zone and self.zone != event.zone:
            if not _has_value(event, ZONE_FIELDS, self.zone):
                return False
        return (
            _meets(event, REQUEST_FIELDS, self.request)
            and _meets(event, TEAM_FIELDS, self.team)
            and _meets(event, LEAF_FIELDS, self.leaf)
        )


def merge_events(
    streams: Iterable[Iterable[Event]], event_filter: EventFilter
) -> list[Event]:
    """Return the matching events of all streams, causes before effects.

    Events of one instance keep their order.  An event contained in several
    streams is returned once.
    """
    event_by_id = {
        (event.instance, event.incarnation, event.sequence): event
        for stream in streams
        for event in stream
        if event_filter.matches(event)
    }
    return sorted(event_by_id.values(), key=_causal_order)


def _causal_order(event: Event) -> tuple[str, str, int]:
    return event.stamp, event.instance, event.sequence


def _meets(event: Event, names: tuple[str, ...], expected: str) -> bool:
    return not expected or _has_value(event, names, expected)


def _has_value(event: Event, names: tuple[str, ...], expected: str) -> bool:
    for name in names:
        value = event.fields.get(name)
        if value == expected:
            return True
        if isinstance(value, list | tuple) and expected in value:
            return True
    return False
