"""Detects that this instance cannot reach the other zones (pure).

Clients still reach such an instance.  Once it reports that it is not ready,
the load balancer sends them to instances of other zones, which can serve them.
"""

from dataclasses import dataclass
from dataclasses import field

from heatherdyke.gateway.zone_reachability import ZoneReachability

# This many consecutive failures and this long without a response mean that
# the other zones are unreachable.
MIN_CONSECUTIVE_FAILURES = 5
MIN_SILENCE_S = 0.15
# From this share of refused requests on, another zone serves clients better.
MIN_REFUSED_SHARE = 0.3
SMOOTHING = 0.2
# The load balancer stops sending requests after two failed checks, which are
# one second apart.
BALANCER_REACTION_S = 2.2


@dataclass(slots=True)
class IsolationDetector:
    """Tracks the responses of other zones, and refusals.

    A response is one of a leaf or an instance, or a connection that one
    accepts.  ``unready_since`` is when the instance became unready for lack
    of responses, None if it is ready; ``update`` keeps it current.
    ``is_cut_off`` states that no other zone answers probes, and that the own
    zone has leafs for too few shards of some search.
    """

    zone: str
    failures: int = 0
    last_response_at: float = 0.0
    refused_share: float = 0.0
    unready_since: float | None = None
    is_cut_off: bool = False
    zones: ZoneReachability = field(init=False)

    def __post_init__(self) -> None:
        """Start without failures of any zone."""
        self.zones = ZoneReachability(self.zone)

    def record_response(self, zone: str, now: float) -> None:
        """Record a response of a leaf or an instance."""
        if zone != self.zone:
            self.failures = 0
            self.last_response_at = now
            self.is_cut_off = False
            self.zones.record_response(zone, now)

    def record_failure(self, zone: str, sent_at: float) -> bool:
        """Record a failed request or connection attempt.

        One sent before the last response does not count.  Return whether it
        makes the zone suspect.
        """
        if zone != self.zone and sent_at >= self.last_response_at:
            self.failures += 1
        return self.zones.record_failure(zone, sent_at)

    def record_request(self, refused: bool) -> None:
        """Record whether a search was refused or failed."""
        sample = 1.0 if refused else 0.0
        self.refused_share += SMOOTHING * (sample - self.refused_share)

    def others_unreachable(self, now: float) -> bool:
        """Return whether the other zones appear to be unreachable."""
        silent_s = now - self.last_response_at
        return (
            self.failures >= MIN_CONSECUTIVE_FAILURES
            and silent_s >= MIN_SILENCE_S
        )

    def should_be_unready(self, now: float) -> bool:
        """Return whether to report not ready, so that clients go elsewhere."""
        return self.is_cut_off or (
            self.refused_share >= MIN_REFUSED_SHARE
            and self.others_unreachable(now)
        )

    def update(self, now: float) -> None:
        """Note when the instance becomes unready or ready again."""
        if not self.should_be_unready(now):
            self.unready_since = None
        elif self.unready_since is None:
            self.unready_since = now

    def clients_moved_in_s(self, now: float) -> float:
        """Return when the balancer sends clients elsewhere, 0 if unknown."""
        if self.unready_since is None:
            return 0.0
        return max(0.0, self.unready_since + BALANCER_REACTION_S - now)
