"""What an instance's readiness and liveness mean; pure.

Ready: a balancer should send new requests here.  That needs the
configuration in force and the members to be known, the instance not to be
leaving, and its own zone not to be taken out.  A platform outage alone does
not make an instance unready, because it can still serve.

Live: the event loop turns.  An instance that is not live should be
restarted; one that is only unready should not.
"""

from dataclasses import dataclass
from dataclasses import field

LIVE_WITHIN_S = 5.0


@dataclass(frozen=True, slots=True)
class HealthState:
    """What an instance knows about itself."""

    config_known: bool
    members_known: bool
    leaving: bool
    zone_out: bool


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether to send new requests; ``reasons`` says why not."""

    ready: bool
    reasons: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Liveness:
    """Whether the loop turns; ``turned_s_ago`` is its last turn's age."""

    live: bool
    turned_s_ago: float


def check_readiness(state: HealthState) -> Readiness:
    """Return whether the instance should get new requests."""
    reasons = []
    if not state.config_known:
        reasons.append("no configuration in force is known")
    if not state.members_known:
        reasons.append("the members of the zone are not known")
    if state.leaving:
        reasons.append("the instance is leaving")
    if state.zone_out:
        reasons.append("the availability zone is taken out")
    return Readiness(not reasons, reasons)


def check_liveness(last_turn: float, now: float) -> Liveness:
    """Return whether the loop turned within LIVE_WITHIN_S of ``now``."""
    age_s = max(0.0, now - last_turn)
    return Liveness(age_s <= LIVE_WITHIN_S, age_s)
