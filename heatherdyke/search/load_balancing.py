"""Load-balancing policies for the replicas of a shard (pure)."""

from dataclasses import dataclass
from dataclasses import field
from random import Random

from heatherdyke.messages import Part
from heatherdyke.messages import PartState
from heatherdyke.registry import Registry

LATENCY_SMOOTHING = 0.2
FAILURE_AVOID_S = 1.0
DRAIN_AVOID_S = 5.0
INITIAL_LATENCY_MS = 5.0
MAX_WAIT_RATIO = 0.7  # of the second leaf's expected wait to the first's
PROBE_SHARE = 0.1
LOAD_TTL_S = 0.1
LATENCY_HALF_LIFE_S = 2.0
MAX_SAMPLE_RATIO = 3.0


@dataclass(slots=True)
class ReplicaStats:
    """This instance's statistics of one leaf."""

    latency_ms: float = INITIAL_LATENCY_MS
    load: float = 0.0
    outstanding: int = 0
    avoided_until: float = 0.0
    last_response_at: float = 0.0

    def record_latency(self, sample_ms: float) -> None:
        """Update the smoothed latency; the sample is capped for stragglers."""
        highest_ms = MAX_SAMPLE_RATIO * self.latency_ms
        sample_ms = min(sample_ms, highest_ms)
        self.latency_ms += LATENCY_SMOOTHING * (sample_ms - self.latency_ms)

    def expected_wait_ms(self, now: float) -> float:
        """Return the expected wait, in which old measurements decay.

        Without the decay, a leaf that was slow or loaded once would get no
        searches, and so no new measurement, for a long time.
        """
        age_s = max(0.0, now - self.last_response_at)
        latency_ms = self.latency_ms * 0.5 ** (age_s / LATENCY_HALF_LIFE_S)
        return (1.0 + self.outstanding + self.recent_load(now)) * latency_ms

    def recent_load(self, now: float) -> float:
        """Return the load if the home reported it recently, else 0."""
        return self.load if now - self.last_response_at < LOAD_TTL_S else 0.0


@dataclass(slots=True)
class ReplicaStatsTable:
    """The statistics of all leaves by leaf id, updated by their parts."""

    stats_by_leaf: dict[str, ReplicaStats] = field(default_factory=dict)

    def get(self, leaf: str) -> ReplicaStats:
        """Return the leaf's statistics, with initial values if it is new."""
        stats = self.stats_by_leaf.get(leaf)
        if stats is None:
            stats = ReplicaStats()
            self.stats_by_leaf[leaf] = stats
        return stats

    def record_sent(self, leaf: str) -> None:
        """Count a part sent to the leaf as outstanding."""
        self.get(leaf).outstanding += 1

    def record_part(self, part: Part, now: float) -> None:
        """Update the statistics of a part's leaf by its outcome."""
        stats = self.get(part.leaf)
        stats.outstanding = max(0, stats.outstanding - 1)
        stats.load = part.load
        stats.last_response_at = now
        if part.state in (PartState.WHOLE, PartState.TRUNCATED):
            stats.record_latency(part.leaf_ms)
        elif part.state in (PartState.REFUSED, PartState.LOST):
            stats.avoided_until = now + FAILURE_AVOID_S
        if part.draining:
            stats.avoided_until = now + DRAIN_AVOID_S


load_balancing_policies: Registry = Registry("replica choice")


@load_balancing_policies.register("random")
def choose_random(
    leaves: list[str], table: ReplicaStatsTable, now: float, random: Random
) -> str:
    """Select a leaf at random."""
    return random.choice(leaves)


@load_balancing_policies.register("least-loaded")
def choose_least_loaded(
    leaves: list[str], table: ReplicaStatsTable, now: float, random: Random
) -> str:
    """Select the first of two random leaves, or the second if much better.

    The method is the power of two choices (Mitzenmacher 2001).  Small
    differences are ignored: otherwise an instance would stay with one replica
    and update only that replica's estimate.  A share of the searches goes to
    the first leaf if it is idle, even though it is slower, because a cold
    leaf warms up only by work.
    """
    if len(leaves) < 2:
        return leaves[0]
    first, second = random.sample(leaves, 2)
    first_stats, second_stats = table.get(first), table.get(second)
    if _is_avoided(first_stats, now) != _is_avoided(second_stats, now):
        return second if _is_avoided(first_stats, now) else first
    wait_ms = second_stats.expected_wait_ms(now)
    if wait_ms >= MAX_WAIT_RATIO * first_stats.expected_wait_ms(now):
        return first
    is_idle = (
        first_stats.outstanding == 0 and first_stats.recent_load(now) == 0.0
    )
    return first if is_idle and random.random() < PROBE_SHARE else second


def _is_avoided(stats: ReplicaStats, now: float) -> bool:
    return stats.avoided_until > now
