"""Merges the items of several shards by score (pure)."""

from collections.abc import Iterable
from heapq import nsmallest

from heatherdyke.messages import Item


def merge_items(items: Iterable[Item], limit: int) -> list[Item]:
    """Return the ``limit`` best items, without duplicates.

    Equal scores are ordered by shard and id, so that every instance returns
    the same order.
    """
    item_by_identity = {(item.shard, item.id): item for item in items}
    return nsmallest(limit, item_by_identity.values(), key=_rank)


def _rank(item: Item) -> tuple[float, str, str]:
    return (-item.score, item.shard, item.id)
