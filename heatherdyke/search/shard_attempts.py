"""Which replicas a search's shards were asked on, and what is due (pure)."""

from dataclasses import dataclass
from dataclasses import field

MAX_TRIES_PER_SHARD = 3
MAX_MOVES_PER_SHARD = 4
RETRY_PAUSE_S = 0.025
MOVE_PAUSE_S = 0.005


@dataclass(slots=True)
class _ShardTry:
    """The leaves asked for one shard, and how many asks are open."""

    tried: list[str] = field(default_factory=list)
    open: int = 0
    moved: int = 0


@dataclass(frozen=True, slots=True)
class _Due:
    """A shard to be asked again at a monotonic time."""

    at: float
    shard: str


class ShardAttempts:
    """Keeps the tries of one search; a shard is asked a few times at most.

    ``leaves_by_shard`` names the replicas of each shard.
    """

    __slots__ = ("_leaves_by_shard", "_try_by_shard", "_due")

    def __init__(self, leaves_by_shard: dict[str, list[str]]) -> None:
        self._leaves_by_shard = dict(leaves_by_shard)
        self._try_by_shard: dict[str, _ShardTry] = {}
        self._due: list[_Due] = []

    @property
    def next_due_at(self) -> float | None:
        """Return when the next shard is due, or None if none is."""
        return min((due.at for due in self._due), default=None)

    def untried(self, shard: str) -> list[str]:
        """Return the replicas that were not asked and still may be."""
        tried = self._find(shard).tried
        if len(tried) >= MAX_TRIES_PER_SHARD:
            return []
        return [leaf for leaf in self.replicas(shard) if leaf not in tried]

    def replicas(self, shard: str) -> list[str]:
        """Return all leaves that hold the shard."""
        return self._leaves_by_shard.get(shard, [])

    def is_open(self, shard: str) -> bool:
        """Tell whether an ask for the shard has not come back."""
        return self._find(shard).open > 0

    def add_shard(self, shard: str, leaves: list[str]) -> None:
        """Add a shard that a split made."""
        self._leaves_by_shard[shard] = leaves

    def start(self, shard: str, leaf: str) -> None:
        """Count an ask of the leaf."""
        attempt = self._find(shard)
        attempt.tried.append(leaf)
        attempt.open += 1

    def finish(self, shard: str) -> None:
        """Count an ask that has come back."""
        self._find(shard).open -= 1

    def follow_home(self, shard: str, leaf: str, now: float) -> None:
        """Let the leaf be asked at its new home, a few times at most."""
        attempt = self._find(shard)
        attempt.moved += 1
        if attempt.moved <= MAX_MOVES_PER_SHARD:
            attempt.tried.remove(leaf)
        self._due.append(_Due(now + MOVE_PAUSE_S, shard))

    def try_all_again(self, shard: str, now: float) -> None:
        """Let all replicas be asked again after a pause."""
        self._find(shard).tried.clear()
        self._due.append(_Due(now + RETRY_PAUSE_S, shard))

    def take_due(self, now: float) -> list[str]:
        """Return the shards that are due, which are due no more."""
        due = [entry.shard for entry in self._due if entry.at <= now]
        self._due = [entry for entry in self._due if entry.at > now]
        return due

    def restart(self) -> None:
        """Forget all tries, as for another snapshot."""
        self._try_by_shard.clear()
        self._due.clear()

    def _find(self, shard: str) -> _ShardTry:
        return self._try_by_shard.setdefault(shard, _ShardTry())
