"""Chooses the leaf for a request (pure).

The leaf with the least expected time is taken.  A paused leaf, one that
fails and one that costs a way between zones count as slower.
"""

from collections.abc import Collection
from collections.abc import Iterable

from heatherdyke.gateway.leaf_table import Leaf

# What is left of a pause that is under way, on average.
STALL_COST_S = 0.15
# A failed answer costs about one more attempt and the wait for it.
FAILURE_COST_FACTOR = 4.0
FAILURE_COST_MIN_S = 0.1
# How much of another own request's time on the leaf is waited for.
QUEUE_WEIGHT = 0.4
# Bytes between zones are paid for; this much time is given for them.
ZONE_COST_S = 0.004
ZONE_COST_SHARE = 0.3


def choose_leaf(
    leafs: Iterable[Leaf],
    tried: Collection[Leaf],
    zone: str,
    median_s: float,
    now: float,
) -> Leaf | None:
    """Return the best of the leafs that was not tried, None if none is.

    ``median_s`` is the usual time of such a request.
    """
    best: Leaf | None = None
    best_s = 0.0
    for leaf in leafs:
        if leaf in tried:
            continue
        expected_s = expected_seconds(leaf, zone, median_s, now)
        if best is None or expected_s < best_s:
            best = leaf
            best_s = expected_s
    return best


def expected_seconds(
    leaf: Leaf, zone: str, median_s: float, now: float
) -> float:
    """Return the time that a request to the leaf is expected to cost."""
    waiting = len(leaf.sent_at_by_attempt)
    busy = 1.0 + QUEUE_WEIGHT * waiting
    expected_s = median_s * leaf.current_slowness(now) * busy
    if leaf.is_stalled(now, median_s):
        expected_s += STALL_COST_S
    failure_cost_s = max(FAILURE_COST_MIN_S, FAILURE_COST_FACTOR * median_s)
    expected_s += leaf.current_failure_share(now) * failure_cost_s
    if leaf.entry.zone != zone:
        expected_s += ZONE_COST_S + ZONE_COST_SHARE * median_s
    return expected_s
