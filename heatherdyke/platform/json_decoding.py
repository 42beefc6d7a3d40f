"""Decodes JSON that others have written."""

from typing import TypeVar

import msgspec

from heatherdyke.errors import UnreadableObject

T = TypeVar("T")


def decode_json(data: bytes | msgspec.Raw, wire_type: type[T], name: str) -> T:
    """Decode the JSON of what is called ``name``.

    Raises UnreadableObject if it is malformed, nested too deeply, or not of
    the type.
    """
    try:
        return msgspec.json.decode(data, type=wire_type)
    except (ValueError, RecursionError) as error:
        raise UnreadableObject(name, str(error)) from error
