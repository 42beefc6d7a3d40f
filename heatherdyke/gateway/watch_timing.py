"""How long a watch of the store lasts, and when it counts as lost (pure).

The store may lose a response without closing the connection, so that only a
timeout shows the loss.  What the lost response reported is due within a time
that counts from the change, not from the detection of the loss.
"""

from dataclasses import dataclass

from heatherdyke.gateway.settings import Bounds

# Bounds of a watch's duration; shorter ones would load the store for little
# use.
MAX_WATCH_S = 10.0
MIN_WATCH_S = 1.0
# The first watch after an outage is short, so that another loss is noticed
# soon.
PROBE_WATCH_S = 0.5
# How much longer than its own duration a watch may take, as a multiple of the
# store's recent delay, and the bounds of this margin.
DELAY_FACTOR = 4.0
MIN_MARGIN_S = 0.8
MAX_MARGIN_S = 1.5
# A delay counts this share less with each further response.
DELAY_DECAY = 0.2
# Time to call the store again after a loss and to apply what it reports.
REPEAT_S = 0.6

# Pauses after calls in a row that end at once and report nothing new.
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 0.5
# A watch that ends within this share of its time ends at once.
EARLY_SHARE = 0.5


@dataclass(slots=True)
class CallPauses:
    """Pauses between calls of a store that has nothing new to report."""

    _pause_s: float = 0.0

    def next_s(self) -> float:
        """Return the pause after one more such call, 0 after the first."""
        pause_s = self._pause_s
        longer_s = max(FIRST_PAUSE_S, 2.0 * pause_s)
        self._pause_s = min(MAX_PAUSE_S, longer_s)
        return pause_s

    def reset(self) -> None:
        """Record that the store had changes, or waited for them."""
        self._pause_s = 0.0


@dataclass(frozen=True, slots=True)
class WatchDuration:
    """Seconds that a watch waits, and that its response may take longer."""

    wait_s: float
    margin_s: float

    @property
    def timeout_s(self) -> float:
        """Return when a watch without a response counts as lost."""
        return self.wait_s + self.margin_s


@dataclass(slots=True)
class WatchTiming:
    """Chooses the duration of watches by the delay of recent responses."""

    _delay_s: float = 0.0

    def add_delay(self, delay_s: float) -> None:
        """Record how much longer than necessary a response took."""
        remembered_s = (1.0 - DELAY_DECAY) * self._delay_s
        self._delay_s = max(delay_s, remembered_s)

    def next_watch(self, bounds: Bounds) -> WatchDuration:
        """Return the duration of the next watch of a store that serves."""
        margin_s = DELAY_FACTOR * self._delay_s
        margin_s = min(MAX_MARGIN_S, max(MIN_MARGIN_S, margin_s))
        wait_s = lost_change_due_s(bounds) - REPEAT_S - margin_s
        wait_s = min(MAX_WATCH_S, max(MIN_WATCH_S, wait_s))
        return WatchDuration(wait_s, margin_s)

    def probe(self) -> WatchDuration:
        """Return the duration of the first watch after an outage."""
        return WatchDuration(PROBE_WATCH_S, MAX_MARGIN_S)


def lost_change_due_s(bounds: Bounds) -> float:
    """Return how long after it a change must be active despite a loss.

    An instance is excused until its connections count as stable again, or
    until the change is due anyway if that is later.
    """
    return max(bounds.stable_s, min(bounds.config_s, bounds.drain_s))
