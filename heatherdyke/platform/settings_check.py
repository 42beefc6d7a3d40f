"""Finds all faults of a decoded settings file in one pass."""

from collections.abc import Callable
from math import isfinite
from typing import Any

import msgspec
from msgspec.structs import fields

from heatherdyke.config.fault import Fault
from heatherdyke.config.fault import join_path

MISSING_RULE = "is required"


def find_faults(
    source: str,
    data: Any,
    struct: type[msgspec.Struct],
    dec_hook: Callable[[type, Any], Any],
    path: str = "",
) -> list[Fault]:
    """Validate ``data`` against the field types of ``struct``.

    Returns all faults; msgspec alone would stop at the first.  ``source``
    is the file's name and ``path`` that of ``data`` within the file.
    ``dec_hook`` decodes types that msgspec does not support.  Unknown fields
    are not faults.
    """
    if not isinstance(data, dict):
        remedy = "write it as a table of fields"
        return [Fault(source, path, data, "must be a table", remedy)]
    faults: list[Fault] = []
    for field in fields(struct):
        field_path = join_path(path, field.encode_name)
        if field.encode_name not in data:
            if field.required:
                remedy = "add the field"
                faults.append(
                    Fault(source, field_path, None, MISSING_RULE, remedy)
                )
            continue
        value = data[field.encode_name]
        if _is_struct(field.type):
            faults += find_faults(
                source, value, field.type, dec_hook, field_path
            )
        else:
            faults += _check_value(
                source, field_path, value, field.type, dec_hook
            )
    return faults


def _check_value(
    source: str,
    path: str,
    value: Any,
    expected_type: Any,
    dec_hook: Callable[[type, Any], Any],
) -> list[Fault]:
    """Return the value's fault in a list, or an empty list."""
    try:
        converted = msgspec.convert(
            value, expected_type, strict=False, dec_hook=dec_hook
        )
        if isinstance(converted, float) and not isfinite(converted):
            raise ValueError("Expected a finite number")
    except ValueError as error:
        rule = str(error)
        return [Fault(source, path, value, rule, "correct the value")]
    return []


def _is_struct(field_type: Any) -> bool:
    return isinstance(field_type, type) and issubclass(
        field_type, msgspec.Struct
    )
