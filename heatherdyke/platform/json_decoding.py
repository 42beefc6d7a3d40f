"""Decodes JSON that others have written."""

from typing import Annotated
from typing import TypeVar

import msgspec

from heatherdyke.errors import UnreadableObject

# Larger integers are not represented exactly by all JSON implementations.
MAX_COUNT = 2**53
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]

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
