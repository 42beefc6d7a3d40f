"""What an instance believes of each leaf, and from which witness (pure).

Witnesses are the store's entries, the leaf's own answers and health checks.
All times are monotonic seconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from heatherdyke.gateway.leaf_entry import LeafEntry

# An entry reaches an instance about one heartbeat after the report.
COLD_MARGIN_S = 0.3
# Entries lost in an outage of the store are back within two seconds.
LAPSE_GRACE_S = 2.5
SUSPECT_FIRST_S = 0.25
SUSPECT_MAX_S = 2.0

FAILURE_SMOOTHING = 0.2
FAILURE_HALF_LIFE_S = 2.0
SLOWNESS_SMOOTHING = 0.25
SLOWNESS_HALF_LIFE_S = 10.0
# One straggler moves the estimate by little.
MAX_SLOWNESS_SAMPLE = 3.0
# A usual pause is shorter than this; who is silent longer may be gone.
SILENT_S = 0.4
# A leaf that is silent for this many usual times is taken as paused.
STALL_FACTOR = 2.5
STALL_MIN_S = 0.03


@dataclass(slots=True, eq=False)
class Leaf:
    """Beliefs on one incarnation of a leaf.

    ``slowness`` is the time its answers take as a multiple of the usual
    time; ``failure_share`` the share of its answers that are failures.
    ``sent_at_by_attempt`` holds the requests that wait for it, oldest first.
    ``reported_cold_until`` follows the leaf's own reports, ``cold_until``
    what a health check or a zone's return says; the later one counts.
    """

    entry: LeafEntry
    reported_cold_until: float = 0.0
    cold_until: float = 0.0
    absent_since: float | None = None
    misdirected: bool = False
    unverified: bool = False
    suspect_until: float = 0.0
    suspicions: int = 0
    slowness: float = 1.0
    failure_share: float = 0.0
    last_observed_at: float = 0.0
    sent_at_by_attempt: dict[int, float] = field(default_factory=dict)

    @property
    def leaf_id(self) -> str:
        """Return the leaf's id."""
        return self.entry.leaf_id

    def is_cold(self, now: float) -> bool:
        """Tell whether the leaf bears only the cold rate."""
        return now < max(self.cold_until, self.reported_cold_until)

    def is_usable(self, now: float) -> bool:
        """Tell whether requests may be sent, if the leaf is warm."""
        return not (
            self.entry.draining
            or self.misdirected
            or self.unverified
            or now < self.suspect_until
        )

    def state(self, now: float) -> str:
        """Return in a word why requests may or may not be sent."""
        if self.entry.draining:
            return "draining"
        if self.misdirected:
            return "another_at_its_address"
        if self.unverified or now < self.suspect_until:
            return "doubted"
        return "cold" if self.is_cold(now) else "usable"

    def is_stalled(self, now: float, median_s: float) -> bool:
        """Tell whether the oldest waiting request got no answer too long."""
        if not self.sent_at_by_attempt:
            return False
        oldest = next(iter(self.sent_at_by_attempt.values()))
        since = max(oldest, self.last_observed_at)
        return now - since > max(STALL_MIN_S, STALL_FACTOR * median_s)

    def is_silent(self, sent_at: float, now: float) -> bool:
        """Tell whether nothing came since ``sent_at``, for too long."""
        return self.last_observed_at < sent_at and now - sent_at > SILENT_S

    def current_slowness(self, now: float) -> float:
        """Return the slowness, which fades while nothing is heard."""
        age_s = max(0.0, now - self.last_observed_at)
        faded = 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self.slowness - 1.0) * faded

    def current_failure_share(self, now: float) -> float:
        """Return the share of failures, which fades likewise."""
        age_s = max(0.0, now - self.last_observed_at)
        return self.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def start(self, attempt: int, now: float) -> None:
        """Count a request as waiting."""
        self.sent_at_by_attempt[attempt] = now

    def finish(self, attempt: int) -> None:
        """Count a request as ended, however it ended."""
        self.sent_at_by_attempt.pop(attempt, None)

    def record_response(
        self, now: float, took_s: float, median_s: float
    ) -> None:
        """Take in a good answer's time."""
        slowness = self.current_slowness(now)
        sample = min(took_s / max(median_s, 1e-4), MAX_SLOWNESS_SAMPLE)
        self.slowness = slowness + SLOWNESS_SMOOTHING * (sample - slowness)
        self._hear(now, failed=False)
        self.suspicions = 0

    def record_failure(self, now: float) -> None:
        """Take in an answer that was a failure or did not come."""
        self._hear(now, failed=True)

    def record_rejection(self, now: float) -> None:
        """Take in that the leaf had no room."""
        self._hear(now, failed=True)

    def record_unreachable(self, now: float) -> None:
        """Take in that no connection could be made, or all were lost."""
        self._hear(now, failed=True)
        pause_s = SUSPECT_FIRST_S * 2 ** min(self.suspicions, 4)
        self.suspicions += 1
        self.suspect_until = now + min(pause_s, SUSPECT_MAX_S)
        self.unverified = True

    def verify(self, now: float, cold_s: float) -> None:
        """Take in a health check by this very leaf."""
        self.unverified = False
        self.suspect_until = 0.0
        if cold_s > 0.0:
            self.cold_until = max(self.cold_until, now + cold_s)

    def _hear(self, now: float, failed: bool) -> None:
        share = self.current_failure_share(now)
        sample = 1.0 if failed else 0.0
        self.slowness = self.current_slowness(now)
        self.failure_share = share + FAILURE_SMOOTHING * (sample - share)
        self.last_observed_at = now


