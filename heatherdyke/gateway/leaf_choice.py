"""Chooses the leaf for a request (pure).

The leaf with the shortest expected time is chosen.  Stalled leafs, failing
leafs and leafs of another zone get a penalty.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.mechanisms import Mechanism

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
CROSS_ZONE_COST_FACTOR = 0.3

# Returns the seconds that a property of the leaf adds to a request's expected
# time, from the leaf, the own zone, the median time of such requests and now.
Cost = Callable[[Leaf, str, float, float], float]

_cost_by_mechanism: dict[Mechanism, Cost] = {}


def _cost_of(mechanism: Mechanism) -> Callable[[Cost], Cost]:
    """Register the cost that ``mechanism`` adds."""

    def register(cost: Cost) -> Cost:
        _cost_by_mechanism[mechanism] = cost
        return cost

    return register


@_cost_of(Mechanism.SLOW_LEAFS)
def _slowness_cost(
    leaf: Leaf, zone: str, median_s: float, now: float
) -> float:
    return (leaf.current_slowness(now) - 1.0) * _load_time(leaf, median_s)


@_cost_of(Mechanism.STALLED_LEAFS)
def _stall_cost(leaf: Leaf, zone: str, median_s: float, now: float) -> float:
    return STALL_COST_S if leaf.is_stalled(now, median_s) else 0.0


@_cost_of(Mechanism.FAILING_LEAFS)
def _failure_cost(leaf: Leaf, zone: str, median_s: float, now: float) -> float:
    failure_s = max(FAILURE_COST_MIN_S, FAILURE_COST_FACTOR * median_s)
    return leaf.current_failure_share(now) * failure_s


@_cost_of(Mechanism.NEAR_LEAFS)
def _cross_zone_cost(
    leaf: Leaf, zone: str, median_s: float, now: float
) -> float:
    if leaf.entry.zone == zone:
        return 0.0
    return CROSS_ZONE_COST_S + CROSS_ZONE_COST_FACTOR * median_s


def _load_time(leaf: Leaf, median_s: float) -> float:
    """Return the expected time at this instance's requests in flight."""
    return median_s * (1.0 + QUEUE_WEIGHT * len(leaf.sent_at_by_attempt))


def enabled_costs(disabled: Collection[Mechanism]) -> tuple[Cost, ...]:
    """Return the costs of the mechanisms that are not disabled."""
    return tuple(
        cost
        for mechanism, cost in _cost_by_mechanism.items()
        if mechanism not in disabled
    )


ALL_COSTS = enabled_costs(())


def choose_leaf(
    leafs: Iterable[Leaf],
    tried: Collection[Leaf],
    zone: str,
    median_s: float,
    now: float,
    costs: Collection[Cost] = ALL_COSTS,
) -> Leaf | None:
    """Return the best leaf that was not tried, None if there is none.

    ``median_s`` is the median time of such a request.
    """
    best: Leaf | None = None
    best_s = 0.0
    for leaf in leafs:
        if leaf in tried:
            continue
        expected_s = _load_time(leaf, median_s)
        for cost in costs:
            expected_s += cost(leaf, zone, median_s, now)
        if best is None or expected_s < best_s:
            best = leaf
            best_s = expected_s
    return best
