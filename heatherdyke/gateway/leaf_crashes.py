"""Tells which requests were in flight at a leaf that crashed (pure).

A broken connection alone does not show a crash: it may have been reset, or
the response was spoiled.  A leaf has crashed if it also refuses a new
connection, or a new incarnation has replaced it.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

import msgspec

# A leaf that is found down later than this after a request to it broke may
# have crashed for another reason.
CONFIRM_S = 4.0
# Crashes of several leafs at once are noticed within this time.
SETTLE_S = 0.15
# Crashes this close together may have one cause.
NEAR_S = 0.5
MAX_BROKEN_PER_LEAF = 64


class CrashSighting(msgspec.Struct, array_like=True):
    """A leaf crashed while it ran an attempt of a request.

    ``request_id`` is the attempt's.  ``alone`` states that no other leaf
    crashed at about the same time without running the request too.
    """

    key: str
    request_id: str
    leaf: str
    alone: bool
    route: str
    target: str


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection broke; ``at`` is monotonic."""

    key: str
    request_id: str
    route: str
    target: str
    at: float


@dataclass(slots=True)
class LeafCrash:
    """A leaf that was found down, with the attempts that broke before.

    ``confirmed_at`` is when it was found down, monotonic.
    """

    leaf_id: str
    at: float
    confirmed_at: float
    attempts: list[BrokenAttempt]
    reported: bool = False

    def runs(self, key: str) -> bool:
        """Return whether the leaf ran the request."""
        return any(attempt.key == key for attempt in self.attempts)


@dataclass(slots=True)
class LeafCrashes:
    """The crashes of leafs that this instance has noticed."""

    _broken_by_leaf: dict[str, list[BrokenAttempt]] = field(
        default_factory=dict
    )
    _down_leafs: set[str] = field(default_factory=set)
    _crashes: deque[LeafCrash] = field(default_factory=deque)

    def record_broken(self, leaf_id: str, attempt: BrokenAttempt) -> None:
        """Record that an attempt's connection to the leaf broke."""
        broken = self._broken_by_leaf.setdefault(leaf_id, [])
        if len(broken) < MAX_BROKEN_PER_LEAF:
            broken.append(attempt)

    def record_alive(self, leaf_id: str, sent_at: float) -> None:
        """Record a response of the leaf to a request of ``sent_at``.

        What broke before then did not break because the leaf crashed.
        """
        self._down_leafs.discard(leaf_id)
        broken = self._broken_by_leaf.pop(leaf_id, None)
        if broken:
            later = [item for item in broken if item.at > sent_at]
            self._broken_by_leaf[leaf_id] = later

    def record_down(self, leaf_id: str, now: float) -> bool:
        """Record that the leaf has ended; return whether attempts broke."""
        broken = self._broken_by_leaf.pop(leaf_id, [])
        attempts = [item for item in broken if now - item.at <= CONFIRM_S]
        if not attempts and leaf_id in self._down_leafs:
            return False
        self._down_leafs.add(leaf_id)
        self._drop_old(now)
        at = min((item.at for item in attempts), default=now)
        self._crashes.append(LeafCrash(leaf_id, at, now, attempts))
        return bool(attempts)

    def forget(self, leaf_id: str) -> None:
        """Drop the state of a leaf that is no longer used."""
        self._broken_by_leaf.pop(leaf_id, None)
        self._down_leafs.discard(leaf_id)

    def take_sightings(self, now: float) -> list[CrashSighting]:
        """Return the sightings of the crashes that have settled, once."""
        sightings = []
        for crash in self._crashes:
            if crash.reported or now - crash.confirmed_at < SETTLE_S:
                continue
            crash.reported = True
            sightings += [
                self._sighting(crash, attempt) for attempt in crash.attempts
            ]
        self._drop_old(now)
        return sightings

    def _sighting(
        self, crash: LeafCrash, attempt: BrokenAttempt
    ) -> CrashSighting:
        alone = all(
            other.runs(attempt.key)
            for other in self._crashes
            if abs(other.at - crash.at) <= NEAR_S
        )
        return CrashSighting(
            attempt.key,
            attempt.request_id,
            crash.leaf_id,
            alone,
            attempt.route,
            attempt.target,
        )

    def _drop_old(self, now: float) -> None:
        oldest = now - SETTLE_S - CONFIRM_S - NEAR_S
        while self._crashes and self._crashes[0].confirmed_at < oldest:
            self._crashes.popleft()
