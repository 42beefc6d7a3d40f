"""Decodes the leafs' entries and the zones that operators took out."""

import msgspec

from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.net.address import Address

LEAF_KIND = "servers"
ZONE_OUT_KIND = "evacuations"
MS = 1e-3
READY = "ready"
DRAINING = "draining"


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: str
    # How much longer the leaf is cold, as of the entry's last change.
    cold_remaining_ms: float
    # Counts the leaf's heartbeats, from its start.
    sequence: int
    slots: int = 1
    # The Unix millisecond of the start: tells incarnations apart.
    born: int = 0


def decode_leaf(leaf_id: str, spec: msgspec.Raw) -> LeafEntry | None:
    """Return the entry, or None if another writer made it unreadable."""
    try:
        wire = msgspec.json.decode(spec, type=_Entry)
        address = Address.parse(wire.address)
    except (msgspec.MsgspecError, ValueError):
        return None
    if wire.state not in (READY, DRAINING) or wire.slots < 1:
        return None
    return LeafEntry(
        leaf_id=leaf_id,
        service=wire.service,
        address=address,
        zone=wire.zone,
        slots=wire.slots,
        draining=wire.state == DRAINING,
        cold_s=max(0.0, wire.cold_remaining_ms * MS),
        sequence=wire.sequence,
        born_ms=wire.born,
    )
