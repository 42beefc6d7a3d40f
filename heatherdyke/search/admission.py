"""Rejects searches that cannot finish before their deadline (pure).

By Little's law, the waiting time of a search is the work queued ahead of it
divided by the completion rate.  The homes' queues serve urgent work first,
so only work that is at least as urgent counts as ahead.  The rate is the
highest of the last measuring windows, counting only time with work in
flight: a windowed maximum of the delivery rate, as in N. Cardwell et al.,
"BBR: Congestion-Based Congestion Control", ACM Queue 14(5), 2016.  The rate
of a lightly loaded system does not show its capacity.  Therefore a search is
rejected only if one that is at least as urgent was late, or nearly late,
within the last ``LATE_HOLD_S``.  A share of the rate is reserved for each
priority, so that none is starved.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

WINDOW_S = 0.5
RATE_WINDOWS = 10
MIN_WINDOW_COMPLETIONS = 20
RESERVED_SHARE = 0.02
MAX_WAIT_SHARE = 0.4
TOP_PRIORITY_MAX_WAIT_SHARE = 0.8
LATE_DEADLINE_SHARE = 0.8
LATE_HOLD_S = 2.0
MIN_RETRY_AFTER_S = 0.1


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a search may start, and if not, when to retry."""

    admitted: bool
    expected_s: float = 0.0
    retry_after_s: float = 0.0


@dataclass(slots=True)
class CompletionRate:
    """The highest rate of recent windows, in leaf searches per second.

    Only time with work in flight counts, so that idle time does not look
    like a low capacity.
    """

    window_started_at: float = 0.0
    completed: int = 0
    busy_s: float = 0.0
    busy_since: float | None = None
    rates: deque[float] = field(
        default_factory=lambda: deque(maxlen=RATE_WINDOWS)
    )

    @property
    def per_s(self) -> float | None:
        """Return the rate, or None before the first measurement."""
        return max(self.rates) if self.rates else None

    def mark_busy(self, now: float) -> None:
        """Record that work is in flight."""
        if self.busy_since is None:
            self.busy_since = now

    def complete(self, count: int, now: float, idle: bool) -> None:
        """Count completed leaf searches; ``idle`` if none is in flight."""
        self.completed += count
        if self.busy_since is not None:
            self.busy_s += now - self.busy_since
        self.busy_since = None if idle else now
        if now - self.window_started_at >= WINDOW_S:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        if self.completed >= MIN_WINDOW_COMPLETIONS and self.busy_s > 0:
            self.rates.append(self.completed / self.busy_s)
        self.window_started_at = now
        self.completed = 0
        self.busy_s = 0.0


class AdmissionController:
    """Decides which searches of this instance may start."""

    __slots__ = (
        "_by_urgency",
        "_enabled",
        "_rate",
        "_in_flight_by_priority",
        "_reserved_by_priority",
        "_late_until_by_priority",
        "_top_priority",
    )

    def __init__(self, by_urgency: bool = True, enabled: bool = True) -> None:
        self._by_urgency = by_urgency
        self._enabled = enabled
        self._rate = CompletionRate()
        self._in_flight_by_priority: dict[int, int] = {}
        self._reserved_by_priority: dict[int, tuple[float, float]] = {}
        self._late_until_by_priority: dict[int, float] = {}
        self._top_priority: int | None = None

    @property
    def in_flight(self) -> int:
        """Return the number of unfinished admitted leaf searches."""
        return sum(self._in_flight_by_priority.values())

    def decide(
        self, priority: int, fan_out: int, remaining_s: float, now: float
    ) -> AdmissionDecision:
        """Decide on a search that needs ``fan_out`` leaf searches.

        An admitted search counts as in flight until ``record_finished``.
        """
        priority = priority if self._by_urgency else 0
        rate = self._rate.per_s
        expected_s = 0.0
        if rate is not None and self._was_recently_late(priority, now):
            expected_s = (self._count_ahead(priority) + fan_out) / rate
        late_s = expected_s - self._max_wait_share(priority) * remaining_s
        if late_s > 0 and not self._take_reserved(
            priority, fan_out, rate, now
        ):
            retry_after_s = max(MIN_RETRY_AFTER_S, late_s)
            return AdmissionDecision(False, expected_s, retry_after_s)
        self._adjust_in_flight(priority, fan_out)
        self._rate.mark_busy(now)
        return AdmissionDecision(True, expected_s)

    def record_finished(
        self,
        priority: int,
        fan_out: int,
        completed: int,
        deadline_share_used: float,
        now: float,
    ) -> None:
        """Record the end of an admitted search.

        ``completed`` of its leaf searches were answered.
        ``deadline_share_used`` is its duration divided by its deadline.
        """
        priority = priority if self._by_urgency else 0
        if deadline_share_used >= LATE_DEADLINE_SHARE:
            until = now + LATE_HOLD_S
            self._late_until_by_priority[priority] = until
        self._adjust_in_flight(priority, -fan_out)
        self._rate.complete(completed, now, idle=not self.in_flight)

    def _max_wait_share(self, priority: int) -> float:
        """Return the share of the remaining time that queueing may take.

        It is higher for the most urgent priority seen so far, because later
        work overtakes all others in the queues.
        """
        if self._top_priority is None or priority <= self._top_priority:
            self._top_priority = priority
            return TOP_PRIORITY_MAX_WAIT_SHARE
        return MAX_WAIT_SHARE

    def _was_recently_late(self, priority: int, now: float) -> bool:
        """Tell whether work that is at least as urgent was late recently."""
        return self._enabled and any(
            other <= priority and until > now
            for other, until in self._late_until_by_priority.items()
        )

    def _count_ahead(self, priority: int) -> int:
        return sum(
            count
            for other, count in self._in_flight_by_priority.items()
            if other <= priority
        )

    def _adjust_in_flight(self, priority: int, fan_out: int) -> None:
        remaining = self._in_flight_by_priority.get(priority, 0) + fan_out
        if remaining:
            self._in_flight_by_priority[priority] = remaining
        else:
            self._in_flight_by_priority.pop(priority, None)

    def _take_reserved(
        self, priority: int, fan_out: int, rate: float, now: float
    ) -> bool:
        """Take from the share of the rate reserved for each priority."""
        tokens, updated_at = self._reserved_by_priority.get(
            priority, (0.0, now)
        )
        tokens += (now - updated_at) * rate * RESERVED_SHARE
        tokens = min(tokens, float(fan_out))
        taken = tokens >= fan_out
        self._reserved_by_priority[priority] = (
            tokens - fan_out if taken else tokens,
            now,
        )
        return taken