class LeafTable:
    """All leafs that discovery names, by id and by service."""

    __slots__ = ("leaf_by_id", "zones_out", "_leafs_by_service")

    def __init__(self) -> None:
        self.leaf_by_id: dict[str, Leaf] = {}
        self.zones_out: frozenset[str] = frozenset()
        self._leafs_by_service: dict[str, list[Leaf]] = {}

    def of_service(self, service: str) -> list[Leaf]:
        """Return the leafs of a service, in no order."""
        return self._leafs_by_service.get(service, [])

    def apply(self, entry: LeafEntry, now: float) -> Leaf | None:
        """Take in an entry; return a leaf that must not be used any more.

        That is the earlier incarnation, or the one at another address.  An
        entry of an older incarnation than the known one is ignored.
        """
        leaf = self.leaf_by_id.get(entry.leaf_id)
        if leaf is None:
            self._add(entry, now)
            return None
        known = leaf.entry
        if _is_older(entry, known):
            return None
        moved = (
            entry.born_ms != known.born_ms
            or entry.address != known.address
            or entry.service != known.service
            or entry.sequence < known.sequence
        )
        if moved:
            self._drop(leaf)
            self._add(entry, now)
            return leaf
        leaf.entry = entry
        leaf.absent_since = None
        leaf.misdirected = False
        self._note_cold(leaf, now)
        return None

    def remove(
        self, leaf_id: str, now: float, may_reappear: bool
    ) -> Leaf | None:
        """Take in that an entry is gone; return the leaf if it is dropped.

        After an outage of the store the entry of a live leaf may be back
        soon, so that the leaf is kept for a while.
        """
        leaf = self.leaf_by_id.get(leaf_id)
        if leaf is None:
            return None
        if may_reappear and not leaf.entry.draining:
            if leaf.absent_since is None:
                leaf.absent_since = now
            return None
        self._drop(leaf)
        return leaf

    def replace(
        self, entries: Iterable[LeafEntry], now: float, may_reappear: bool
    ) -> list[Leaf]:
        """Take in all entries at once; return the leafs that are dropped."""
        dropped: list[Leaf] = []
        listed: set[str] = set()
        for entry in entries:
            listed.add(entry.leaf_id)
            leaf = self.apply(entry, now)
            if leaf is not None:
                dropped.append(leaf)
        for leaf_id in self.leaf_by_id.keys() - listed:
            leaf = self.remove(leaf_id, now, may_reappear)
            if leaf is not None:
                dropped.append(leaf)
        return dropped

    def expire(self, now: float) -> list[Leaf]:
        """Drop and return the leafs whose entries did not come back."""
        expired = [
            leaf
            for leaf in self.leaf_by_id.values()
            if leaf.absent_since is not None
            and now - leaf.absent_since > LAPSE_GRACE_S
        ]
        for leaf in expired:
            self._drop(leaf)
        return expired

    def set_zones_out(
        self, zones: frozenset[str], now: float, cold_s: float
    ) -> None:
        """Take in which zones are out; leafs of one that returns are cold."""
        returned = self.zones_out - zones
        self.zones_out = zones
        for leaf in self.leaf_by_id.values():
            if leaf.entry.zone in returned:
                until = now + cold_s + COLD_MARGIN_S
                leaf.cold_until = max(leaf.cold_until, until)

    def _add(self, entry: LeafEntry, now: float) -> None:
        leaf = Leaf(entry=entry, last_observed_at=now)
        self.leaf_by_id[entry.leaf_id] = leaf
        self._leafs_by_service.setdefault(entry.service, []).append(leaf)
        self._note_cold(leaf, now)

    def _drop(self, leaf: Leaf) -> None:
        del self.leaf_by_id[leaf.leaf_id]
        self._leafs_by_service[leaf.entry.service].remove(leaf)

    def _note_cold(self, leaf: Leaf, now: float) -> None:
        cold_s = leaf.entry.cold_s
        leaf.reported_cold_until = now
        if cold_s > 0.0:
            leaf.reported_cold_until = now + cold_s + COLD_MARGIN_S


def _is_older(entry: LeafEntry, known: LeafEntry) -> bool:
    """Tell whether a late report must not replace what is known."""
    if entry.born_ms != known.born_ms:
        return entry.born_ms < known.born_ms
    return entry.born_ms > 0 and entry.sequence < known.sequence
