"""The event catalogue matches the registry, and recorded fields match both."""

import ast
from importlib import import_module
from pathlib import Path

import heatherdyke
from heatherdyke.observe.event_catalogue import load_all_kinds
from heatherdyke.observe.event_catalogue import render_catalogue
from heatherdyke.observe.event_registry import EventKind

PACKAGE = Path(heatherdyke.__file__).parent
PAGE = PACKAGE.parent / "docs" / "EVENTS.md"


class TestCatalogue:
    def test_page_matches_the_registry(self):
        assert PAGE.read_text() == render_catalogue(load_all_kinds()), (
            "run python -m heatherdyke.observe.event_catalogue"
        )


class TestRecordedFields:
    def test_each_record_call_passes_the_fields_of_its_kind(self):
        mismatches = []
        for path in sorted(PACKAGE.rglob("*.py")):
            for call in _record_calls(path):
                mismatches.extend(_mismatches(path, call))
        assert mismatches == []


def _record_calls(path: Path) -> list[ast.Call]:
    tree = ast.parse(path.read_text())
    return [
        node
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr == "record"
        and node.args
        and isinstance(node.args[0], ast.Name)
        and node.args[0].id.isupper()
    ]


def _mismatches(path: Path, call: ast.Call) -> list[str]:
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    module = import_module(".".join(parts))
    kind = getattr(module, call.args[0].id)
    names = [keyword.arg for keyword in call.keywords]
    if not isinstance(kind, EventKind) or None in names:
        return []
    if set(names) == set(kind.fields):
        return []
    return [f"{path.name}:{call.lineno} passes {names}, not {kind.fields}"]
