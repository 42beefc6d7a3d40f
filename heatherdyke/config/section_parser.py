"""Reads a section from plain data and tells every structural fault.

msgspec stops at the first fault, and ignores unknown fields as instances of
an older release must.  An operator wants to hear of all faults at once, so
this walks the types of config_model itself.  Where a value does not fit, a
placeholder takes its place, so that the rules can be checked on the rest.
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
NAME_BY_TYPE = {
    str: "a text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


class _Reader:
    """Collects faults while it reads one section."""

    def __init__(self, team: str) -> None:
        self.faults: list[Fault] = []
        self._team = team

    def read(self, value: Any, wanted: Any, path: str) -> Any:
        if is_dataclass(wanted):
            return self._read_dataclass(value, wanted, path)
        if isinstance(wanted, UnionType):
            return self._read_optional(value, wanted, path)
        if get_origin(wanted) is dict:
            return self._read_dict(value, wanted, path)
        if get_origin(wanted) is list:
            return self._read_list(value, wanted, path)
        if issubclass(wanted, Enum):
            return self._read_enum(value, wanted, path)
        return self._read_scalar(value, wanted, path)

    def _read_dataclass(self, value: Any, wanted: Any, path: str) -> Any:
        if not isinstance(value, dict):
            self._add(path, value, "type", "write a mapping of fields")
            return _placeholder(wanted)
        types = get_type_hints(wanted)
        self._find_unknown(value, list(types), path)
        values = {}
        for field in fields(wanted):
            place = join_path(path, field.name)
            if field.name in value:
                values[field.name] = self.read(
                    value[field.name], types[field.name], place
                )
            elif _is_required(field):
                self._add(place, None, "missing-field", "add the field")
                values[field.name] = _placeholder(types[field.name])
        return wanted(**values)

    def _find_unknown(
        self, value: dict[Any, Any], known: list[str], path: str
    ) -> None:
        for name, member in value.items():
            if name not in known:
                remedy = f"remove it or use one of {', '.join(known)}"
                place = join_path(path, name)
                self._add(place, member, "unknown-field", remedy)

    def _read_optional(self, value: Any, wanted: Any, path: str) -> Any:
        if value is None:
            return None
        (inner,) = (t for t in get_args(wanted) if t is not type(None))
        return self.read(value, inner, path)

    def _read_dict(self, value: Any, wanted: Any, path: str) -> Any:
        if not isinstance(value, dict):
            self._add(path, value, "type", "write a mapping by name")
            return {}
        inner = get_args(wanted)[1]
        return {
            str(name): self.read(member, inner, join_path(path, name))
            for name, member in value.items()
        }

    def _read_list(self, value: Any, wanted: Any, path: str) -> Any:
        if not isinstance(value, list):
            self._add(path, value, "type", "write a list")
            return []
        (inner,) = get_args(wanted)
        return [
            self.read(member, inner, join_path(path, index))
            for index, member in enumerate(value)
        ]

    def _read_enum(self, value: Any, wanted: Any, path: str) -> Any:
        try:
            return wanted(value)
        except ValueError:
            known = ", ".join(str(member.value) for member in wanted)
            self._add(path, value, "choice", f"use one of {known}")
            return next(iter(wanted))

    def _read_scalar(self, value: Any, wanted: Any, path: str) -> Any:
        if wanted is float and type(value) is int:
            return float(value)
        if type(value) is wanted:
            return value
        self._add(path, value, "type", f"write {NAME_BY_TYPE[wanted]}")
        return PLACEHOLDER_BY_TYPE[wanted]

    def _add(self, path: str, value: Any, rule: str, remedy: str) -> None:
        self.faults.append(Fault(self._team, path, value, rule, remedy))


def read_section(
    value: Any, team: str = ""
) -> tuple[SectionConfig, list[Fault]]:
    """Return the section that ``value`` holds and its structural faults.

    ``team`` names the section in faults if it does not name itself.
    """
    if isinstance(value, dict) and isinstance(value.get("team"), str):
        team = value["team"]
    reader = _Reader(team or "section")
    section = reader.read(value, SectionConfig, "")
    return section, reader.faults


def _is_required(field: Any) -> bool:
    return field.default is MISSING and field.default_factory is MISSING


def _placeholder(wanted: Any) -> Any:
    if is_dataclass(wanted):
        types = get_type_hints(wanted)
        required = [f.name for f in fields(wanted) if _is_required(f)]
        return wanted(**{name: _placeholder(types[name]) for name in required})
    if get_origin(wanted) in (dict, list):
        return get_origin(wanted)()
    if issubclass(wanted, Enum):
        return next(iter(wanted))
    return PLACEHOLDER_BY_TYPE[wanted]
