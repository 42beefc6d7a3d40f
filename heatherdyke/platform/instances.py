"""Encodes and decodes the objects by which instances find each other."""

import msgspec

from heatherdyke.errors import UnreadableObject
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.peers import PEER_SERVICE
from heatherdyke.net.address import Address
from heatherdyke.platform.json_decoding import decode_json

KIND = "heatherdyke-instances"


class _WireInstance(msgspec.Struct):
    zone: str
    address: str


def encode_instance(zone: str, address: Address) -> dict[str, str]:
    """Return the object that registers this instance in the store."""
    return {"zone": zone, "address": str(address)}


def decode_instance(name: str, spec: msgspec.Raw) -> LeafEntry | None:
    """Return the instance as a peer, None if the object is invalid."""
    try:
        wire = decode_json(spec, _WireInstance, name)
        address = Address.parse_target(wire.address)
    except (UnreadableObject, ValueError):
        return None
    return LeafEntry(name, PEER_SERVICE, address, wire.zone)
