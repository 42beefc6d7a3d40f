"""Mechanisms of the gateway that comparisons can disable."""

from enum import Enum

from heatherdyke.errors import SettingsError
from heatherdyke.mechanisms import parse_mechanisms

DISABLE_VARIABLE = "HEATHERDYKE_DISABLE"


class Mechanism(Enum):
    """A safeguard or a policy that ``HEATHERDYKE_DISABLE`` switches off.

    Production instances run with all of them enabled.
    """

    # A second leaf is queried when the first has not responded in time.
    HEDGING = "hedging"
    # A second leaf is queried when the first fails or rejects the request.
    RETRIES = "retries"
    # Shards without a leaf in the own zone are queried by other instances.
    GROUPS = "groups"
    # The choice of a leaf considers each of these properties.
    SLOW_LEAFS = "slow-leafs"
    STALLED_LEAFS = "stalled-leafs"
    FAILING_LEAFS = "failing-leafs"
    NEAR_LEAFS = "near-leafs"
    # A leaf that stays silent gets no requests until a health check.
    SILENCE_CHECK = "silence-check"
    # Attempts continue for a while after the answer to their request.
    LINGERING = "lingering"
    # An instance that is cut off from other zones reports not ready.
    ISOLATION = "isolation"
    # Zones that do not respond are probed and avoided, and searches that need
    # one are refused before any send.
    UNREACHABLE_ZONES = "unreachable-zones"
    # A leaf that responds is kept for a while without a discovery entry.
    LIVE_LEAFS = "live-leafs"
    # Other instances query leafs that this one cannot reach.
    RELAYS = "relays"
    # Requests that crash leafs are sent to no further leafs.
    QUARANTINE = "quarantine"
    # Leafs are kept for a while when the store lost entries in an outage.
    OUTAGE_GRACE = "outage-grace"
    # A resharded configuration waits for its shards' leafs to become warm.
    CONFIG_HOLD = "config-hold"


def parse_disabled(text: str) -> frozenset[Mechanism]:
    """Parse comma-separated names; raises SettingsError for unknown ones."""
    faults: list[str] = []
    mechanisms = parse_mechanisms(Mechanism, DISABLE_VARIABLE, text, faults)
    if faults:
        raise SettingsError(faults)
    return mechanisms
