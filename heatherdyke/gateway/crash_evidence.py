"""Judges from crashes of leafs whether a request causes them (pure).

A request that was in flight at a leaf that crashed need not be the cause: its
connection broke together with those of others.  It is taken for the cause
after several attempts in a row at leafs that crashed.
"""

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum

from heatherdyke.gateway.leaf_crashes import CrashSighting

# Points of an attempt: up to ALONE_POINTS for one whose crashes no other
# cause explains, else one, as other leafs crashed at the same time.
ALONE_POINTS = 2
SUSPECT_POINTS = 2
CRASHING_POINTS = 3
EVIDENCE_S = 600.0
# Bounds of the memory, against callers with many different requests.
MAX_KEYS = 4096
MAX_ATTEMPTS_PER_KEY = 16


class Level(IntEnum):
    """What is believed of a request.

    A SUSPECT one is sent to one leaf at a time, a CRASHING one to none.
    """

    CLEAR = 0
    SUSPECT = 1
    CRASHING = 2


@dataclass(slots=True)
class _Attempt:
    """The leafs that crashed under one attempt."""

    leafs: set[str] = field(default_factory=set)
    alone: bool = True

    @property
    def points(self) -> int:
        """Return how much the attempt says against the request."""
        return min(ALONE_POINTS, len(self.leafs)) if self.alone else 1


@dataclass(slots=True)
class Evidence:
    """The crashes under the attempts of one request, by request id."""

    route: str
    target: str
    last_at: float = 0.0
    attempt_by_id: dict[str, _Attempt] = field(default_factory=dict)

    @property
    def crashes(self) -> int:
        """Return how often a leaf crashed under the request."""
        return sum(len(item.leafs) for item in self.attempt_by_id.values())

    @property
    def level(self) -> Level:
        """Return what the crashes say of the request."""
        points = sum(item.points for item in self.attempt_by_id.values())
        if points >= CRASHING_POINTS and self.crashes >= CRASHING_POINTS:
            return Level.CRASHING
        return Level.SUSPECT if points >= SUSPECT_POINTS else Level.CLEAR

    def add(self, sighting: CrashSighting, now: float) -> None:
        """Add a crash; one that is known changes nothing."""
        self.last_at = now
        attempt = self.attempt_by_id.get(sighting.request_id)
        if attempt is None:
            if len(self.attempt_by_id) >= MAX_ATTEMPTS_PER_KEY:
                return
            attempt = _Attempt()
            self.attempt_by_id[sighting.request_id] = attempt
        attempt.leafs.add(sighting.leaf)
        attempt.alone = attempt.alone and sighting.alone


class CrashEvidence:
    """The evidence against requests, by key; the latest ones are kept."""

    __slots__ = ("_evidence_by_key",)

    def __init__(self) -> None:
        self._evidence_by_key: OrderedDict[str, Evidence] = OrderedDict()

    def __len__(self) -> int:
        return len(self._evidence_by_key)

    def add(self, sighting: CrashSighting, now: float) -> Evidence:
        """Add a crash and return all evidence against the request."""
        by_key = self._evidence_by_key
        evidence = by_key.pop(sighting.key, None)
        if evidence is None or now - evidence.last_at > EVIDENCE_S:
            evidence = Evidence(sighting.route, sighting.target)
        evidence.add(sighting, now)
        by_key[sighting.key] = evidence
        if len(by_key) > MAX_KEYS:
            by_key.popitem(last=False)
        return evidence

    def clear(self, key: str) -> None:
        """Drop the evidence against a request that a leaf has completed."""
        self._evidence_by_key.pop(key, None)
