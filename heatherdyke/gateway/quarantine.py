"""The requests that this instance sends with care, or not at all (pure).

A leaf's new version may serve a request that crashed the earlier one.  So one
instance, the lead, tries a quarantined request again a few times.  All times
are monotonic seconds.
"""

from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from heatherdyke.gateway.crash_evidence import Level

# How long a request is quarantined, if nothing lifts it before.
RETENTION_S = 24 * 3600.0
# A suspect request that does not crash another leaf is forgotten.
SUSPECT_S = 600.0
# Waits before each time that a quarantined request is tried at one leaf.
PROBE_WAITS_S = (60.0, 600.0, 3600.0)
MAX_ENTRIES = 1024
# A request that a leaf has completed this recently does not crash leafs.
COMPLETION_S = 10.0
MAX_COMPLETIONS = 4096
# A list of the store may be this old, so it does not change later decisions.
STALE_LIST_S = 30.0


class Verdict(msgspec.Struct, array_like=True):
    """What an instance has concluded about a request.

    ``age_s`` is the time since then, ``probes`` how often it was tried again
    in quarantine.
    """

    key: str
    level: int
    crashes: int = 0
    attempts: int = 0
    route: str = ""
    target: str = ""
    decided_by: str = ""
    age_s: float = 0.0
    probes: int = 0


@dataclass(slots=True)
class QuarantineEntry:
    """A request that is suspected or quarantined; ``since`` is monotonic."""

    verdict: Verdict
    since: float
    changed_at: float
    next_probe_at: float
    refused: int = 0

    @property
    def level(self) -> Level:
        """Return what is believed of the request."""
        return Level(self.verdict.level)

    def is_expired(self, now: float) -> bool:
        """Return whether the entry no longer applies."""
        kept_s = RETENTION_S if self.level is Level.CRASHING else SUSPECT_S
        return now - self.since > kept_s

    def retry_after_s(self, now: float) -> float:
        """Return when the request may next be tried."""
        ends_at = self.since + RETENTION_S
        return max(1.0, min(self.next_probe_at, ends_at) - now)

    def to_verdict(self, now: float) -> Verdict:
        """Return the verdict with its present age."""
        self.verdict.age_s = now - self.since
        return self.verdict


class Quarantine:
    """Suspect and quarantined requests, by key; the latest ones are kept."""

    __slots__ = ("entry_by_key", "_cleared_at_by_key")

    def __init__(self) -> None:
        self.entry_by_key: OrderedDict[str, QuarantineEntry] = OrderedDict()
        self._cleared_at_by_key: OrderedDict[str, float] = OrderedDict()

    def find(self, key: str, now: float) -> QuarantineEntry | None:
        """Return a request's entry, None if it is clear."""
        entry = self.entry_by_key.get(key)
        if entry is not None and entry.is_expired(now):
            del self.entry_by_key[key]
            return None
        return entry

    def apply(self, verdict: Verdict, now: float) -> bool:
        """Apply a verdict; return whether the request's level changed."""
        known = self.find(verdict.key, now)
        if verdict.level == Level.CLEAR:
            self.clear(verdict.key, now)
            return known is not None
        if known is not None:
            known.verdict.crashes = max(known.verdict.crashes, verdict.crashes)
            if verdict.probes > known.verdict.probes:
                self._count_probes(known, verdict.probes, now)
            if verdict.level <= known.level:
                return False
        self._add(verdict, now)
        return True

    def apply_listed(self, verdict: Verdict, now: float) -> bool:
        """Apply a verdict of a list of the store, which may be old."""
        known = self.find(verdict.key, now)
        changed_at = self._cleared_at_by_key.get(verdict.key)
        if known is not None:
            changed_at = known.changed_at
        if changed_at is not None and now - changed_at < STALE_LIST_S:
            return False
        return self.apply(verdict, now)

    def clear(self, key: str, now: float) -> None:
        """Lift a request's entry."""
        self.entry_by_key.pop(key, None)
        self._cleared_at_by_key[key] = now
        self._cleared_at_by_key.move_to_end(key)
        if len(self._cleared_at_by_key) > MAX_ENTRIES:
            self._cleared_at_by_key.popitem(last=False)

    def take_probe(self, entry: QuarantineEntry, now: float) -> bool:
        """Return whether to try the request again now, and count it."""
        if now < entry.next_probe_at:
            return False
        self._count_probes(entry, entry.verdict.probes + 1, now)
        return True

    def _add(self, verdict: Verdict, now: float) -> None:
        entry = QuarantineEntry(verdict, now - verdict.age_s, now, 0.0)
        self._count_probes(entry, verdict.probes, now)
        self.entry_by_key.pop(verdict.key, None)
        self.entry_by_key[verdict.key] = entry
        if len(self.entry_by_key) > MAX_ENTRIES:
            self.entry_by_key.popitem(last=False)

    def _count_probes(
        self, entry: QuarantineEntry, probes: int, now: float
    ) -> None:
        entry.verdict.probes = probes
        if probes < len(PROBE_WAITS_S):
            entry.next_probe_at = now + PROBE_WAITS_S[probes]
        else:
            entry.next_probe_at = float("inf")


class Completions:
    """When leafs last completed requests, by key."""

    __slots__ = ("_completed_at_by_key",)

    def __init__(self) -> None:
        self._completed_at_by_key: OrderedDict[str, float] = OrderedDict()

    def add(self, key: str, now: float) -> None:
        """Record that a leaf completed a request."""
        self._completed_at_by_key[key] = now
        self._completed_at_by_key.move_to_end(key)
        if len(self._completed_at_by_key) > MAX_COMPLETIONS:
            self._completed_at_by_key.popitem(last=False)

    def is_recent(self, key: str, now: float) -> bool:
        """Return whether a leaf completed the request recently."""
        completed_at = self._completed_at_by_key.get(key)
        return completed_at is not None and now - completed_at <= COMPLETION_S
