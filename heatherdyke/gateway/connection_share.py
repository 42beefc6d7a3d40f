"""How many of a leaf's connections belong to this instance (pure).

A leaf accepts a number of connections from all instances together.  If that
is enough for one an instance, each gets an equal part.  Otherwise the
instances that rank highest for the leaf, by rendezvous hashing, get one each.
"""

from collections.abc import Sequence

from xxhash import xxh3_64_intdigest

# Leafs accept fewer while their queue is long, and health checks take one.
SHARE_USED = 0.85
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


def connection_share(
    limit: int, leaf_id: str, own_name: str, instances: Sequence[str]
) -> int:
    """Return how many connections this instance may open to the leaf."""
    usable = max(1, int(limit * SHARE_USED))
    if not instances:
        return max(1, usable // UNKNOWN_INSTANCES)
    part = usable // len(instances)
    if part >= 1:
        return part
    own_weight = weight_of(leaf_id, own_name)
    higher = sum(weight_of(leaf_id, name) > own_weight for name in instances)
    return 1 if higher < usable else 0
