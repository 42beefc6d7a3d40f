"""The mechanisms that can be switched off for proofs and comparisons."""

from enum import Enum


class Mechanism(Enum):
    """A guard or decision that ``--disable`` takes out of an instance.

    An instance in service runs with all of them.
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
