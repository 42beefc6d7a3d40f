"""Detects that this instance cannot reach other zones' leafs (pure).

Clients still reach such an instance.  Once it reports that it is not ready,
the load balancer sends them to instances of other zones, which can serve them.
"""

from dataclasses import dataclass

# This many consecutive failures and this long without a response mean that
# the other zones are unreachable.
MIN_CONSECUTIVE_FAILURES = 5
MIN_SILENCE_S = 0.15
# From this share of refused requests on, another zone serves clients better.
MIN_REFUSED_SHARE = 0.3
SMOOTHING = 0.2


@dataclass(slots=True)
class IsolationDetector:
    """Tracks outcomes of attempts at other zones' leafs, and refusals."""

    zone: str
    failures: int = 0
    last_response_at: float = 0.0
    refused_share: float = 0.0

    def record_response(self, zone: str, now: float) -> None:
        """Record any response of a leaf."""
        if zone != self.zone:
            self.failures = 0
            self.last_response_at = now

    def record_failure(self, zone: str) -> None:
        """Record that a leaf was unreachable or did not respond."""
        if zone != self.zone:
            self.failures += 1

    def record_request(self, refused: bool) -> None:
        """Record whether a search was refused or failed."""
        sample = 1.0 if refused else 0.0
        self.refused_share += SMOOTHING * (sample - self.refused_share)

    def should_be_unready(self, now: float) -> bool:
        """Return whether to report not ready, so that clients go elsewhere."""
        failing = self.failures >= MIN_CONSECUTIVE_FAILURES
        silent = now - self.last_response_at >= MIN_SILENCE_S
        return failing and silent and self.refused_share >= MIN_REFUSED_SHARE
