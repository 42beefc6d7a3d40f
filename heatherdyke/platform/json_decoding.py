"""Decodes JSON that others have written."""

from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from heatherdyke.errors import UnreadableObject

# Larger integers are not represented exactly by all JSON implementations.
MAX_COUNT = 2**53
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]

T = TypeVar("T")


def normalise(value: Any) -> Any:
    """Return decoded JSON in the form that writers of this project choose.

    Members that are null are left out, and numbers without a fraction are
    integers: JSON does not tell 2 from 2.0.
    """
    if isinstance(value, dict):
        return {
            key: normalise(member)
            for key, member in value.items()
            if member is not None
        }
    if isinstance(value, list):
        return [normalise(element) for element in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def convert(value: Any, wire_type: type[T], name: str) -> T:
    """Convert normalised JSON of what is called ``name``.

    Raises UnreadableObject if it is not of the type.
    """
    try:
        return msgspec.convert(value, wire_type)
    except (ValueError, RecursionError) as error:
        raise UnreadableObject(name, str(error)) from error


def decode_json(data: bytes | msgspec.Raw, wire_type: type[T], name: str) -> T:
    """Decode the JSON of what is called ``name``.

    Raises UnreadableObject if it is malformed, nested too deeply, or not of
    the type.
    """
    try:
        return msgspec.json.decode(data, type=wire_type)
    except (ValueError, RecursionError) as error:
        raise UnreadableObject(name, str(error)) from error
