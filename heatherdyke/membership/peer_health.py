"""Passive health checks of the other instances, without I/O.

A home instance that timed out twice in a row or could not be reached is
avoided for a while.  After that, one search finds out whether it responds
again.
"""

from dataclasses import dataclass

TIMEOUTS_TO_SUSPECT = 2
SUSPECT_S = 1.0


@dataclass(slots=True)
class _Peer:
    timeouts: int = 0
    suspect_until: float = 0.0


class PeerHealth:
    """Which other instances respond to this one, by address.

    Times are monotonic seconds.  An address of None is this instance, which
    is never suspect.
    """

    __slots__ = ("_peer_by_address",)

    def __init__(self) -> None:
        self._peer_by_address: dict[str, _Peer] = {}

    def is_suspect(self, address: str | None, now: float) -> bool:
        """Tell whether to avoid the instance at present."""
        peer = self._peer_by_address.get(address)
        return peer is not None and now < peer.suspect_until

    def record_success(self, address: str | None) -> None:
        """Record that the instance responded to a search."""
        self._peer_by_address.pop(address, None)

    def record_timeout(self, address: str | None, now: float) -> None:
        """Record that the instance sent no response line in time."""
        if address is None:
            return
        peer = self._peer_by_address.setdefault(address, _Peer())
        peer.timeouts += 1
        if peer.timeouts >= TIMEOUTS_TO_SUSPECT:
            peer.suspect_until = now + SUSPECT_S

    def record_failure(self, address: str | None, now: float) -> None:
        """Record that the connection failed or broke."""
        if address is None:
            return
        peer = self._peer_by_address.setdefault(address, _Peer())
        peer.timeouts = TIMEOUTS_TO_SUSPECT
        peer.suspect_until = now + SUSPECT_S
