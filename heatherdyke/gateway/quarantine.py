"""The requests that this instance sends with care, or not at all (pure).

A leaf's new version may serve a request that crashed the earlier one.  So a
few instances try a quarantined request again, each once and at its own time:
however little they hear of each other, it reaches few leafs.  All times are
monotonic seconds.
"""

from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from heatherdyke.gateway.crash_evidence import Level

# How long a request is quarantined, if nothing lifts it before.
RETENTION_S = 24 * 3600.0
# A suspect request that does not crash another leaf is forgotten.
SUSPECT_S = 600.0
# When a quarantined request is tried again at one leaf, by the instance of
# the first, second and third rank for it.
PROBE_TIMES_S = (60.0, 600.0, 3600.0)
MAX_ENTRIES = 1024
# Of these, an instance that asks is told the latest ones.
MAX_TOLD = 128
# A request that a leaf has completed this recently does not crash leafs.
COMPLETION_S = 10.0
MAX_COMPLETIONS = 4096
# A list of the store may be this old, so it does not change later decisions.
STALE_LIST_S = 30.0


class Verdict(msgspec.Struct, array_like=True):
    """What an instance has concluded about a request.

    ``age_s`` is the time since then.
    """

    key: str
    level: Level
    crashes: int = 0
    attempts: int = 0
    route: str = ""
    target: str = ""
    decided_by: str = ""
    age_s: float = 0.0


@dataclass(slots=True)
class QuarantineEntry:
    """A request that is suspected or quarantined.

    ``since`` is the time of the verdict and ``changed_at`` that at which this
    instance learned it.
    """

    verdict: Verdict
    since: float
    changed_at: float
    probed: bool = False
    refused: int = 0

    @property
    def level(self) -> Level:
        """Return what is believed of the request."""
        return self.verdict.level

    @property
    def is_quarantined(self) -> bool:
        """Return whether the request is sent to no leaf."""
        return self.level is Level.CRASHING

    def is_expired(self, now: float) -> bool:
        """Return whether the entry no longer applies."""
        kept_s = RETENTION_S if self.is_quarantined else SUSPECT_S
        return now - self.since > kept_s

    def retry_after_s(self, now: float) -> float:
        """Return when the request is next tried, by some instance."""
        age_s = now - self.since
        times_s = (*PROBE_TIMES_S, RETENTION_S)
        return min((x for x in times_s if x > age_s), default=age_s) - age_s

    def take_probe(self, rank: int, now: float) -> bool:
        """Return whether the instance of this rank tries it now, once.

        One that has learned of the request after its time may have tried it
        before it was restarted.
        """
        if self.probed or rank >= len(PROBE_TIMES_S):
            return False
        probe_at = self.since + PROBE_TIMES_S[rank]
        if now < probe_at or self.changed_at >= probe_at:
            return False
        self.probed = True
        return True

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
        if verdict.level is Level.CLEAR:
            self.clear(verdict.key, now)
            return known is not None
        if known is not None:
            known.verdict.crashes = max(known.verdict.crashes, verdict.crashes)
            if verdict.level <= known.level:
                return False
        self._add(verdict, now)
        return True

    def apply_listed(self, verdict: Verdict, now: float) -> bool:
        """Apply a verdict of a list of the store, which may be old.

        It may raise the level at once, but lift only what is not recent.
        """
        known = self.find(verdict.key, now)
        if known is not None and verdict.level > known.level:
            return self.apply(verdict, now)
        changed_at = self._cleared_at_by_key.get(verdict.key)
        if known is not None:
            changed_at = known.changed_at
        if changed_at is not None and now - changed_at < STALE_LIST_S:
            return False
        return self.apply(verdict, now)

    def apply_held(self, verdict: Verdict, now: float) -> bool:
        """Apply a verdict that another instance holds.

        That one may not know yet that the request has been lifted since.
        """
        cleared_at = self._cleared_at_by_key.get(verdict.key)
        if cleared_at is not None and now - verdict.age_s <= cleared_at:
            return False
        return self.apply(verdict, now)

    def latest(self, now: float) -> list[Verdict]:
        """Return the latest verdicts, with their present age."""
        entries = [
            entry
            for entry in self.entry_by_key.values()
            if not entry.is_expired(now)
        ]
        return [entry.to_verdict(now) for entry in entries[-MAX_TOLD:]]

    def clear(self, key: str, now: float) -> None:
        """Lift a request's entry."""
        self.entry_by_key.pop(key, None)
        self._cleared_at_by_key[key] = now
        self._cleared_at_by_key.move_to_end(key)
        if len(self._cleared_at_by_key) > MAX_ENTRIES:
            self._cleared_at_by_key.popitem(last=False)

    def _add(self, verdict: Verdict, now: float) -> None:
        entry = QuarantineEntry(verdict, now - verdict.age_s, now)
        self.entry_by_key.pop(verdict.key, None)
        self.entry_by_key[verdict.key] = entry
        if len(self.entry_by_key) > MAX_ENTRIES:
            self.entry_by_key.popitem(last=False)


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
