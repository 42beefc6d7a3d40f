"""Deterministic contents of stand-in leaves.

Items and results depend only on the request, so that a test can compute
which answer is correct.
"""

import xxhash

from heatherdyke.messages import Item

ITEMS_PER_SHARD = 20


def generate_items(shard: str, snapshot: int, query: str) -> list[Item]:
    """Return all items of a shard's snapshot for ``query``, best first."""
    items = [
        Item(
            id=f"{shard}/{snapshot}/{number}",
            score=_score(shard, snapshot, query, number),
            text=query,
        )
        for number in range(ITEMS_PER_SHARD)
    ]
    return sorted(items, key=lambda item: (-item.score, item.id))


def generate_run_result(shard: str, operation: str, argument: str) -> str:
    """Return the result of a run-once request on a shard."""
    text = f"{shard}|{operation}|{argument}"
    digest = xxhash.xxh64_hexdigest(text.encode())
    return f"{operation} {argument}: {digest}"


def _score(shard: str, snapshot: int, query: str, number: int) -> float:
    text = f"{shard}|{snapshot}|{query}|{number}"
    return xxhash.xxh64_intdigest(text.encode()) % 1_000_000 / 1_000_000
