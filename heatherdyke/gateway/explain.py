"""Explains the outcome of a request from the logs of instances (pure).

A log line is a JSON line of the gateway, with or without a prefix that a log
collector adds.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import msgspec

WORD_PATTERN = re.compile(r"[\w-]+")

# State changes within this time before a request's last entry are reported.
STATE_CHANGE_WINDOW_S = 10.0
# The latest state changes that are shown, of the instance and of leafs each.
MAX_STATE_CHANGES = 8
STATE_EVENTS = frozenset(
    (
        "leaf_doubted",
        "leaf_verified",
        "leaf_removed",
        "leaf_paused",
        "leaf_leaving",
        "leaf_rate_limited",
        "leaf_rate_unlimited",
        "leafs_unreachable",
        "leafs_reachable",
        "zone_silent",
        "message_evicted",
        "settings_reloaded",
        "routing_adopted",
        "routing_held",
        "routing_behind",
        "turned_away",
        "rejoined",
        "zones_out_changed",
        "store_lost",
        "store_regained",
        "store_reads_behind",
        "process_paused",
        "gateway_started",
        "gateway_ready",
        "gateway_stopping",
        "quarantine_changed",
    )
)
OUTCOME_EVENTS = frozenset(
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
    """An event in a log; ``at_s`` is on the instance's own clock."""

    instance: str
    event: str
    at_s: float
    fields: dict[str, Any]


@dataclass(slots=True)
class RequestReport:
    """The log entries of a request and the state changes before them.

    ``dropped_lines`` counts the lines that these instances dropped by their
    rate limit, ``unparsed_lines`` the input lines that are no log entries.
    """

    request_id: str
    entries: list[LogEntry] = field(default_factory=list)
    state_changes: list[LogEntry] = field(default_factory=list)
    dropped_lines: int = 0
    unparsed_lines: int = 0

    @property
    def has_outcome(self) -> bool:
        """Return whether an entry states how the request ended."""
        return any(entry.event in OUTCOME_EVENTS for entry in self.entries)


def read_entry(line: str) -> LogEntry | None:
    """Return the log entry in a line, None if there is none."""
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
    """Return the report of a request from the lines of logs."""
    report = RequestReport(request_id)
    entries: list[LogEntry] = []
    for line in lines:
        entry = read_entry(line)
        if entry is not None:
            entries.append(entry)
        elif line.strip():
            report.unparsed_lines += 1
    report.entries = [
        entry
        for entry in entries
        if entry.fields.get("request_id") == request_id
    ]
    end_by_instance = {entry.instance: entry.at_s for entry in report.entries}
    report.state_changes = [
        entry
        for entry in entries
        if entry.event in STATE_EVENTS
        and _precedes_end(entry, end_by_instance)
    ]
    report.dropped_lines = sum(
        sum(entry.fields.get("left_out_by_event", {}).values())
        for entry in entries
        if entry.event == "log_limited" and entry.instance in end_by_instance
    )
    return report


def render(report: RequestReport) -> list[str]:
    """Return the report as lines of text."""
    if not report.entries:
        return [
            f"no line names request {report.request_id}: the log of its "
            "instance is missing, or the line was dropped",
        ]
    words = _words_of(report.entries)
    leaf_changes = [
        e
        for e in report.state_changes
        if "leaf" in e.fields and _concerns(e, words)
    ]
    instance_changes = [
        e for e in report.state_changes if "leaf" not in e.fields
    ]
    related = (
        leaf_changes[-MAX_STATE_CHANGES:]
        + instance_changes[-MAX_STATE_CHANGES:]
    )
    related.sort(key=lambda entry: entry.at_s)
    lines = [f"request {report.request_id}"]
    lines += [_format_entry(entry) for entry in report.entries]
    lines.append("related state changes shortly before:")
    lines += [_format_entry(entry) for entry in related] or ["  none"]
    if not report.has_outcome:
        lines.append("no line states the outcome")
    if report.dropped_lines:
        lines.append(
            f"{report.dropped_lines} lines of these instances were dropped "
            "by the rate limit: this report may be incomplete"
        )
    lines.append(
        "not in the logs: faults of the network, and what a leaf did with a "
        "request that it did not answer"
    )
    return lines


def _precedes_end(entry: LogEntry, end_by_instance: dict[str, float]) -> bool:
    end = end_by_instance.get(entry.instance)
    return end is not None and end - STATE_CHANGE_WINDOW_S <= entry.at_s <= end


def _words_of(entries: Iterable[LogEntry]) -> frozenset[str]:
    """Return all words of the entries, leafs and services included."""
    text = " ".join(map(_format_entry, entries))
    return frozenset(WORD_PATTERN.findall(text))


def _concerns(change: LogEntry, words: frozenset[str]) -> bool:
    """Return whether the words name the changed leaf or its service."""
    subjects = (change.fields["leaf"], change.fields.get("service"))
    return any(str(name) in words for name in subjects)


def _format_entry(entry: LogEntry) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in entry.fields.items()
        if name not in ("time", "level", "number", "request_id")
    )
    return f"  {entry.at_s:.3f} {entry.instance} {entry.event} {fields}"
