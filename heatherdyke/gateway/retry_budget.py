"""Limits the extra sends, that is retries and hedges, fleet-wide (pure).

The extra sends to a service in a sliding window are limited to a share of its
requests plus a slack.  Each instance keeps to that share of its own requests
and to its part of the slack.  So the share holds fleet-wide whatever the
instances know of one another; the slack is divided by the list of instances.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

# Part of the allowed share that is used: a request and its extra sends may
# fall into different windows.
SHARE_USED = 0.85
# Part of the slack that is used: a restarted instance has lost its counts.
SLACK_USED = 0.5


@dataclass(slots=True)
class _Window:
    """Counts per second of a sliding window."""

    counts: deque[tuple[int, int]] = field(default_factory=deque)
    total: int = 0

    def add(self, second: int) -> None:
        self.total += 1
        if self.counts and self.counts[-1][0] == second:
            self.counts[-1] = (second, self.counts[-1][1] + 1)
        else:
            self.counts.append((second, 1))

    def remove(self, second: int) -> None:
        """Remove one of this second, unless the window has passed it."""
        for index, (counted_at, count) in enumerate(self.counts):
            if counted_at == second and count > 0:
                self.counts[index] = (second, count - 1)
                self.total -= 1

    def sum_since(self, first: int) -> int:
        while self.counts and self.counts[0][0] < first:
            self.total -= self.counts.popleft()[1]
        return self.total


class RetryBudget:
    """Budget of extra sends, by service.

    Without a known number of instances only the share applies, no slack.
    """

    __slots__ = (
        "_share",
        "_slack",
        "_window_s",
        "_instances",
        "_requests_by_service",
        "_extras_by_service",
    )

    def __init__(
        self, share: float, slack: float, window_s: float, instances: int = 0
    ) -> None:
        self.set_bounds(share, slack, window_s)
        self._instances = instances
        self._requests_by_service: dict[str, _Window] = {}
        self._extras_by_service: dict[str, _Window] = {}

    def set_bounds(self, share: float, slack: float, window_s: float) -> None:
        """Set the fleet-wide limits."""
        self._share = share * SHARE_USED
        self._slack = slack * SLACK_USED
        self._window_s = int(window_s)

    def set_instances(self, instances: int) -> None:
        """Divide the slack among this many instances, 0 if unknown."""
        self._instances = instances

    def count_request(self, service: str, now: float) -> None:
        """Count a client's request for the service."""
        window = self._requests_by_service.setdefault(service, _Window())
        window.add(int(now))

    def try_acquire(self, service: str, now: float) -> bool:
        """Return True and count one extra send if it is allowed."""
        if not self.allows(service, now):
            return False
        self._extras_by_service[service].add(int(now))
        return True

    def allows(self, service: str, now: float) -> bool:
        """Return whether one extra send is allowed."""
        second = int(now)
        extras = self._extras_by_service.setdefault(service, _Window())
        extra_count = extras.sum_since(second - self._window_s)
        requests = self._requests_by_service.setdefault(service, _Window())
        request_count = requests.sum_since(second - self._window_s + 1)
        slack = self._slack / self._instances if self._instances else 0.0
        allowed = self._share * request_count + slack
        return extra_count + 1 <= allowed

    def give_back(self, service: str, acquired_at: float) -> None:
        """Undo an acquisition; the extra send was not made."""
        self._extras_by_service[service].remove(int(acquired_at))
