"""Merges the records of several parts into the top ones (pure)."""

from collections.abc import Iterable
from struct import iter_unpack

RECORD_BYTES = 16
# Records are merged in blocks, as each takes several times its size.
BLOCK_BYTES = 65_536
# Parts up to this size are kept as they are until they are merged.
MAX_UNMERGED_BYTES = 4096


def top_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the ``limit`` greatest records in descending order.

    Equal records are not merged.  A body is a sequence of 16-byte records in
    any order; an incomplete record at its end is ignored.
    """
    records: list[bytes] = []
    for body in bodies:
        complete_bytes = len(body) - len(body) % RECORD_BYTES
        for start in range(0, complete_bytes, BLOCK_BYTES):
            end = min(start + BLOCK_BYTES, complete_bytes)
            block = iter_unpack("16s", body[start:end])
            records += [record for (record,) in block]
            if end < complete_bytes:
                records.sort(reverse=True)
                del records[limit:]
    records.sort(reverse=True)
    return b"".join(records[:limit])


def shorten(body: bytes, limit: int) -> bytes:
    """Return a part without records that cannot be among the top ones."""
    if len(body) <= max(MAX_UNMERGED_BYTES, limit * RECORD_BYTES):
        return body
    return top_records([body], limit)
