"""Refuses at once what cannot be done in time (pure).

By Little's law the work ahead of a search over the rate at which work gets
done is the time it waits.  The homes' queues serve urgent work first, so
only work at least as urgent is ahead.  The rate is measured, as the highest
of the last windows while work was under way: a windowed maximum of the
delivery rate, as in N. Cardwell et al., "BBR: Congestion-Based Congestion
Control", ACM Queue 14(5), 2016.  Since the rate of a system with little to
do is no measure of its capacity, nothing is refused unless a search at
least as urgent was late, or nearly, within the last seconds.  A share of
the rate stays open to each less urgent class, so that none is starved.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

WINDOW_S = 0.5
KEPT_WINDOWS = 10
MIN_WINDOW_COMPLETIONS = 20
OPEN_SHARE = 0.02
USABLE_SHARE = 0.4
TOP_USABLE_SHARE = 0.8
LATE_SHARE = 0.8
LATE_MEMORY_S = 2.0
MIN_RETRY_S = 0.1


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a search starts, and if not, when to come back."""

    admitted: bool
    expected_s: float = 0.0
    retry_after_s: float = 0.0


@dataclass(slots=True)
class CompletionRate:
    """The highest rate of recent windows, in leaf searches a second.

    Only time with work under way counts, so that idle time does not look
    like a low capacity.
    """

    window_started_at: float = 0.0
    completed: int = 0
    busy_s: float = 0.0
    busy_since: float | None = None
    rates: deque[float] = field(
        default_factory=lambda: deque(maxlen=KEPT_WINDOWS)
    )

    @property
    def per_s(self) -> float | None:
        """Return the rate, or None before anything was measured."""
        return max(self.rates) if self.rates else None

    def begin_work(self, now: float) -> None:
        """Note that work is under way."""
        if self.busy_since is None:
            self.busy_since = now

    def complete(self, count: int, now: float, idle: bool) -> None:
        """Count completed leaf searches; ``idle`` if none is left."""
        self.completed += count
        if self.busy_since is not None:
            self.busy_s += now - self.busy_since
        self.busy_since = None if idle else now
        if now - self.window_started_at >= WINDOW_S:
            self._end_window(now)

    def _end_window(self, now: float) -> None:
        if self.completed >= MIN_WINDOW_COMPLETIONS and self.busy_s > 0:
            self.rates.append(self.completed / self.busy_s)
        self.window_started_at = now
        self.completed = 0
        self.busy_s = 0.0


class AdmissionController:
    """Decides for one entry which searches may start."""

    __slots__ = (
        "_by_urgency",
        "_enabled",
        "_rate",
        "_ahead_by_priority",
        "_open",
        "_late_until_by_priority",
        "_top_priority",
    )

    def __init__(self, by_urgency: bool = True, enabled: bool = True) -> None:
        self._by_urgency = by_urgency
        self._enabled = enabled
        self._rate = CompletionRate()
        self._ahead_by_priority: dict[int, int] = {}
        self._open: dict[int, tuple[float, float]] = {}
        self._late_until_by_priority: dict[int, float] = {}
        self._top_priority: int | None = None

    @property
    def in_flight(self) -> int:
        """Return how many leaf searches of admitted searches are left."""
        return sum(self._ahead_by_priority.values())

    def decide(
        self, priority: int, needed: int, remaining_s: float, now: float
    ) -> AdmissionDecision:
        """Decide on a search of ``needed`` leaf searches.

        An admitted one counts as under way until ``record_finished``.
        """
        priority = priority if self._by_urgency else 0
        rate = self._rate.per_s
        expected_s = 0.0
        if rate is not None and self._is_late(priority, now):
            expected_s = (self._ahead(priority) + needed) / rate
        late_s = expected_s - self._usable_share(priority) * remaining_s
        if late_s > 0 and not self._take_open(priority, needed, rate, now):
            retry_after_s = max(MIN_RETRY_S, late_s)
            return AdmissionDecision(False, expected_s, retry_after_s)
        self._count(priority, needed)
        self._rate.begin_work(now)
        return AdmissionDecision(True, expected_s)

    def record_finished(
        self,
        priority: int,
        needed: int,
        completed: int,
        took_share: float,
        now: float,
    ) -> None:
        """Take an admitted search out; ``completed`` of it were answered.

        ``took_share`` is the time that it took over the time that it had.
        """
        priority = priority if self._by_urgency else 0
        if took_share >= LATE_SHARE:
            until = now + LATE_MEMORY_S
            self._late_until_by_priority[priority] = until
        self._count(priority, -needed)
        self._rate.complete(completed, now, idle=not self.in_flight)

    def _usable_share(self, priority: int) -> float:
        """Return the share of the remaining time that waiting may take.

        Work that comes later overtakes all but the most urgent class seen.
        """
        if self._top_priority is None or priority <= self._top_priority:
            self._top_priority = priority
            return TOP_USABLE_SHARE
        return USABLE_SHARE

    def _is_late(self, priority: int, now: float) -> bool:
        """Tell whether work at least as urgent was late not long ago."""
        return self._enabled and any(
            other <= priority and until > now
            for other, until in self._late_until_by_priority.items()
        )

    def _ahead(self, priority: int) -> int:
        return sum(
            count
            for other, count in self._ahead_by_priority.items()
            if other <= priority
        )

    def _count(self, priority: int, needed: int) -> None:
        left = self._ahead_by_priority.get(priority, 0) + needed
        if left:
            self._ahead_by_priority[priority] = left
        else:
            self._ahead_by_priority.pop(priority, None)

    def _take_open(
        self, priority: int, needed: int, rate: float, now: float
    ) -> bool:
        """Take from the share of the rate that is open to each class."""
        tokens, updated_at = self._open.get(priority, (0.0, now))
        tokens += (now - updated_at) * rate * OPEN_SHARE
        tokens = min(tokens, float(needed))
        taken = tokens >= needed
        self._open[priority] = (tokens - needed if taken else tokens, now)
        return taken
