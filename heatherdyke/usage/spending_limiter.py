"""Enforces each team's spending limit across all instances (pure).

The unit is one leaf search that was sent because a caller's search requires
it; hedges and retries are not charged.  Each instance has a token bucket per
team that it refills at its share of the limit: the limit divided by the
number of instances that are not known to be gone.  This needs no messages and
no platform calls.  A search is admitted while the bucket has tokens left, and
its cost may overdraw the bucket.

Upper bound of the cost over any time T, for ``n`` instances each of which
has at most ``m`` instances missing in its view: n / (n - m) x (rate x T +
burst), plus the cost of the largest search once per instance.
"""

from dataclasses import dataclass

from heatherdyke.config.model import SpendingConfig


@dataclass(slots=True)
class _Bucket:
    """Tokens of one team; ``updated_at`` is monotonic seconds."""

    tokens: float
    updated_at: float


class SpendingLimiter:
    """The token buckets with this instance's share of each team's limit."""

    __slots__ = ("_enabled", "_bucket_by_team")

    def __init__(self, enabled: bool = True) -> None:
        self._enabled = enabled
        self._bucket_by_team: dict[str, _Bucket] = {}

    def take(
        self,
        team: str,
        limit: SpendingConfig | None,
        cost: int,
        instance_count: int,
        now: float,
    ) -> float:
        """Take ``cost`` tokens; return 0, or the seconds until a retry.

        ``instance_count`` is the number of instances that are not known to be
        gone, including this one.
        """
        if limit is None or not self._enabled:
            return 0.0
        rate = limit.leaf_searches_per_s / max(1, instance_count)
        burst = limit.burst / max(1, instance_count)
        bucket = self._refill(team, rate, burst, now)
        if bucket.tokens <= 0:
            return max(0.001, -bucket.tokens / rate) if rate > 0 else 60.0
        bucket.tokens -= cost
        return 0.0

    def refund(self, team: str, units: int) -> None:
        """Return the tokens of leaf searches that were never sent."""
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
