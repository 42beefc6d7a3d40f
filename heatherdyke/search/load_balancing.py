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
LOAD_FRESH_S = 0.1
LATENCY_HALF_LIFE_S = 2.0
MAX_SAMPLE_RATIO = 3.0


@dataclass(slots=True)
class ReplicaView:
    """What this instance has learnt of one leaf."""

    latency_ms: float = FIRST_LATENCY_MS
    load: float = 0.0
    outstanding: int = 0
    avoided_until: float = 0.0
    heard_at: float = 0.0

    def hear_latency(self, sample_ms: float) -> None:
        """Move the estimate; one straggler counts for little."""
        highest_ms = MAX_SAMPLE_RATIO * self.latency_ms
        sample_ms = min(sample_ms, highest_ms)
        self.latency_ms += SMOOTHING * (sample_ms - self.latency_ms)

    def expected_wait_ms(self, now: float) -> float:
        """Return the wait to expect; what was heard long ago fades.

        Otherwise a leaf that was slow or loaded once would not be asked,
        and so not be heard of, for long.
        """
        age_s = max(0.0, now - self.heard_at)
        latency_ms = self.latency_ms * 0.5 ** (age_s / LATENCY_HALF_LIFE_S)
        return (1.0 + self.outstanding + self.fresh_load(now)) * latency_ms

    def fresh_load(self, now: float) -> float:
        """Return the load that the home reported lately, or 0."""
        return self.load if now - self.heard_at < LOAD_FRESH_S else 0.0


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
        view.heard_at = now
        if part.state in (PartState.WHOLE, PartState.TRUNCATED):
            view.hear_latency(part.leaf_ms)
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
    wait_ms = other.expected_wait_ms(now)
    if wait_ms >= CLEARLY_BETTER * one.expected_wait_ms(now):
        return first
    is_idle = one.outstanding == 0 and one.fresh_load(now) == 0.0
    return first if is_idle and random.random() < PROBE_SHARE else second


def _is_avoided(view: ReplicaView, now: float) -> bool:
    return view.avoided_until > now
