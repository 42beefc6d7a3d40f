"""Chooses which replica of a shard is asked (pure)."""

from dataclasses import dataclass
from dataclasses import field
from random import Random

from heatherdyke.messages import Part
from heatherdyke.messages import PartState
from heatherdyke.registry import Registry

SMOOTHING = 0.2
AVOID_S = 1.0
DRAIN_AVOID_S = 5.0
FIRST_LATENCY_MS = 5.0
CLEARLY_BETTER = 0.7
PROBE_SHARE = 0.1


@dataclass(slots=True)
class ReplicaView:
    """What this instance has learnt of one leaf."""

    latency_ms: float = FIRST_LATENCY_MS
    load: float = 0.0
    outstanding: int = 0
    avoided_until: float = 0.0


@dataclass(slots=True)
class ReplicaViews:
    """All leaves' views by leaf id, fed by the parts that come back."""

    view_by_leaf: dict[str, ReplicaView] = field(default_factory=dict)

    def of(self, leaf: str) -> ReplicaView:
        """Return the leaf's view, a neutral one at first."""
        view = self.view_by_leaf.get(leaf)
        if view is None:
            view = ReplicaView()
            self.view_by_leaf[leaf] = view
        return view

    def start(self, leaf: str) -> None:
        """Count a part as outstanding."""
        self.of(leaf).outstanding += 1

    def finish(self, part: Part, now: float) -> None:
        """Take in how a part ended."""
        view = self.of(part.leaf)
        view.outstanding = max(0, view.outstanding - 1)
        view.load = part.load
        if part.state in (PartState.WHOLE, PartState.TRUNCATED):
            view.latency_ms += SMOOTHING * (part.leaf_ms - view.latency_ms)
        elif part.state in (PartState.REFUSED, PartState.LOST):
            view.avoided_until = now + AVOID_S
        if part.draining:
            view.avoided_until = now + DRAIN_AVOID_S


replica_choices: Registry = Registry("replica choice")


@replica_choices.register("random")
def choose_random(
    leaves: list[str], views: ReplicaViews, now: float, random: Random
) -> str:
    """Return any of the leaves."""
    return random.choice(leaves)


@replica_choices.register("least-loaded")
def choose_least_loaded(
    leaves: list[str], views: ReplicaViews, now: float, random: Random
) -> str:
    """Return one of two leaves drawn, the other only if clearly better.

    The method is the power of two choices (Mitzenmacher 2001).  Small
    differences do not count: an instance that followed them would keep to
    one replica, whose estimate alone is renewed.  A share of the searches
    goes to an idle leaf though it is slower, because a leaf that is cold
    gets warm by work alone.
    """
    if len(leaves) < 2:
        return leaves[0]
    first, second = random.sample(leaves, 2)
    one, other = views.of(first), views.of(second)
    if _is_avoided(one, now) != _is_avoided(other, now):
        return second if _is_avoided(one, now) else first
    if _expected_wait(other) >= CLEARLY_BETTER * _expected_wait(one):
        return first
    is_idle = one.outstanding == 0 and one.load == 0.0
    return first if is_idle and random.random() < PROBE_SHARE else second


def _is_avoided(view: ReplicaView, now: float) -> bool:
    return view.avoided_until > now


def _expected_wait(view: ReplicaView) -> float:
    return (1.0 + view.outstanding + view.load) * view.latency_ms
