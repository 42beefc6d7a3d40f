"""Joins several processes' decision logs into one request's story (pure).

Lines are the gateway's JSON lines, or others with such a line at their end,
as log collectors print them.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import msgspec

WORD = re.compile(r"[\w-]+")

# Beliefs that changed this long before a request may explain its outcome.
BEFORE_S = 10.0
# At most so many are told of the instance and of leafs, the last ones.
MOST_BELIEFS = 8
BELIEF_EVENTS = frozenset(
    (
        "leaf_doubted",
        "leaf_removed",
        "routing_adopted",
        "routing_held",
        "routing_behind",
        "turned_away",
        "rejoined",
        "zones_out_changed",
        "store_lost",
        "store_regained",
        "process_paused",
        "gateway_started",
        "gateway_ready",
        "gateway_stopping",
    )
)
OUTCOMES = frozenset(
    (
        "request_refused",
        "request_failed",
        "search_partial",
        "request_served",
        "client_left",
    )
)


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One line: which instance said what, and when on its own clock."""

    instance: str
    event: str
    at_s: float
    fields: dict[str, Any]


@dataclass(slots=True)
class RequestReport:
    """A request's lines, what was believed before, and what is not told."""

    request_id: str
    entries: list[LogEntry] = field(default_factory=list)
    beliefs: list[LogEntry] = field(default_factory=list)
    left_out: int = 0
    unreadable: int = 0

    @property
    def has_outcome(self) -> bool:
        """Tell whether a line says how the request ended."""
        return any(entry.event in OUTCOMES for entry in self.entries)


def read_entry(line: str) -> LogEntry | None:
    """Return the entry in a line, None if there is none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(line[start:].strip())
        return LogEntry(
            instance=fields.pop("instance"),
            event=fields.pop("event"),
            at_s=float(fields.pop("at_s")),
            fields=fields,
        )
    except (msgspec.MsgspecError, KeyError, TypeError, AttributeError):
        return None


def explain(request_id: str, lines: Iterable[str]) -> RequestReport:
    """Return what the lines tell of a request."""
    story = RequestReport(request_id)
    entries: list[LogEntry] = []
    for line in lines:
        entry = read_entry(line)
        if entry is not None:
            entries.append(entry)
        elif line.strip():
            story.unreadable += 1
    story.entries = [
        entry
        for entry in entries
        if entry.fields.get("request_id") == request_id
    ]
    end_by_instance = {entry.instance: entry.at_s for entry in story.entries}
    story.beliefs = [
        entry
        for entry in entries
        if entry.event in BELIEF_EVENTS and _is_before(entry, end_by_instance)
    ]
    story.left_out = sum(
        sum(entry.fields.get("left_out_by_event", {}).values())
        for entry in entries
        if entry.event == "log_limited" and entry.instance in end_by_instance
    )
    return story


def render(story: RequestReport) -> list[str]:
    """Return the story as lines of text."""
    if not story.entries:
        return [
            f"no line names request {story.request_id}: it came to an "
            "instance whose log is not here, or its line was left out",
        ]
    names = _named(story.entries)
    of_leafs = [
        e for e in story.beliefs if "leaf" in e.fields and _touches(e, names)
    ]
    of_instance = [e for e in story.beliefs if "leaf" not in e.fields]
    related = of_leafs[-MOST_BELIEFS:] + of_instance[-MOST_BELIEFS:]
    related.sort(key=lambda entry: entry.at_s)
    lines = [f"request {story.request_id}"]
    lines += [_line(entry) for entry in story.entries]
    lines.append("what was believed shortly before, and touches it:")
    lines += [_line(entry) for entry in related] or ["  none"]
    if not story.has_outcome:
        lines.append("no line tells how it ended")
    if story.left_out:
        lines.append(
            f"{story.left_out} lines of these instances were left out to "
            "keep the log bounded: some of this may be missing"
        )
    lines.append(
        "not told: what the network did, and what a leaf did with a request "
        "that it did not answer"
    )
    return lines


def _is_before(entry: LogEntry, end_by_instance: dict[str, float]) -> bool:
    end = end_by_instance.get(entry.instance)
    return end is not None and end - BEFORE_S <= entry.at_s <= end


def _named(entries: Iterable[LogEntry]) -> frozenset[str]:
    """Return all words of the entries, leafs and services among them."""
    text = " ".join(map(_line, entries))
    return frozenset(WORD.findall(text))


def _touches(belief: LogEntry, names: frozenset[str]) -> bool:
    """Tell whether a belief is of a leaf or service that is named."""
    about = (belief.fields["leaf"], belief.fields.get("service"))
    return any(str(name) in names for name in about)


def _line(entry: LogEntry) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in entry.fields.items()
        if name not in ("time", "level", "number", "request_id")
    )
    return f"  {entry.at_s:.3f} {entry.instance} {entry.event} {fields}"
