"""The state of each leaf as this instance sees it (pure).

Sources are the store's entries, the leaf's own responses and health checks.
All times are monotonic seconds.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from heatherdyke.gateway.leaf_entry import LeafEntry

# An entry arrives up to about one heartbeat after the leaf's report.
COLD_MARGIN_S = 0.3
# Entries lost in an outage of the store reappear within 2 s.
REAPPEARANCE_GRACE_S = 2.5
# A removal may reach this instance this long after the store accepted it.
REMOVAL_DELAY_S = 1.0
# Back-off of an unreachable leaf: doubles with each failure in a row.
SUSPECT_FIRST_S = 0.25
SUSPECT_MAX_S = 2.0

FAILURE_SMOOTHING = 0.2
FAILURE_HALF_LIFE_S = 2.0
SLOWNESS_SMOOTHING = 0.25
SLOWNESS_HALF_LIFE_S = 10.0
# Limits the effect of a single straggler on the estimate.
MAX_SLOWNESS_SAMPLE = 3.0
# Common pauses of a leaf are shorter; a leaf silent for longer may be gone.
MIN_SILENCE_S = 0.4
# A leaf without a response for this many median times counts as stalled.
STALL_FACTOR = 2.5
STALL_MIN_S = 0.03
# Leafs that have left are remembered until so many more have.
MAX_LEAVING = 4096


class Removal(Enum):
    """What an instance knows when it learns that an entry is missing.

    TIMELY is a removal that was watched without an interruption, LATE one
    that may be some seconds old.  AFTER_OUTAGE means that the store was
    unavailable until recently, so that live leafs may lack an entry; RESTORED
    that it came back from a copy, so that any recent entry may be missing.
    """

    TIMELY = "timely"
    LATE = "late"
    AFTER_OUTAGE = "after_outage"
    RESTORED = "restored"


@dataclass(slots=True, eq=False)
class Leaf:
    """State of one incarnation of a leaf.

    ``slowness`` is the time of its responses as a multiple of the median
    time, ``failure_share`` the share of failures and rejections; both are
    moving averages.  ``sent_at_by_attempt`` holds the requests in flight,
    oldest first.  ``reported_cold_until`` is set from the leaf's own reports,
    ``cold_until`` by a health check or the return of its zone; the later one
    applies.  ``absent_until`` is set while its entry is missing: when the
    leaf is dropped.  ``misdirected`` is set if another leaf responds at its
    address, ``unverified`` if it needs a health check before it gets requests.
    ``is_leaving`` is set if its responses say that it is about to end, and
    until ``paused_until`` it wants no request of this instance.
    """

    entry: LeafEntry
    reported_cold_until: float = 0.0
    cold_until: float = 0.0
    absent_until: float | None = None
    misdirected: bool = False
    unverified: bool = False
    is_leaving: bool = False
    paused_until: float = 0.0
    suspect_until: float = 0.0
    unreachable_count: int = 0
    slowness: float = 1.0
    failure_share: float = 0.0
    last_observed_at: float = 0.0
    last_response_at: float = float("-inf")
    sent_at_by_attempt: dict[int, float] = field(default_factory=dict)

    @property
    def leaf_id(self) -> str:
        """Return the id of the leaf's entry."""
        return self.entry.leaf_id

    @property
    def is_draining(self) -> bool:
        """Return whether the leaf or its entry says that it is leaving."""
        return self.entry.draining or self.is_leaving

    def is_paused(self, now: float) -> bool:
        """Return whether the leaf has asked this instance to wait."""
        return now < self.paused_until

    def is_cold(self, now: float) -> bool:
        """Return whether the leaf may only receive the cold rate."""
        return now < max(self.cold_until, self.reported_cold_until)

    def is_usable(self, now: float) -> bool:
        """Return whether requests may be sent, apart from the cold rate."""
        return not (
            self.is_draining or self.misdirected or self.is_suspect(now)
        )

    def is_suspect(self, now: float) -> bool:
        """Return whether the leaf seems unreachable until a health check."""
        return self.unverified or now < self.suspect_until

    def state(self, now: float) -> str:
        """Return the state as one word, for log lines."""
        if self.is_draining:
            return "draining"
        if self.misdirected:
            return "another_at_its_address"
        if self.is_suspect(now):
            return "doubted"
        return "cold" if self.is_cold(now) else "usable"

    def is_stalled(self, now: float, median_s: float) -> bool:
        """Return whether requests in flight got no response for too long."""
        if not self.sent_at_by_attempt:
            return False
        oldest = next(iter(self.sent_at_by_attempt.values()))
        since = max(oldest, self.last_observed_at)
        return now - since > max(STALL_MIN_S, STALL_FACTOR * median_s)

    def is_silent(self, sent_at: float, now: float) -> bool:
        """Return whether the leaf has been silent since ``sent_at``.

        That is so if no outcome was recorded in MIN_SILENCE_S after it.
        """
        return (
            self.last_observed_at < sent_at and now - sent_at > MIN_SILENCE_S
        )

    def current_slowness(self, now: float) -> float:
        """Return the slowness, which decays while nothing is observed."""
        age_s = max(0.0, now - self.last_observed_at)
        decay = 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self.slowness - 1.0) * decay

    def current_failure_share(self, now: float) -> float:
        """Return the share of failures, which decays likewise."""
        age_s = max(0.0, now - self.last_observed_at)
        return self.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def start(self, attempt: int, now: float) -> None:
        """Add a request in flight."""
        self.sent_at_by_attempt[attempt] = now

    def finish(self, attempt: int) -> None:
        """Remove a request in flight, however it ended."""
        self.sent_at_by_attempt.pop(attempt, None)

    def record_response(
        self, now: float, duration_s: float, median_s: float
    ) -> None:
        """Record a successful response and its time."""
        slowness = self.current_slowness(now)
        sample = min(duration_s / max(median_s, 1e-4), MAX_SLOWNESS_SAMPLE)
        self.slowness = slowness + SLOWNESS_SMOOTHING * (sample - slowness)
        self._record(now, failed=False)
        self.last_response_at = now
        self.unreachable_count = 0

    def record_failure(self, now: float) -> None:
        """Record a failure response or a missing one."""
        self._record(now, failed=True)

    def record_rejection(self, now: float) -> None:
        """Record that the leaf rejected a request for lack of capacity."""
        self._record(now, failed=True)

    def record_unreachable(self, now: float) -> None:
        """Record that the leaf is unreachable or silent; back off."""
        self._record(now, failed=True)
        pause_s = SUSPECT_FIRST_S * 2 ** min(self.unreachable_count, 4)
        self.unreachable_count += 1
        self.suspect_until = now + min(pause_s, SUSPECT_MAX_S)
        self.unverified = True

    def verify(self, now: float, cold_s: float) -> None:
        """Record a health check that this leaf itself passed."""
        self.unverified = False
        self.suspect_until = 0.0
        self.last_response_at = now
        if cold_s > 0.0:
            self.cold_until = max(self.cold_until, now + cold_s)

    def _record(self, now: float, failed: bool) -> None:
        share = self.current_failure_share(now)
        sample = 1.0 if failed else 0.0
        self.slowness = self.current_slowness(now)
        self.failure_share = share + FAILURE_SMOOTHING * (sample - share)
        self.last_observed_at = now


