"""Decodes the registrations of leafs in the platform's object store.

The names of kinds and fields are those of the platform.
"""

from typing import Annotated

import msgspec

from heatherdyke.errors import UnreadableObject
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.net.address import Address
from heatherdyke.platform.json_decoding import Count
from heatherdyke.platform.json_decoding import decode_json

# The platform's names for its kinds of objects: registered leafs, and zones
# that are out of service.
LEAF_KIND = "servers"
ZONE_OUT_KIND = "evacuations"
SECONDS_PER_MS = 1e-3
STATE_READY = "ready"
STATE_DRAINING = "draining"
# Far more than any leaf has; larger numbers are errors of the writer.
MAX_SLOTS = 1_000_000


class _WireEntry(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: str
    # How much longer the leaf will be cold, at the entry's last change.
    cold_remaining_ms: float
    # The number of heartbeats since the leaf's start.
    sequence: Count
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    # Not used, but an entry without it is not the leaf's own.
    version: str
    # The Unix time of the start in ms; it identifies the incarnation.
    born: Count = 0


def decode_leaf(leaf_id: str, spec: msgspec.Raw) -> LeafEntry:
    """Return the leaf's entry.

    Raises UnreadableObject if it is invalid: writers other than the leaf can
    store such entries.
    """
    wire = decode_json(spec, _WireEntry, leaf_id)
    try:
        address = Address.parse_target(wire.address)
    except ValueError as error:
        raise UnreadableObject(leaf_id, str(error)) from error
    if wire.state not in (STATE_READY, STATE_DRAINING):
        raise UnreadableObject(leaf_id, f"no state is called {wire.state!r}")
    return LeafEntry(
        leaf_id=leaf_id,
        service=wire.service,
        address=address,
        zone=wire.zone,
        slots=wire.slots,
        draining=wire.state == STATE_DRAINING,
        cold_s=max(0.0, wire.cold_remaining_ms * SECONDS_PER_MS),
        sequence=wire.sequence,
        born_ms=wire.born,
    )
