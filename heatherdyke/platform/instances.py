"""The objects by which instances of this system know one another."""

import msgspec

from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.peers import PEER_SERVICE
from heatherdyke.net.address import Address

KIND = "heatherdyke-instances"


class _Instance(msgspec.Struct):
    zone: str
    address: str


def encode_instance(zone: str, address: Address) -> dict[str, str]:
    """Return the object by which others find this instance."""
    return {"zone": zone, "address": str(address)}


def decode_instance(name: str, spec: msgspec.Raw) -> LeafEntry | None:
    """Return the instance as a peer, None if it cannot be read."""
    try:
        wire = msgspec.json.decode(spec, type=_Instance)
        address = Address.parse(wire.address)
    except (msgspec.MsgspecError, ValueError):
        return None
    return LeafEntry(name, PEER_SERVICE, address, wire.zone)
