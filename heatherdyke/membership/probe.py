"""HTTP requests to one instance: liveness probe and roster fetch."""

from dataclasses import dataclass
from urllib.parse import quote

from heatherdyke.errors import ConnectionRefused
from heatherdyke.errors import TransportError
from heatherdyke.membership.messages import GoneProof
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import VersionedRoster
from heatherdyke.peers.fetcher import PeerFetcher

FETCH_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a probe: alive, proven gone, or undecided."""

    alive: bool = False
    proof: GoneProof | None = None
    detail: str = ""


async def probe(
    fetcher: PeerFetcher, member: Member, timeout_s: float
) -> ProbeResult:
    """Request the incarnation that listens at the member's address.

    A refused connection proves that the member is gone, because an instance
    listens before it joins a roster and until its work at leaves has ended.
    A response of another incarnation to this request proves it as well.  A
    missing response proves nothing.
    """
    try:
        present = await fetcher.fetch(
            member.address, "/peer/member", Member, timeout_s
        )
    except ConnectionRefused:
        return ProbeResult(
            proof=GoneProof(member.incarnation), detail="refused"
        )
    except TransportError:
        return ProbeResult(detail="no answer")
    if present.incarnation != member.incarnation:
        return ProbeResult(
            proof=GoneProof(member.incarnation), detail="other incarnation"
        )
    return ProbeResult(alive=True)


async def fetch_roster(
    fetcher: PeerFetcher, address: str, zone: str
) -> VersionedRoster | None:
    """Return the peer's roster of ``zone``, or None if the fetch fails."""
    target = f"/peer/roster?zone={quote(zone, '')}"
    try:
        return await fetcher.fetch(
            address, target, VersionedRoster, FETCH_TIMEOUT_S
        )
    except TransportError:
        return None
