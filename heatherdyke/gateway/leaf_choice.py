"""Chooses the leaf for a request (pure).

The leaf with the shortest expected time is chosen.  Stalled leafs, failing
leafs and leafs of another zone get a penalty.
"""

from collections.abc import Collection
from collections.abc import Iterable

from heatherdyke.gateway.leaf_table import Leaf

# Average remaining time of a pause in progress.
STALL_COST_S = 0.15
# A failure costs about one more attempt and the wait for it, in median times.
FAILURE_COST_FACTOR = 4.0
FAILURE_COST_MIN_S = 0.1
# Share of its time that each of this instance's requests in flight adds.
QUEUE_WEIGHT = 0.4
# Traffic between zones is billed; a leaf of the own zone may be this much
# slower, in seconds and in median times.
CROSS_ZONE_COST_S = 0.004
CROSS_ZONE_COST_FACTOR = 1.0


def choose_leaf(
    leafs: Iterable[Leaf],
    tried: Collection[Leaf],
    zone: str,
    median_s: float,
    now: float,
) -> Leaf | None:
    """Return the best leaf that was not tried, None if there is none.

    ``median_s`` is the median time of such a request.
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
    """Return the expected time of a request to the leaf, with penalties."""
    in_flight = len(leaf.sent_at_by_attempt)
    load_factor = 1.0 + QUEUE_WEIGHT * in_flight
    expected_s = median_s * leaf.current_slowness(now) * load_factor
    if leaf.is_stalled(now, median_s):
        expected_s += STALL_COST_S
    failure_cost_s = max(FAILURE_COST_MIN_S, FAILURE_COST_FACTOR * median_s)
    expected_s += leaf.current_failure_share(now) * failure_cost_s
    if leaf.entry.zone != zone:
        expected_s += CROSS_ZONE_COST_S + CROSS_ZONE_COST_FACTOR * median_s
    return expected_s
