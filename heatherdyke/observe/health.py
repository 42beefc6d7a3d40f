"""Readiness and liveness of an instance; pure.

Ready: load balancers should send new requests to the instance.  It has an
active configuration, knows its zone's members, is not shutting down, and its
zone is not taken out of service.  A platform outage alone does not make an
instance unready, because it can still serve.

Live: the event loop runs.  An instance that is not live should be restarted;
one that is only unready should not.
"""

from dataclasses import dataclass
from dataclasses import field

LIVENESS_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class HealthState:
    """The conditions that readiness depends on."""

    config_known: bool
    members_known: bool
    leaving: bool
    zone_out: bool


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether to send new requests; if not, ``reasons`` lists why."""

    ready: bool
    reasons: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Liveness:
    """Whether the event loop runs; it last ran ``turned_s_ago``."""

    live: bool
    turned_s_ago: float


def check_readiness(state: HealthState) -> Readiness:
    """Return whether the instance should receive new requests."""
    reasons = []
    if not state.config_known:
        reasons.append("no configuration is active")
    if not state.members_known:
        reasons.append("the members of the zone are not known")
    if state.leaving:
        reasons.append("the instance is shutting down")
    if state.zone_out:
        reasons.append("the availability zone is out of service")
    return Readiness(not reasons, reasons)


def check_liveness(last_run_at: float, now: float) -> Liveness:
    """Return whether the loop ran within the last LIVENESS_TIMEOUT_S."""
    age_s = max(0.0, now - last_run_at)
    return Liveness(age_s <= LIVENESS_TIMEOUT_S, age_s)
