"""Chooses the leaf for a request (pure).

The leaf with the shortest expected time is chosen.  Stalled leafs, failing
leafs and leafs of another zone get a penalty.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class ChoiceContext:
    """What the choice depends on besides the leafs.

    ``median_s`` is the median time of such a request.
    """

    zone: str
    median_s: float
    now: float


# Returns the seconds that a property of the leaf adds to a request's expected
# time.
Cost = Callable[[Leaf, ChoiceContext], float]

_cost_by_mechanism: dict[Mechanism, Cost] = {}


def _cost_of(mechanism: Mechanism) -> Callable[[Cost], Cost]:
    """Register the cost that ``mechanism`` adds."""

    def register(cost: Cost) -> Cost:
        _cost_by_mechanism[mechanism] = cost
        return cost

    return register


@_cost_of(Mechanism.SLOW_LEAFS)
def _slowness_cost(leaf: Leaf, context: ChoiceContext) -> float:
    slowness = leaf.current_slowness(context.now)
    return (slowness - 1.0) * _load_time(leaf, context)


@_cost_of(Mechanism.STALLED_LEAFS)
def _stall_cost(leaf: Leaf, context: ChoiceContext) -> float:
    is_stalled = leaf.is_stalled(context.now, context.median_s)
    return STALL_COST_S if is_stalled else 0.0


@_cost_of(Mechanism.FAILING_LEAFS)
def _failure_cost(leaf: Leaf, context: ChoiceContext) -> float:
    failure_s = max(FAILURE_COST_MIN_S, FAILURE_COST_FACTOR * context.median_s)
    return leaf.current_failure_share(context.now) * failure_s


@_cost_of(Mechanism.NEAR_LEAFS)
def _cross_zone_cost(leaf: Leaf, context: ChoiceContext) -> float:
    if leaf.entry.zone == context.zone:
        return 0.0
    return CROSS_ZONE_COST_S + CROSS_ZONE_COST_FACTOR * context.median_s


def _load_time(leaf: Leaf, context: ChoiceContext) -> float:
    """Return the expected time at this instance's requests in flight."""
    in_flight = len(leaf.sent_at_by_attempt)
    return context.median_s * (1.0 + QUEUE_WEIGHT * in_flight)


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
    context = ChoiceContext(zone, median_s, now)
    best: Leaf | None = None
    best_s = 0.0
    for leaf in leafs:
        if leaf in tried:
            continue
        expected_s = _load_time(leaf, context)
        for cost in costs:
            expected_s += cost(leaf, context)
        if best is None or expected_s < best_s:
            best = leaf
            best_s = expected_s
    return best
