"""Latency estimates, hedging delays and answer deadlines (pure)."""

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field

from heatherdyke.search.hedging import LatencyQuantile

# A request slower than this quantile of its kind is a straggler.
STRAGGLER_QUANTILE = 0.92
# A straggler takes at least this many times the median.
STRAGGLER_FACTOR = 1.3
# Time that the second leaf needs to respond, in median times.
SECOND_ANSWER_FACTOR = 1.4
# Initial median as a share of the latency objective.
INITIAL_MEDIAN_SHARE = 0.2
# The slowest response is known after this many, and forgotten gradually: it
# counts this share less with each further one.
MIN_RESPONSES_FOR_SLOWEST = 8
SLOWEST_DECAY = 0.02
# Network round trip to the client, which counts towards the objective.
CLIENT_ROUND_TRIP_S = 0.008
# Processing of the last parts, merge and answer, on one full core.
ANSWER_CPU_S = 0.003
# Opening a connection costs the client one more round trip.
CLIENT_CONNECT_S = 0.006
# Network time of a group's result from another instance, and its merge.
GROUP_RETURN_S = 0.007
# Answers are sent at least this long before the client's own deadline.
DEADLINE_MARGIN_S = 0.015


@dataclass(slots=True)
class LatencyEstimate:
    """Median, straggler and slowest latency of one kind of request."""

    median: LatencyQuantile
    straggler: LatencyQuantile
    _slowest_s: float = 0.0
    _responses: int = 0

    @classmethod
    def from_objective(cls, objective_s: float) -> "LatencyEstimate":
        """Return an initial estimate from a route's latency objective."""
        initial_s = INITIAL_MEDIAN_SHARE * objective_s
        return cls(
            LatencyQuantile(quantile=0.5, value_s=initial_s),
            LatencyQuantile(
                quantile=STRAGGLER_QUANTILE, value_s=2.0 * initial_s
            ),
        )

    def add(self, duration_s: float) -> None:
        """Add the time of one response."""
        self.median.add(duration_s)
        self.straggler.add(duration_s)
        remembered_s = (1.0 - SLOWEST_DECAY) * self._slowest_s
        self._slowest_s = max(duration_s, remembered_s)
        self._responses += 1

    @property
    def median_s(self) -> float:
        """Return the median time."""
        return self.median.value_s

    @property
    def slowest_s(self) -> float | None:
        """Return the slowest recent time, None with too few responses."""
        if self._responses < MIN_RESPONSES_FOR_SLOWEST:
            return None
        return self._slowest_s

    def hedge_delay_s(self, remaining_s: float) -> float:
        """Return the delay after which a hedge is sent.

        ``remaining_s`` is the time until the answer is due.
        """
        earliest_s = STRAGGLER_FACTOR * self.median_s
        latest_s = remaining_s - SECOND_ANSWER_FACTOR * self.median_s
        delay_s = max(earliest_s, self.straggler.value_s)
        return max(earliest_s, min(delay_s, latest_s))


@dataclass(slots=True)
class LatencyEstimates:
    """Latency estimates by route and service."""

    latency_by_key: dict[tuple[str, str], LatencyEstimate] = field(
        default_factory=dict
    )

    def of(
        self, route: str, service: str, objective_s: float
    ) -> LatencyEstimate:
        """Return the estimate for a route's requests to a service."""
        key = (route, service)
        latency = self.latency_by_key.get(key)
        if latency is None:
            latency = LatencyEstimate.from_objective(objective_s)
            self.latency_by_key[key] = latency
        return latency

    def keep_only(self, routes: Collection[str]) -> None:
        """Forget all other routes, by name."""
        for key in list(self.latency_by_key):
            if key[0] not in routes:
                del self.latency_by_key[key]


def answer_due_at(
    arrived_at: float,
    objective_s: float,
    first_on_connection: bool,
    cores: float,
) -> float:
    """Return the latest time to start an answer within the objective.

    ``cores`` is this instance's share of a processor.
    """
    overhead_s = CLIENT_ROUND_TRIP_S + ANSWER_CPU_S / cores
    if first_on_connection:
        overhead_s += CLIENT_CONNECT_S
    return arrived_at + max(0.5 * objective_s, objective_s - overhead_s)


def is_late(elapsed_s: float, objective_s: float) -> bool:
    """Return whether an answer after ``elapsed_s`` misses the objective."""
    return elapsed_s > objective_s - CLIENT_ROUND_TRIP_S


def final_answer_deadline(
    arrived_at: float, wait_s: float | None, timeout_s: float
) -> float:
    """Return the latest time at which a final answer is sent."""
    allowed_s = timeout_s
    if wait_s is not None:
        margin_s = min(DEADLINE_MARGIN_S, 0.1 * wait_s)
        allowed_s = min(allowed_s, wait_s - margin_s)
    return arrived_at + allowed_s
