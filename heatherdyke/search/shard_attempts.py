"""Tracks a search's attempts and scheduled retries by shard (pure)."""

from dataclasses import dataclass
from dataclasses import field

MAX_ATTEMPTS_PER_SHARD = 3
MAX_MOVES_PER_SHARD = 4
RETRY_DELAY_S = 0.025
MOVE_RETRY_DELAY_S = 0.005


@dataclass(slots=True)
class _ShardState:
    """The attempted leaves of one shard and the number still pending."""

    attempted: list[str] = field(default_factory=list)
    pending: int = 0
    moves: int = 0


@dataclass(frozen=True, slots=True)
class _ScheduledRetry:
    """A shard to be retried at a monotonic time."""

    at: float
    shard: str


class ShardAttempts:
    """The attempts of one search; their number per shard is bounded.

    ``leaves_by_shard`` names the replicas of each shard.
    """

    __slots__ = ("_leaves_by_shard", "_state_by_shard", "_retries")

    def __init__(self, leaves_by_shard: dict[str, list[str]]) -> None:
        self._leaves_by_shard = dict(leaves_by_shard)
        self._state_by_shard: dict[str, _ShardState] = {}
        self._retries: list[_ScheduledRetry] = []

    @property
    def next_retry_at(self) -> float | None:
        """Return the time of the next scheduled retry, or None."""
        return min((retry.at for retry in self._retries), default=None)

    def untried_leaves(self, shard: str) -> list[str]:
        """Return the replicas that may still be attempted."""
        attempted = self._state_of(shard).attempted
        if len(attempted) >= MAX_ATTEMPTS_PER_SHARD:
            return []
        return [leaf for leaf in self.replicas(shard) if leaf not in attempted]

    def replicas(self, shard: str) -> list[str]:
        """Return all leaves that hold the shard."""
        return self._leaves_by_shard.get(shard, [])

    def has_pending(self, shard: str) -> bool:
        """Tell whether an attempt for the shard is still pending."""
        return self._state_of(shard).pending > 0

    def add_shard(self, shard: str, leaves: list[str]) -> None:
        """Add a child of a split shard."""
        self._leaves_by_shard[shard] = leaves

    def start(self, shard: str, leaf: str) -> None:
        """Record an attempt at the leaf."""
        state = self._state_of(shard)
        state.attempted.append(leaf)
        state.pending += 1

    def finish(self, shard: str) -> None:
        """Record the end of an attempt."""
        self._state_of(shard).pending -= 1

    def retry_at_new_home(self, shard: str, leaf: str, now: float) -> None:
        """Schedule a retry after the leaf's home has moved.

        The leaf itself is eligible again for MAX_MOVES_PER_SHARD moves.
        """
        state = self._state_of(shard)
        state.moves += 1
        if state.moves <= MAX_MOVES_PER_SHARD:
            state.attempted.remove(leaf)
        self._retries.append(_ScheduledRetry(now + MOVE_RETRY_DELAY_S, shard))

    def retry_all_replicas(self, shard: str, now: float) -> None:
        """Schedule a retry for which all replicas are eligible again."""
        self._state_of(shard).attempted.clear()
        self._retries.append(_ScheduledRetry(now + RETRY_DELAY_S, shard))

    def pop_due(self, now: float) -> list[str]:
        """Remove the retries that are due and return their shards."""
        due = [retry.shard for retry in self._retries if retry.at <= now]
        self._retries = [retry for retry in self._retries if retry.at > now]
        return due

    def reset(self) -> None:
        """Discard all attempts and retries, to search another snapshot."""
        self._state_by_shard.clear()
        self._retries.clear()

    def _state_of(self, shard: str) -> _ShardState:
        return self._state_by_shard.setdefault(shard, _ShardState())
