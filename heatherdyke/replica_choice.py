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
    """Return the leaf with the least expected wait of two drawn ones.

    The method is the power of two choices (Mitzenmacher 2001); leaves that
    refused lately come last.
    """
    drawn = random.sample(leaves, min(2, len(leaves)))
    return min(drawn, key=lambda leaf: _expected_wait(views.of(leaf), now))


def _expected_wait(view: ReplicaView, now: float) -> tuple[bool, float]:
    waiting = 1.0 + view.outstanding + view.load
    return (view.avoided_until > now, waiting * view.latency_ms)
