"""How many of a leaf's connections this instance may open (pure).

A leaf accepts a number of connections from all instances together, of which
each may take an equal part.  Among many instances that part is too small for
one whose turn it is: there, few ask a leaf at a time, because groups of shards
have few instances that ask for them, and each may open some.
"""

from collections.abc import Sequence

from xxhash import xxh3_64_intdigest

# Leafs accept fewer while their queue is long, and health checks take one.
SHARE_USED = 0.85
# An equal part of this many is enough, and keeps the sum.
MIN_EQUAL_SHARE = 3
# Those who ask for a group are few: each may take up to this, as long as
# four of them fit.
MAX_ACTIVE_SHARE = 6
ACTIVE_INSTANCES = 4
# What an instance opens before it knows how many others there are.
UNKNOWN_INSTANCES = 16


def weight_of(leaf_id: str, instance: str) -> int:
    """Return the instance's weight for the leaf; the highest ranks first."""
    return xxh3_64_intdigest(f"{leaf_id}\n{instance}".encode())


def owner_of(leaf_id: str, instances: Sequence[str]) -> str | None:
    """Return the instance that ranks first for the leaf."""
    if not instances:
        return None
    return max(instances, key=lambda name: (weight_of(leaf_id, name), name))


def connection_share(limit: int, instances: int) -> int:
    """Return how many connections this instance may open to a leaf.

    ``instances`` is the number of all instances, 0 if it is not known.
    """
    usable = max(1, int(limit * SHARE_USED))
    part = usable // (instances or UNKNOWN_INSTANCES)
    if part >= MIN_EQUAL_SHARE:
        return part
    return max(1, part, min(usable // ACTIVE_INSTANCES, MAX_ACTIVE_SHARE))
