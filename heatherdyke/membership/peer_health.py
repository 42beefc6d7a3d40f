"""Which homes do not answer at present (pure).

A home that was silent twice in a row, or could not be reached, is avoided
for a while; after that one search finds out whether it answers again.
"""

from dataclasses import dataclass

SILENCES_TO_SUSPECT = 2
SUSPECT_S = 1.0


@dataclass(slots=True)
class _Peer:
    silences: int = 0
    suspect_until: float = 0.0


class PeerHealth:
    """What one instance saw of the others' answers, by address.

    Times are monotonic seconds.
    """

    __slots__ = ("_peer_by_address",)

    def __init__(self) -> None:
        self._peer_by_address: dict[str, _Peer] = {}

    def is_suspect(self, address: str | None, now: float) -> bool:
        """Tell whether to avoid the home; None is this instance."""
        peer = self._peer_by_address.get(address)
        return peer is not None and now < peer.suspect_until

    def record_success(self, address: str | None) -> None:
        """Note that the home answered a search."""
        self._peer_by_address.pop(address, None)

    def record_timeout(self, address: str | None, now: float) -> None:
        """Note that the home brought no line when it was due."""
        if address is None:
            return
        peer = self._peer_by_address.setdefault(address, _Peer())
        peer.silences += 1
        if peer.silences >= SILENCES_TO_SUSPECT:
            peer.suspect_until = now + SUSPECT_S

    def record_failure(self, address: str | None, now: float) -> None:
        """Note that the home could not be reached or broke off."""
        if address is None:
            return
        peer = self._peer_by_address.setdefault(address, _Peer())
        peer.silences = SILENCES_TO_SUSPECT
        peer.suspect_until = now + SUSPECT_S
