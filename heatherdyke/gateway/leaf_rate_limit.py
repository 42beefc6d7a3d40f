"""Keeps to the request rates that leafs state (pure).

A leaf under load states in its responses how many requests per second it
accepts from all instances together.  The instances do not coordinate: each
computes its share of the requests in a window from the list of instances, by
its rank for the leaf, and spaces its requests evenly.  If the window allows
fewer requests than there are instances, those without a share take turns at
a probe, which shows them whether the rate still applies.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from heatherdyke.gateway.connection_share import rendezvous_weight

# The rate is kept in any span of this length.
WINDOW_S = 4.0
# Requests may arrive this much closer together than they were sent.
TRANSIT_S = 0.2
SPAN_S = WINDOW_S + TRANSIT_S


@dataclass(frozen=True, slots=True)
class Pace:
    """When an instance may send: first after a wait, then at intervals."""

    first_wait_s: float
    interval_s: float


NEVER = Pace(inf, inf)


def pace_of(rate: float, rank: int, instances: int) -> Pace:
    """Return the pace of the instance with this rank, 0 first, for a leaf.

    ``rate`` is what the leaf accepts from all ``instances`` together.
    """
    allowed = max(1, int(rate * WINDOW_S))
    share, remainder = divmod(allowed, instances)
    if rank < remainder:
        share += 1
    if share:
        return Pace(SPAN_S / share, SPAN_S / share)
    turn = 1 + rank - allowed
    return Pace(turn * SPAN_S, (instances - allowed) * SPAN_S)


def rank_of(leaf_id: str, instance: str, instances: Sequence[str]) -> int:
    """Return the instance's position in the leaf's rendezvous order."""
    own = (rendezvous_weight(leaf_id, instance), instance)
    return sum(
        (rendezvous_weight(leaf_id, other), other) > own for other in instances
    )


@dataclass(slots=True)
class _StatedRate:
    """A rate that a leaf states, and when this instance may send to it.

    It was first stated at ``first_at`` and last at ``last_at``.
    """

    rate: float
    first_at: float
    last_at: float
    pace: Pace = NEVER
    next_at: float = inf

    def set_pace(self, pace: Pace, now: float) -> None:
        """Change the pace; the time since the last request counts."""
        if pace == self.pace:
            return
        if self.next_at == inf:
            self.next_at = now + pace.first_wait_s
        else:
            self.next_at += pace.interval_s - self.pace.interval_s
        self.pace = pace


class LeafRateLimiter:
    """The stated rates and this instance's requests, by leaf id.

    Until the list of instances is known, a leaf that states a rate gets no
    requests.
    """

    __slots__ = ("_own_name", "_instances", "_stated_by_leaf")

    def __init__(self, own_name: str = "") -> None:
        self._own_name = own_name
        self._instances: Sequence[str] = ()
        self._stated_by_leaf: dict[str, _StatedRate] = {}

    def set_instances(self, instances: Sequence[str], now: float) -> None:
        """Set the names of all instances, this one included."""
        self._instances = instances
        for leaf_id, stated in self._stated_by_leaf.items():
            stated.set_pace(self._pace(leaf_id, stated.rate), now)

    def record_rate(self, leaf_id: str, rate: float, now: float) -> bool:
        """Record a response that states a rate; return whether it is new."""
        stated = self._stated_by_leaf.get(leaf_id)
        if stated is not None and stated.rate == rate:
            stated.last_at = now
            return False
        if stated is None:
            stated = _StatedRate(rate, now, now)
            self._stated_by_leaf[leaf_id] = stated
        stated.rate = rate
        stated.last_at = now
        stated.set_pace(self._pace(leaf_id, rate), now)
        return True

    def record_no_rate(
        self, leaf_id: str, sent_at: float, now: float
    ) -> float | None:
        """Record a success without a rate; return how long one applied.

        Responses may overtake each other, so that of a request sent before
        the rate was last stated does not end it.  Returns None if no rate
        ended.
        """
        stated = self._stated_by_leaf.get(leaf_id)
        if stated is None or sent_at <= stated.last_at:
            return None
        del self._stated_by_leaf[leaf_id]
        return now - stated.first_at

    def wait_s(self, leaf_id: str, now: float) -> float:
        """Return how long the leaf gets no requests, 0 if it gets some now."""
        stated = self._stated_by_leaf.get(leaf_id)
        return 0.0 if stated is None else max(0.0, stated.next_at - now)

    def is_limited(self, leaf_id: str) -> bool:
        """Return whether the leaf states a rate."""
        return leaf_id in self._stated_by_leaf

    def count_send(self, leaf_id: str, now: float) -> None:
        """Count a request to the leaf, which ``wait_s`` allowed."""
        stated = self._stated_by_leaf.get(leaf_id)
        if stated is not None:
            stated.next_at = now + stated.pace.interval_s

    def forget(self, leaf_id: str) -> None:
        """Drop the state of a leaf that is no longer used."""
        self._stated_by_leaf.pop(leaf_id, None)

    def _pace(self, leaf_id: str, rate: float) -> Pace:
        instances = self._instances
        if not instances:
            return NEVER
        rank = rank_of(leaf_id, self._own_name, instances)
        return pace_of(rate, rank, len(instances))
