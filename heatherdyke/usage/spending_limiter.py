"""Holds each team to its spending limit over all instances (pure).

The unit is one leaf search that a caller's search needs and that was sent;
hedges and retries are the system's own cost.  Each instance fills a token
bucket at its share of the limit, one over the instances not known gone, so
that no message and no platform call is needed.  A search is admitted while
the bucket is not overdrawn and may overdraw it by its own cost.

Bound, for ``n`` instances of which each view misses at most ``m``, over any
time T: n / (n - m) x (rate x T + burst), and once per instance the cost of
the largest search.
"""

from dataclasses import dataclass

from heatherdyke.config.model import SpendingConfig


@dataclass(slots=True)
class _Bucket:
    """Tokens of one team; ``updated_at`` is monotonic seconds."""

    tokens: float
    updated_at: float


class SpendingLimiter:
    """This instance's share of every team's limit."""

    __slots__ = ("_enabled", "_bucket_by_team")

    def __init__(self, enabled: bool = True) -> None:
        self._enabled = enabled
        self._bucket_by_team: dict[str, _Bucket] = {}

    def take(
        self,
        team: str,
        limit: SpendingConfig | None,
        cost: int,
        instances: int,
        now: float,
    ) -> float:
        """Take ``cost`` units; return 0, or seconds after which to ask again.

        ``instances`` counts the instances not known gone, this one included.
        """
        if limit is None or not self._enabled:
            return 0.0
        rate = limit.leaf_searches_per_s / max(1, instances)
        burst = limit.burst / max(1, instances)
        bucket = self._refill(team, rate, burst, now)
        if bucket.tokens <= 0:
            return max(0.001, -bucket.tokens / rate) if rate > 0 else 60.0
        bucket.tokens -= cost
        return 0.0

    def refund(self, team: str, units: int) -> None:
        """Return units taken for leaf searches that were never sent."""
        bucket = self._bucket_by_team.get(team)
        if bucket is not None:
            bucket.tokens += max(0, units)

    def _refill(
        self, team: str, rate: float, burst: float, now: float
    ) -> _Bucket:
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            bucket = _Bucket(burst, now)
            self._bucket_by_team[team] = bucket
        refilled = max(0.0, now - bucket.updated_at) * rate
        bucket.tokens = min(burst, bucket.tokens + refilled)
        bucket.updated_at = now
        return bucket
