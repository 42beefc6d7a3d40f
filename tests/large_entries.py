"""Large objects of another writer that no decoder reads."""

from msgspec import Raw

# The largest object that the users' store holds, less the rest of it.
SPEC_BYTES = 1_048_576 - 16_384
HEAD = b'{"label":"\\ud83d","x":['


def odd_spec(element: bytes) -> Raw:
    """Return an object with half of a surrogate pair and these elements."""
    count = (SPEC_BYTES - len(HEAD)) // (len(element) + 1)
    return Raw(HEAD + b",".join([element] * count) + b"]}")


def nested_spec() -> Raw:
    """Return lists that are nested more deeply than a decoder follows."""
    depth = SPEC_BYTES // 2
    return Raw(b"[" * depth + b"]" * depth)
