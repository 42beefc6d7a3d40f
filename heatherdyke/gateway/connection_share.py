"""Limits the connections that this instance opens to a leaf (pure).

A leaf accepts a limited number of connections from all instances together.
Each instance may open an equal share.  With many instances that share is too
small for the few that send to the leaf: a group of shards is requested by few
instances at a time, so each instance may then open more than its share.  It
then keeps only those that it uses again soon: in a fault any instance may have
to send to any leaf, and idle connections would use up the limit.
"""

from collections.abc import Sequence

from xxhash import xxh3_64_intdigest

# Share of a leaf's limit that is used: a leaf accepts fewer connections while
# its queue is long, and health checks take one.
SHARE_USED = 0.85
# An equal share of at least this many connections is used as it is, which
# keeps the fleet-wide limit.
MIN_EQUAL_SHARE = 3
# With smaller equal shares an instance may open up to MAX_ACTIVE_SHARE
# connections, as long as ACTIVE_INSTANCES of them fit into the limit.
MAX_ACTIVE_SHARE = 6
ACTIVE_INSTANCES = 4
# Number of instances assumed until the list of instances has been read.
ASSUMED_INSTANCES = 16


def rendezvous_weight(leaf_id: str, instance: str) -> int:
    """Return the instance's rendezvous hash for the leaf; highest wins."""
    return xxh3_64_intdigest(f"{leaf_id}\n{instance}".encode())


def owner_of(leaf_id: str, instances: Sequence[str]) -> str | None:
    """Return the instance with the highest weight for the leaf."""
    if not instances:
        return None
    return max(
        instances, key=lambda name: (rendezvous_weight(leaf_id, name), name)
    )


def may_exceed_limit(limit: int, instances: int) -> bool:
    """Return whether all shares together exceed what the leaf accepts."""
    return connection_share(limit, instances) * instances > limit


def connection_share(limit: int, instances: int) -> int:
    """Return how many connections this instance may open to a leaf.

    ``instances`` is the number of all instances, 0 if unknown.
    """
    usable = max(1, int(limit * SHARE_USED))
    equal_share = usable // (instances or ASSUMED_INSTANCES)
    if equal_share >= MIN_EQUAL_SHARE:
        return equal_share
    return max(
        1, equal_share, min(usable // ACTIVE_INSTANCES, MAX_ACTIVE_SHARE)
    )
