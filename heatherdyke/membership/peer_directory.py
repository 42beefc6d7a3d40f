"""The peers an instance can ask for configuration, and whom to ask next."""

from dataclasses import dataclass
from random import Random

ASK_FAILED_SHARE = 0.2


@dataclass(slots=True)
class _Peer:
    zone: str = ""
    failed: bool = False


class PeerDirectory:
    """Known peers by address; other zones and answering peers go first.

    Heartbeats already tell an instance what its own zone's members hold.
    """

    __slots__ = ("_own_address", "_own_zone", "_peer_by_address", "_random")

    def __init__(self, own_address: str, own_zone: str) -> None:
        self._own_address = own_address
        self._own_zone = own_zone
        self._peer_by_address: dict[str, _Peer] = {}
        self._random = Random(own_address)  # noqa: S311

    def add_peer(self, address: str, zone: str = "") -> None:
        """Add a peer, or its zone if that was not known."""
        if address == self._own_address:
            return
        peer = self._peer_by_address.setdefault(address, _Peer())
        peer.zone = zone or peer.zone

    def record_result(self, address: str, answered: bool) -> None:
        """Remember whether the peer answered when last asked."""
        if address in self._peer_by_address:
            self._peer_by_address[address].failed = not answered

    def remove_failed_except(self, addresses: set[str]) -> None:
        """Drop the peers that failed and stand in no list any more."""
        for address, peer in list(self._peer_by_address.items()):
            if peer.failed and address not in addresses:
                del self._peer_by_address[address]

    def sample(self, count: int) -> list[str]:
        """Return up to ``count`` addresses, drawn at random."""
        addresses = list(self._peer_by_address)
        return self._random.sample(addresses, min(count, len(addresses)))

    def pick(self) -> str | None:
        """Return the address of the peer to ask next, if any is known."""
        peers = self._peer_by_address
        answering = [a for a, peer in peers.items() if not peer.failed]
        if not answering or self._random.random() < ASK_FAILED_SHARE:
            answering = list(peers)
        away = [a for a in answering if peers[a].zone != self._own_zone]
        candidates = away or answering
        return self._random.choice(candidates) if candidates else None
