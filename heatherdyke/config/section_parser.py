"""Parses a section from plain data and reports all structural faults.

msgspec stops at the first fault, and it ignores unknown fields, as it must
for instances of an older release.  To report all faults at once this module
walks the types of ``config.model`` itself.  A value of the wrong type is
replaced by a placeholder, so that the rules can check the other values.
"""

from dataclasses import MISSING
from dataclasses import fields
from dataclasses import is_dataclass
from enum import Enum
from types import UnionType
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

from heatherdyke.config.fault import Fault
from heatherdyke.config.fault import join_path
from heatherdyke.config.model import SectionConfig

PLACEHOLDER_BY_TYPE = {str: "", int: 1, float: 1.0, bool: False}
DESCRIPTION_BY_TYPE = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "true or false",
}


class _Parser:
    """Parses one section and collects its faults."""

    def __init__(self, team: str) -> None:
        self.faults: list[Fault] = []
        self._team = team

    def parse(self, value: Any, expected_type: Any, path: str) -> Any:
        if is_dataclass(expected_type):
            return self._parse_dataclass(value, expected_type, path)
        if isinstance(expected_type, UnionType):
            return self._parse_optional(value, expected_type, path)
        if get_origin(expected_type) is dict:
            return self._parse_dict(value, expected_type, path)
        if get_origin(expected_type) is list:
            return self._parse_list(value, expected_type, path)
        if issubclass(expected_type, Enum):
            return self._parse_enum(value, expected_type, path)
        return self._parse_scalar(value, expected_type, path)

    def _parse_dataclass(
        self, value: Any, expected_type: Any, path: str
    ) -> Any:
        if not isinstance(value, dict):
            self._add(path, value, "type", "use a mapping of fields")
            return _placeholder(expected_type)
        types = get_type_hints(expected_type)
        self._check_unknown_fields(value, list(types), path)
        values = {}
        for field in fields(expected_type):
            member_path = join_path(path, field.name)
            if field.name in value:
                values[field.name] = self.parse(
                    value[field.name], types[field.name], member_path
                )
            elif _is_required(field):
                self._add(member_path, None, "missing-field", "add the field")
                values[field.name] = _placeholder(types[field.name])
        return expected_type(**values)

    def _check_unknown_fields(
        self, value: dict[Any, Any], known: list[str], path: str
    ) -> None:
        for name, member in value.items():
            if name not in known:
                remedy = f"remove the field or use one of {', '.join(known)}"
                member_path = join_path(path, name)
                self._add(member_path, member, "unknown-field", remedy)

    def _parse_optional(
        self, value: Any, expected_type: Any, path: str
    ) -> Any:
        if value is None:
            return None
        (inner_type,) = (
            t for t in get_args(expected_type) if t is not type(None)
        )
        return self.parse(value, inner_type, path)

    def _parse_dict(self, value: Any, expected_type: Any, path: str) -> Any:
        if not isinstance(value, dict):
            self._add(path, value, "type", "use a mapping by name")
            return {}
        inner_type = get_args(expected_type)[1]
        return {
            str(name): self.parse(member, inner_type, join_path(path, name))
            for name, member in value.items()
        }

    def _parse_list(self, value: Any, expected_type: Any, path: str) -> Any:
        if not isinstance(value, list):
            self._add(path, value, "type", "use a list")
            return []
        (inner_type,) = get_args(expected_type)
        return [
            self.parse(member, inner_type, join_path(path, index))
            for index, member in enumerate(value)
        ]

    def _parse_enum(self, value: Any, expected_type: Any, path: str) -> Any:
        try:
            return expected_type(value)
        except ValueError:
            known = ", ".join(str(member.value) for member in expected_type)
            self._add(path, value, "choice", f"use one of {known}")
            return next(iter(expected_type))

    def _parse_scalar(self, value: Any, expected_type: Any, path: str) -> Any:
        if expected_type is float and type(value) is int:
            return float(value)
        if type(value) is expected_type:
            return value
        self._add(
            path, value, "type", f"use {DESCRIPTION_BY_TYPE[expected_type]}"
        )
        return PLACEHOLDER_BY_TYPE[expected_type]

    def _add(self, path: str, value: Any, rule: str, remedy: str) -> None:
        self.faults.append(Fault(self._team, path, value, rule, remedy))


def parse_section(
    value: Any, team: str = ""
) -> tuple[SectionConfig, list[Fault]]:
    """Return the section parsed from ``value`` and its structural faults.

    ``team`` identifies the section in faults if it has no team field.
    """
    if isinstance(value, dict) and isinstance(value.get("team"), str):
        team = value["team"]
    parser = _Parser(team or "section")
    section = parser.parse(value, SectionConfig, "")
    return section, parser.faults


def _is_required(field: Any) -> bool:
    return field.default is MISSING and field.default_factory is MISSING


def _placeholder(expected_type: Any) -> Any:
    if is_dataclass(expected_type):
        types = get_type_hints(expected_type)
        required = [f.name for f in fields(expected_type) if _is_required(f)]
        return expected_type(
            **{name: _placeholder(types[name]) for name in required}
        )
    if get_origin(expected_type) in (dict, list):
        return get_origin(expected_type)()
    if issubclass(expected_type, Enum):
        return next(iter(expected_type))
    return PLACEHOLDER_BY_TYPE[expected_type]
