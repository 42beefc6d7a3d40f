"""Mechanisms that tests and comparisons can disable."""

from enum import Enum


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
