"""The settings of a gateway process."""

from dataclasses import dataclass
from dataclasses import fields

from heatherdyke.net.address import Address

# The store removes a leaf's entry after this many heartbeats without a report.
EXPIRY_HEARTBEATS = 3
DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits and times that operators set; times in seconds.

    ``retry_share`` and ``retry_slack`` limit the extra sends to a service
    within ``retry_window_s``, ``cold_rate_factor`` and ``cold_rate_slack``
    the requests to a cold leaf per second, both fleet-wide.
    """

    drain_s: float
    shutdown_s: float
    config_s: float
    stable_s: float
    retry_share: float
    retry_window_s: float
    retry_slack: float
    cold_rate_factor: float
    cold_rate_slack: float
    address_reuse_s: float


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The address of the platform's store."""

    address: Address


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The settings of one instance.

    The platform kills a process that uses more than ``memory_bytes``.
    """

    name: str
    zone: str
    ip: str
    client_address: Address
    health_address: Address
    peer_ports: tuple[int, int]
    store: StoreSettings
    region_by_zone: dict[str, str]
    max_descriptors: int
    cores: float
    heartbeat_s: float
    bounds: Bounds
    memory_bytes: int = DEFAULT_MEMORY_BYTES

    @property
    def entry_expiry_s(self) -> float:
        """Return how long the store keeps the entry of a silent leaf."""
        return EXPIRY_HEARTBEATS * self.heartbeat_s

    def changed_fields(self, before: "GatewaySettings") -> list[str]:
        """Return the names of the fields that differ from ``before``."""
        return [
            item.name
            for item in fields(self)
            if getattr(self, item.name) != getattr(before, item.name)
        ]
