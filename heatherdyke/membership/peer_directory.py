"""The peers from which an instance can fetch the configuration."""

from dataclasses import dataclass
from random import Random

FAILED_PEER_RETRY_SHARE = 0.2


@dataclass(slots=True)
class _Peer:
    zone: str = ""
    failed: bool = False


class PeerDirectory:
    """Known peers by address, preferring responsive ones of other zones.

    Peers of the own zone come last, because their heartbeats already carry
    the configuration versions that they have.
    """

    __slots__ = ("_own_address", "_own_zone", "_peer_by_address", "_random")

    def __init__(self, own_address: str, own_zone: str) -> None:
        self._own_address = own_address
        self._own_zone = own_zone
        self._peer_by_address: dict[str, _Peer] = {}
        self._random = Random(own_address)  # noqa: S311

    def add_peer(self, address: str, zone: str = "") -> None:
        """Add a peer, or set its zone if that was not known."""
        if address == self._own_address:
            return
        peer = self._peer_by_address.setdefault(address, _Peer())
        peer.zone = zone or peer.zone

    def record_result(self, address: str, answered: bool) -> None:
        """Record whether the peer responded to the last request."""
        if address in self._peer_by_address:
            self._peer_by_address[address].failed = not answered

    def remove_failed_except(self, addresses: set[str]) -> None:
        """Remove the peers that failed and are not in ``addresses``."""
        for address, peer in list(self._peer_by_address.items()):
            if peer.failed and address not in addresses:
                del self._peer_by_address[address]

    def sample(self, count: int) -> list[str]:
        """Return a random sample of up to ``count`` addresses."""
        addresses = list(self._peer_by_address)
        return self._random.sample(addresses, min(count, len(addresses)))

    def pick(self) -> str | None:
        """Return the address for the next request, if any is known."""
        peers = self._peer_by_address
        eligible = [a for a, peer in peers.items() if not peer.failed]
        if not eligible or self._random.random() < FAILED_PEER_RETRY_SHARE:
            eligible = list(peers)
        other_zones = [a for a in eligible if peers[a].zone != self._own_zone]
        candidates = other_zones or eligible
        return self._random.choice(candidates) if candidates else None
