"""Generates docs/EVENTS.md from the event registry.

Usage: ``python -m heatherdyke.observe.event_catalogue > docs/EVENTS.md``.
"""

from importlib import import_module
from pkgutil import walk_packages

import heatherdyke
from heatherdyke.observe.event_registry import EventKind
from heatherdyke.observe.event_registry import kind_by_number

HEADING_BY_THOUSAND = {
    1: "Instance",
    2: "Configuration and zones",
    3: "Membership and homes",
    4: "Search path and leaves",
    5: "Run-once, admission and spending",
    6: "Platform",
    7: "Gateway",
}
HEADER = """\
# Events

Each kind of event has a number whose meaning never changes. The logs (field
`event.number`) and `heatherdyke timeline` use the same numbers. This page is
generated: `python -m heatherdyke.observe.event_catalogue`.
"""


def load_all_kinds() -> list[EventKind]:
    """Import all modules, which register their events; return all kinds."""
    for module in walk_packages(heatherdyke.__path__, "heatherdyke."):
        if not module.name.endswith(".__main__"):
            import_module(module.name)
    return [kind_by_number[number] for number in sorted(kind_by_number)]


def render_catalogue(kinds: list[EventKind]) -> str:
    """Return the catalogue as Markdown."""
    parts = [HEADER]
    section = 0
    for kind in kinds:
        if kind.number // 1000 != section:
            section = kind.number // 1000
            parts.append(f"\n## {section}xxx {HEADING_BY_THOUSAND[section]}\n")
        parts.append(_entry(kind))
    return "".join(parts)


def _entry(kind: EventKind) -> str:
    lines = [
        f"\n### {kind.number} {kind.name}\n",
        f"\n{kind.severity.value}. {kind.summary}\n",
    ]
    if kind.fields:
        names = ", ".join(f"`{name}`" for name in kind.fields)
        lines.append(f"\nFields: {names}.\n")
    if kind.action:
        lines.append(f"\nAction: {kind.action}\n")
    return "".join(lines)


if __name__ == "__main__":
    print(render_catalogue(load_all_kinds()), end="")
