"""How long answers take and when another leaf is asked (pure)."""

from dataclasses import dataclass
from dataclasses import field

from heatherdyke.search.hedging import LatencyQuantile

# A request that takes longer than this share of its like is a straggler.
STRAGGLER_QUANTILE = 0.92
# A straggler is at least this much slower than usual.
STRAGGLER_FACTOR = 1.3
# Time that the second leaf needs, in usual times, to answer by the objective.
SECOND_ANSWER_FACTOR = 1.4
# The share of the objective that is usual before anything was measured.
FIRST_SHARE = 0.2
# The way to the client and back, which its objective counts.
RETURN_S = 0.008
# Taking in the last parts, the merge and the answer, on one whole core.
ANSWER_CORE_S = 0.003
# Opening a connection is one more round trip for the client.
CONNECT_S = 0.006
# The way of a group's result from another instance, and its merge.
GROUP_RETURN_S = 0.007
# No answer is sent later than this before the client's own deadline.
DEADLINE_MARGIN_S = 0.015


@dataclass(slots=True)
class LatencyEstimate:
    """Times of one kind of request: the usual one and a straggler's."""

    median: LatencyQuantile
    straggler: LatencyQuantile

    @classmethod
    def from_objective(cls, objective_s: float) -> "LatencyEstimate":
        """Return a first guess from a route's objective."""
        first_s = FIRST_SHARE * objective_s
        return cls(
            LatencyQuantile(quantile=0.5, value_s=first_s),
            LatencyQuantile(
                quantile=STRAGGLER_QUANTILE, value_s=2.0 * first_s
            ),
        )

    def add(self, took_s: float) -> None:
        """Take in one answer's time."""
        self.median.add(took_s)
        self.straggler.add(took_s)

    @property
    def median_s(self) -> float:
        """Return the usual time."""
        return self.median.value_s

    def hedge_delay_s(self, left_s: float) -> float:
        """Return after how long a second leaf is asked.

        ``left_s`` is the time until the answer is due.
        """
        least_s = STRAGGLER_FACTOR * self.median_s
        latest_s = left_s - SECOND_ANSWER_FACTOR * self.median_s
        delay_s = max(least_s, self.straggler.value_s)
        return max(least_s, min(delay_s, latest_s))


@dataclass(slots=True)
class LatencyEstimates:
    """Paces by route and service."""

    latency_by_key: dict[tuple[str, str], LatencyEstimate] = field(
        default_factory=dict
    )

    def of(
        self, route: str, service: str, objective_s: float
    ) -> LatencyEstimate:
        """Return the pace of a route's requests to a service."""
        key = (route, service)
        latency = self.latency_by_key.get(key)
        if latency is None:
            latency = LatencyEstimate.from_objective(objective_s)
            self.latency_by_key[key] = latency
        return latency


def answer_due_at(
    arrived_at: float,
    objective_s: float,
    first_on_connection: bool,
    cores: float,
) -> float:
    """Return when an answer must begin to be within the objective.

    ``cores`` is this instance's share of a processor.
    """
    way_s = RETURN_S + ANSWER_CORE_S / cores
    if first_on_connection:
        way_s += CONNECT_S
    return arrived_at + max(0.5 * objective_s, objective_s - way_s)


def final_answer_deadline(
    arrived_at: float, wait_s: float | None, timeout_s: float
) -> float:
    """Return the last moment at which a final answer is sent."""
    allowed_s = timeout_s
    if wait_s is not None:
        margin_s = min(DEADLINE_MARGIN_S, 0.1 * wait_s)
        allowed_s = min(allowed_s, wait_s - margin_s)
    return arrived_at + allowed_s
