"""Whether this instance is cut off from the other zones' leafs (pure).

Clients still reach an instance that is cut off.  Once it is not ready, the
balancer sends them to instances of other zones, which can serve them.
"""

from dataclasses import dataclass

# So many failures in a row, and no answer for so long, mean a cut.
LEAST_FAILURES = 5
SILENT_S = 0.15
# From this share of refused requests on, another zone serves better.
REFUSED_SHARE = 0.3
SMOOTHING = 0.2


@dataclass(slots=True)
class IsolationDetector:
    """Witnesses: ends of attempts at other zones' leafs, and refusals."""

    zone: str
    failures: int = 0
    last_response_at: float = 0.0
    refused_share: float = 0.0

    def record_response(self, zone: str, now: float) -> None:
        """Take in any response of a leaf."""
        if zone != self.zone:
            self.failures = 0
            self.last_response_at = now

    def record_failure(self, zone: str) -> None:
        """Take in that a leaf could not be reached or stayed silent."""
        if zone != self.zone:
            self.failures += 1

    def record_request(self, refused: bool) -> None:
        """Take in whether a request found the leafs that it needs."""
        sample = 1.0 if refused else 0.0
        self.refused_share += SMOOTHING * (sample - self.refused_share)

    def should_be_unready(self, now: float) -> bool:
        """Tell whether clients are served better by another zone."""
        cut = self.failures >= LEAST_FAILURES
        silent = now - self.last_response_at >= SILENT_S
        return cut and silent and self.refused_share >= REFUSED_SHARE
