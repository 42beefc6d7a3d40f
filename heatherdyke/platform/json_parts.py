"""Splits JSON text into its parts without decoding them.

The other parts of an array or object can be read even if one cannot: one with
half of a surrogate pair, with a number that JSON lacks, or nested more deeply
than the decoder follows.  Only strings and brackets are looked at.
"""

import re
from collections.abc import Iterator

# A complete string, or a character that structures the text.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:"]', re.DOTALL)
_CLOSING_BY_OPENING = {b"[": b"]", b"{": b"}"}
_CLOSING = frozenset(_CLOSING_BY_OPENING.values())


def split_array(data: bytes) -> list[bytes]:
    """Return the texts of the array's elements.

    Raises ValueError if ``data`` is not an array with matched brackets.
    """
    return [part.strip() for part in _split(data, b"[")]


def split_object(data: bytes) -> dict[bytes, bytes]:
    """Return the texts of the object's values by those of its names.

    A name is the text between its quotes.  Raises ValueError if ``data`` is
    not an object with matched brackets.
    """
    value_by_name = {}
    for member in _split(data, b"{"):
        name, *values = (part.strip() for part in _split_at(member, b":"))
        if len(values) != 1 or name[:1] != b'"':
            raise ValueError("a member is not a name and a value")
        value_by_name[name[1:-1]] = values[0]
    return value_by_name


def _split(data: bytes, opening: bytes) -> list[bytes]:
    """Return the texts between the commas within the outer brackets."""
    data = data.strip()
    closing = _CLOSING_BY_OPENING[opening]
    if not (data.startswith(opening) and data.endswith(closing)):
        raise ValueError(f"not within {opening.decode()}{closing.decode()}")
    content = data[1:-1]
    if not content.strip():
        return []
    return list(_split_at(content, b","))


def _split_at(data: bytes, separator: bytes) -> Iterator[bytes]:
    """Yield the texts between the separators outside all brackets."""
    depth = 0
    start = 0
    for match in _TOKEN.finditer(data):
        token = match.group()
        if token in _CLOSING_BY_OPENING:
            depth += 1
        elif token in _CLOSING:
            depth -= 1
        elif token == b'"':
            raise ValueError("a string does not end")
        elif token == separator and depth == 0:
            yield data[start : match.start()]
            start = match.end()
        if depth < 0:
            break
    if depth != 0:
        raise ValueError("the brackets do not match")
    yield data[start:]
