"""The discovery entry of one leaf."""

from dataclasses import dataclass

from heatherdyke.net.address import Address


@dataclass(frozen=True, slots=True)
class LeafEntry:
    """One leaf as it registered itself.

    ``cold_s`` is how long it stays cold after the report, ``sequence`` the
    number of its heartbeat and ``born_ms`` the start time that identifies its
    incarnation.
    """

    leaf_id: str
    service: str
    address: Address
    zone: str
    slots: int = 1
    draining: bool = False
    cold_s: float = 0.0
    sequence: int = 0
    born_ms: int = 0
