"""Merges the records of several parts into the greatest ones (pure)."""

from collections.abc import Iterable
from struct import iter_unpack

RECORD_BYTES = 16


def top_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the ``limit`` greatest records, falling, equal ones kept.

    A body is records of 16 bytes in any order; a shorter remainder is none.
    """
    records: list[bytes] = []
    for body in bodies:
        whole = len(body) - len(body) % RECORD_BYTES
        records += [record for (record,) in iter_unpack("16s", body[:whole])]
    records.sort(reverse=True)
    return b"".join(records[:limit])
