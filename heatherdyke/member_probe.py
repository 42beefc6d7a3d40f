"""Questions over HTTP to one instance: is it there, what rosters has it."""

from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from heatherdyke.codec import decode
from heatherdyke.errors import ConnectionRefused
from heatherdyke.errors import TransportError
from heatherdyke.http_connection import HttpConnection
from heatherdyke.member_messages import GoneProof
from heatherdyke.member_messages import Member
from heatherdyke.member_messages import VersionedRoster

STATUS_OK = 200
FETCH_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """What a probe found: the member alive, proven gone, or neither."""

    alive: bool = False
    proof: GoneProof | None = None
    detail: str = ""


async def probe(member: Member, timeout_s: float) -> ProbeAnswer:
    """Ask the member's address which incarnation listens there.

    A refused connection proves the member gone, because an instance listens
    before it joins a roster and until its work at leaves has ended.  So does
    the answer of another incarnation, asked now.  No answer proves nothing.
    """
    try:
        body = await _get(member.address, "/peer/member", timeout_s)
        present = decode(body, Member)
    except ConnectionRefused:
        return ProbeAnswer(
            proof=GoneProof(member.incarnation), detail="refused"
        )
    except (TransportError, msgspec.DecodeError):
        return ProbeAnswer(detail="no answer")
    if present.incarnation != member.incarnation:
        return ProbeAnswer(
            proof=GoneProof(member.incarnation), detail="other incarnation"
        )
    return ProbeAnswer(alive=True)


async def fetch_roster(address: str, zone: str) -> VersionedRoster | None:
    """Return the roster that the peer holds of ``zone``, if it answers."""
    try:
        body = await _get(
            address, f"/peer/roster?zone={quote(zone, '')}", FETCH_TIMEOUT_S
        )
        return decode(body, VersionedRoster)
    except (TransportError, msgspec.DecodeError):
        return None


async def _get(address: str, target: str, timeout_s: float) -> bytes:
    connection = await HttpConnection.open(address, timeout_s)
    try:
        response = await connection.request("GET", target, b"", timeout_s)
    finally:
        connection.close()
    if response.status != STATUS_OK:
        raise TransportError(
            f"{address} answered {response.status} to {target}", sent=True
        )
    return response.body
