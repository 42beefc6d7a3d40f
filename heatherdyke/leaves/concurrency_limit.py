"""The adaptive concurrency limit of one leaf, without I/O.

A leaf starts at the concurrency that it can handle when cold.  Each increase
requires a number of searches with a normal latency, so that a server that
stays slow stays at its cold limit however much time passes.  A shed, a
connection reset or a new incarnation lowers the limit immediately.
"""

from dataclasses import dataclass

SUCCESSES_PER_STEP = 10
SLOW_FACTOR = 3.0
SLOW_ANSWERS_TO_RESET = 6
MAX_WARM_UP_ANSWERS = 100
SHED_PAUSE_S = 0.05
SHED_PAUSE_MAX_S = 2.0


@dataclass(slots=True)
class ConcurrencyLimit:
    """The limit of one leaf; times are monotonic seconds.

    ``slots`` is the maximum.  ``cold_slots`` is the initial limit, which
    applies until ``cold_searches`` have been answered.  Without ``ramp`` the
    limit is always ``slots``.
    """

    slots: int
    cold_slots: int = 1
    cold_searches: int = 0
    ramp: bool = True
    level: int = 0
    incarnation: str = ""
    cold_starts: int = 0
    _unconfirmed: bool = False
    _answered: int = 0
    _successes: int = 0
    _slow_answers: int = 0
    _sheds_in_row: int = 0
    _paused_until: float = 0.0

    def __post_init__(self) -> None:
        self.cold_slots = max(1, min(self.cold_slots, self.slots))
        self.level = self.cold_slots if self.ramp else self.slots

    def allowed(self, now: float) -> int:
        """Return how many searches may be in progress at ``now``."""
        if now < self._paused_until:
            return 0
        if self._unconfirmed:
            return min(self.level, self.cold_slots)
        return self.level

    def restore(self, level: int, incarnation: str) -> None:
        """Continue at the level that the leaf's previous home reported.

        The cold limit applies until an answer confirms the incarnation.
        """
        if not self.ramp:
            return
        self.level = max(self.cold_slots, min(level, self.slots))
        self.incarnation = incarnation
        self._unconfirmed = True
        if self.level > self.cold_slots:
            self._answered = self.cold_searches

    @property
    def is_warm(self) -> bool:
        """Tell whether the limit has reached ``slots``."""
        return self.level >= self.slots

    def paused_until(self, now: float) -> float | None:
        """Return when a pause ends, or None if there is none."""
        return self._paused_until if now < self._paused_until else None

    def record_answer(
        self, incarnation: str, took_s: float, typical_latency_s: float
    ) -> bool:
        """Count an answer and adjust the limit.

        A changed incarnation makes the leaf cold again.  Returns whether
        ``took_s`` is a representative latency: that of a warm leaf, or of
        one that stays slow long after it should be warm.
        """
        if self._is_new(incarnation):
            self.reset_to_cold()
        self.incarnation = incarnation or self.incarnation
        self._sheds_in_row = 0
        self._unconfirmed = False
        self._answered += 1
        warming_up = self._answered <= self.cold_searches + MAX_WARM_UP_ANSWERS
        if warming_up and took_s > SLOW_FACTOR * typical_latency_s:
            self._count_slow()
            return False
        self._slow_answers = 0
        if self._answered <= self.cold_searches:
            return False
        self._successes += 1
        if self._successes >= SUCCESSES_PER_STEP and self.level < self.slots:
            self._successes = 0
            self.level += 1
        return self.is_warm or not warming_up

    def record_shed(
        self, now: float, incarnation: str, retry_after_s: float
    ) -> None:
        """Halve the limit and pause, longer with each shed in a row."""
        if not self.ramp:
            return
        self.incarnation = incarnation or self.incarnation
        self.level = max(self.cold_slots, self.level // 2)
        self._successes = 0
        pause_s = SHED_PAUSE_S * 2 ** min(self._sheds_in_row, 5)
        self._sheds_in_row += 1
        pause_s = min(max(pause_s, retry_after_s), SHED_PAUSE_MAX_S)
        self._paused_until = max(self._paused_until, now + pause_s)

    def reset_to_cold(self) -> None:
        """Return to the cold limit, for example after a connection reset."""
        if not self.ramp:
            return
        if self.level > self.cold_slots or self._answered:
            self.cold_starts += 1
        self.level = self.cold_slots
        self._answered = 0
        self._successes = 0
        self._slow_answers = 0

    def _is_new(self, incarnation: str) -> bool:
        known = bool(self.incarnation and incarnation)
        return known and incarnation != self.incarnation

    def _count_slow(self) -> None:
        self._slow_answers += 1
        above_cold = self.level > self.cold_slots
        if above_cold and self._slow_answers >= SLOW_ANSWERS_TO_RESET:
            self.reset_to_cold()
