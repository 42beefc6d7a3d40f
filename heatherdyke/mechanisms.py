"""Mechanisms that tests and comparisons can disable."""

from enum import Enum
from typing import TypeVar

_KindT = TypeVar("_KindT", bound=Enum)


class Mechanism(Enum):
    """A safeguard or routing policy that ``--disable`` switches off.

    Production instances run with all of them enabled.
    """

    HOME_ROUTING = "home-routing"
    REPLICA_CHOICE = "replica-choice"
    HEDGING = "hedging"
    EXTRA_LOAD_BUDGET = "extra-load-budget"
    COLD_RAMP = "cold-ramp"
    HOME_LEASE = "home-lease"
    SNAPSHOT_PIN = "snapshot-pin"
    COVERAGE_CHECK = "coverage-check"
    PART_MATCH = "part-match"
    RUN_ONCE = "run-once"
    TRUTHFUL_REFUSAL = "truthful-refusal"
    ZONE_OUT = "zone-out"
    LEAF_DRAIN = "leaf-drain"
    GRACEFUL_SHUTDOWN = "graceful-shutdown"
    CONFIG_MONOTONE = "config-monotone"
    URGENCY = "urgency"
    ADMISSION = "admission"
    SPENDING = "spending"
    SILENCE_TIMEOUT = "silence-timeout"


def parse_mechanisms(
    kind: type[_KindT], option: str, text: str, faults: list[str]
) -> frozenset[_KindT]:
    """Parse comma-separated names of mechanisms.

    Unknown names are added to ``faults`` with the known ones; ``option`` is
    the flag or variable that holds them.
    """
    mechanisms = set()
    for name in filter(None, text.split(",")):
        try:
            mechanisms.add(kind(name))
        except ValueError:
            known = ", ".join(mechanism.value for mechanism in kind)
            faults.append(f"{option} {name!r} is unknown: use one of {known}")
    return frozenset(mechanisms)
