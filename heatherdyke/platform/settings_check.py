"""Finds every fault of a decoded settings file at once."""

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec.structs import fields

from heatherdyke.config.fault import Fault
from heatherdyke.config.fault import join_path

MISSING_RULE = "must be given"


def find_faults(
    source: str,
    data: Any,
    struct: type[msgspec.Struct],
    dec_hook: Callable[[type, Any], Any],
    path: str = "",
) -> list[Fault]:
    """Return the faults of ``data`` as a ``struct``, by its field types.

    ``source`` names the file, ``dec_hook`` decodes types that msgspec does
    not know.  Fields that the struct does not have are no faults.
    """
    if not isinstance(data, dict):
        remedy = "write it as a table of fields"
        return [Fault(source, path, data, "must be a table", remedy)]
    faults: list[Fault] = []
    for field in fields(struct):
        place = join_path(path, field.encode_name)
        if field.encode_name not in data:
            if field.required:
                remedy = "add the field"
                faults.append(Fault(source, place, None, MISSING_RULE, remedy))
            continue
        value = data[field.encode_name]
        if _is_struct(field.type):
            faults += find_faults(source, value, field.type, dec_hook, place)
        else:
            faults += _check(source, place, value, field.type, dec_hook)
    return faults


def _check(
    source: str,
    place: str,
    value: Any,
    kind: Any,
    dec_hook: Callable[[type, Any], Any],
) -> list[Fault]:
    try:
        msgspec.convert(value, kind, strict=False, dec_hook=dec_hook)
    except ValueError as error:
        rule = str(error)
        return [Fault(source, place, value, rule, "correct the value")]
    return []


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)