class LeafTable:
    """All leafs with a discovery entry, by id and by service.

    The store removes the entry of a leaf from which it has heard nothing for
    ``expiry_s``.  A leaf that has left serves for ``drain_s`` more.  With
    ``expiry_s`` of 0 no entry expires.
    """

    __slots__ = (
        "leaf_by_id",
        "zones_out",
        "_leafs_by_service",
        "_leaving_by_id",
        "_expiry_s",
        "_drain_s",
    )

    def __init__(self, expiry_s: float = 0.0, drain_s: float = 0.0) -> None:
        self.set_times(expiry_s, drain_s)
        self.leaf_by_id: dict[str, Leaf] = {}
        self.zones_out: frozenset[str] = frozenset()
        self._leafs_by_service: dict[str, list[Leaf]] = {}
        # The last entries of dropped leafs that said that they were leaving.
        self._leaving_by_id: OrderedDict[str, LeafEntry] = OrderedDict()

    def set_times(self, expiry_s: float, drain_s: float) -> None:
        """Set how long entries and leaving leafs last."""
        self._expiry_s = expiry_s
        self._drain_s = drain_s

    def of_service(self, service: str) -> list[Leaf]:
        """Return the leafs of a service, in no particular order."""
        return self._leafs_by_service.get(service, [])

    def find(self, leaf_ids: Iterable[str]) -> list[Leaf]:
        """Return those of these leafs that are known."""
        leafs = (self.leaf_by_id.get(leaf_id) for leaf_id in leaf_ids)
        return [leaf for leaf in leafs if leaf is not None]

    def apply(self, entry: LeafEntry, now: float) -> Leaf | None:
        """Apply an entry; return the leaf that it replaces, if any.

        A new incarnation, address or service replaces the known leaf.  An
        entry older than the known one is ignored.
        """
        leaf = self.leaf_by_id.get(entry.leaf_id)
        if leaf is None:
            self._add(entry, now)
            return None
        known = leaf.entry
        if _is_older(entry, known):
            return None
        if _is_replacement(entry, known):
            self._drop(leaf)
            self._add(entry, now)
            return leaf
        leaf.entry = entry
        leaf.absent_until = None
        leaf.misdirected = False
        self._update_cold(leaf, now)
        return None

    def remove(
        self, leaf_id: str, now: float, removal: Removal
    ) -> Leaf | None:
        """Handle a missing entry; return the leaf if it is dropped.

        The entry of a live leaf may reappear soon, so the leaf is kept for
        some time after an outage of the store, or if its own responses
        contradict a timely removal.
        """
        leaf = self.leaf_by_id.get(leaf_id)
        if leaf is None:
            return None
        grace_s = self._grace_s(leaf, now, removal)
        if grace_s > 0.0:
            if leaf.absent_until is None:
                leaf.absent_until = now + grace_s
            return None
        self._drop(leaf)
        return leaf

    def _grace_s(self, leaf: Leaf, now: float, removal: Removal) -> float:
        """Return how long to keep a leaf without an entry.

        A leaf that responded after the last report that could keep its entry
        is alive: either the store has lost its reports, or the leaf is
        leaving without having said so and serves for the drain time.
        """
        if leaf.is_draining:
            return 0.0
        if removal in (Removal.AFTER_OUTAGE, Removal.RESTORED):
            return REAPPEARANCE_GRACE_S
        is_alive = now - leaf.last_response_at < self._expiry_s
        if removal is Removal.LATE or not is_alive:
            return 0.0
        return min(REAPPEARANCE_GRACE_S, self._drain_s - REMOVAL_DELAY_S)

    def replace(
        self, entries: Iterable[LeafEntry], now: float, removal: Removal
    ) -> list[Leaf]:
        """Apply a full list of entries; return the leafs that are dropped."""
        dropped: list[Leaf] = []
        listed: set[str] = set()
        for entry in entries:
            listed.add(entry.leaf_id)
            leaf = self.apply(entry, now)
            if leaf is not None:
                dropped.append(leaf)
        for leaf_id in self.leaf_by_id.keys() - listed:
            leaf = self.remove(leaf_id, now, removal)
            if leaf is not None:
                dropped.append(leaf)
        return dropped

    def expire(self, now: float) -> list[Leaf]:
        """Drop and return the leafs whose entries did not reappear."""
        expired = [
            leaf
            for leaf in self.leaf_by_id.values()
            if leaf.absent_until is not None and now > leaf.absent_until
        ]
        for leaf in expired:
            self._drop(leaf)
        return expired

    def set_zones_out(
        self, zones: frozenset[str], now: float, cold_s: float
    ) -> None:
        """Set the zones out of service; leafs of a returning zone are cold."""
        returned = self.zones_out - zones
        self.zones_out = zones
        for leaf in self.leaf_by_id.values():
            if leaf.entry.zone in returned:
                until = now + cold_s + COLD_MARGIN_S
                leaf.cold_until = max(leaf.cold_until, until)

    def _add(self, entry: LeafEntry, now: float) -> None:
        leaf = Leaf(entry=entry, last_observed_at=now)
        left = self._leaving_by_id.get(entry.leaf_id)
        leaf.is_leaving = left is not None and not _is_replacement(entry, left)
        self.leaf_by_id[entry.leaf_id] = leaf
        self._leafs_by_service.setdefault(entry.service, []).append(leaf)
        self._update_cold(leaf, now)

    def _drop(self, leaf: Leaf) -> None:
        del self.leaf_by_id[leaf.leaf_id]
        self._leafs_by_service[leaf.entry.service].remove(leaf)
        if leaf.is_leaving:
            self._leaving_by_id[leaf.leaf_id] = leaf.entry
            if len(self._leaving_by_id) > MAX_LEAVING:
                self._leaving_by_id.popitem(last=False)

    def _update_cold(self, leaf: Leaf, now: float) -> None:
        cold_s = leaf.entry.cold_s
        leaf.reported_cold_until = now
        if cold_s > 0.0:
            leaf.reported_cold_until = now + cold_s + COLD_MARGIN_S


def _is_replacement(entry: LeafEntry, known: LeafEntry) -> bool:
    """Return whether an entry is that of another incarnation or leaf."""
    return (
        entry.born_ms != known.born_ms
        or entry.address != known.address
        or entry.service != known.service
        or entry.sequence < known.sequence
    )


def _is_older(entry: LeafEntry, known: LeafEntry) -> bool:
    """Return whether an entry was reported before the known one.

    Without a start time a lower sequence number means a new incarnation.
    """
    if entry.born_ms != known.born_ms:
        return entry.born_ms < known.born_ms
    return entry.born_ms > 0 and entry.sequence < known.sequence
