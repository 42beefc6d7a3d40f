"""Encodes and decodes the objects that keep quarantined requests."""

import msgspec

from heatherdyke.errors import UnreadableObject
from heatherdyke.gateway.crash_evidence import Level
from heatherdyke.gateway.quarantine import Verdict
from heatherdyke.platform.json_decoding import Count
from heatherdyke.platform.json_decoding import decode_json

KIND = "heatherdyke-quarantines"
MS_PER_S = 1000.0


class _WireQuarantine(msgspec.Struct, rename="kebab"):
    # Unix time of the verdict.
    since_ms: Count
    # Set by an operator, or once a leaf has completed the request.
    lifted: bool = False
    crashes: Count = 0
    attempts: Count = 0
    route: str = ""
    target: str = ""
    decided_by: str = ""


def encode_quarantine(verdict: Verdict, wall_s: float) -> _WireQuarantine:
    """Return the object for a verdict; ``wall_s`` is the Unix time now."""
    return _WireQuarantine(
        since_ms=int((wall_s - verdict.age_s) * MS_PER_S),
        lifted=verdict.level is Level.CLEAR,
        crashes=verdict.crashes,
        attempts=verdict.attempts,
        route=verdict.route,
        target=verdict.target,
        decided_by=verdict.decided_by,
    )


def decode_quarantine(
    name: str, spec: msgspec.Raw, wall_s: float
) -> Verdict | None:
    """Return the verdict, CLEAR if lifted; None if the object is invalid."""
    try:
        wire = decode_json(spec, _WireQuarantine, name)
    except UnreadableObject:
        return None
    return Verdict(
        key=name,
        level=Level.CLEAR if wire.lifted else Level.CRASHING,
        crashes=wire.crashes,
        attempts=wire.attempts,
        route=wire.route,
        target=wire.target,
        decided_by=wire.decided_by,
        age_s=max(0.0, wall_s - wire.since_ms / MS_PER_S),
    )
