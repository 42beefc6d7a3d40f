"""Merges the records of several parts into the top ones (pure)."""

from collections.abc import Iterable
from struct import iter_unpack

RECORD_BYTES = 16


def top_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the ``limit`` greatest records in descending order.

    Equal records are not merged.  A body is a sequence of 16-byte records in
    any order; an incomplete record at its end is ignored.
    """
    records: list[bytes] = []
    for body in bodies:
        complete_bytes = len(body) - len(body) % RECORD_BYTES
        records += [
            record for (record,) in iter_unpack("16s", body[:complete_bytes])
        ]
    records.sort(reverse=True)
    return b"".join(records[:limit])
