"""Divides the shards of a search among instances (pure).

Partial answers are merged near their leafs: an instance requests the shards
with a leaf in its own zone itself and sends the others to an instance of a
zone that has their leafs, so that merged records cross between zones instead
of partial answers.  A search over many shards is divided into groups.  Each
group goes to one of the instances that rank highest for it, which spreads the
work, reuses their connections and keeps their state of a few leafs current.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

# A search over more shards is divided into groups within each zone.
MAX_UNGROUPED_SHARDS = 40
MAX_GROUP_SHARDS = 12
# Fewer shards are not worth a message to another instance.
MIN_GROUP_SHARDS = 3


@dataclass(frozen=True, slots=True)
class Group:
    """Shards requested from an instance of one zone.

    ``key`` ranks the zone's instances; all requesters compute the same key.
    A ``relayed`` group is requested from an instance of any zone, as this
    instance cannot reach the leafs.
    """

    zone: str
    key: str
    shards: tuple[str, ...]
    relayed: bool = False


@dataclass(frozen=True, slots=True)
class Grouping:
    """Shards that this instance requests from leafs, and groups for peers."""

    own: tuple[str, ...]
    groups: tuple[Group, ...]


def group_shards(
    shards: Sequence[str],
    zones_by_shard: Mapping[str, Collection[str]],
    own_zone: str,
    peer_zones: Collection[str],
    random: Random,
    suspect_zones: Collection[str] = (),
) -> Grouping:
    """Return which shards this instance requests itself and which peers do.

    ``zones_by_shard`` holds the zones with a usable leaf, ``peer_zones`` the
    zones with another usable instance.  The ``suspect_zones`` get a shard
    only if no other zone has a leaf of it.
    """
    other_zones = sorted(set(peer_zones) - {own_zone})
    random.shuffle(other_zones)
    other_zones.sort(key=lambda zone: zone in suspect_zones)
    shards_by_zone: dict[str, list[str]] = {}
    for shard in shards:
        zones = zones_by_shard.get(shard, ())
        zone = _choose_zone(zones, own_zone, other_zones)
        shards_by_zone.setdefault(zone, []).append(shard)
    ungrouped = len(shards) <= MAX_UNGROUPED_SHARDS
    own: list[str] = []
    groups: list[Group] = []
    for zone, members in shards_by_zone.items():
        if zone == own_zone and (ungrouped or own_zone not in peer_zones):
            own += members
        elif len(members) < MIN_GROUP_SHARDS:
            own += members
        elif ungrouped:
            groups.append(Group(zone, members[0], tuple(members)))
        else:
            groups += _split_into_groups(zone, members)
    return Grouping(tuple(own), tuple(groups))


def _choose_zone(
    zones: Collection[str], own_zone: str, other_zones: Sequence[str]
) -> str:
    """Return the own zone if it has a leaf, else the first other one."""
    if own_zone in zones:
        return own_zone
    for zone in other_zones:
        if zone in zones:
            return zone
    return own_zone


def _split_into_groups(zone: str, members: Sequence[str]) -> list[Group]:
    """Divide a zone's shards into groups of about equal size."""
    count = -(-len(members) // MAX_GROUP_SHARDS)
    size = -(-len(members) // count)
    return [
        Group(zone, members[start], tuple(members[start : start + size]))
        for start in range(0, len(members), size)
    ]


def relayed_groups(shards: Sequence[str], own_zone: str) -> list[Group]:
    """Divide shards whose leafs this instance cannot reach into groups."""
    size = len(shards)
    if size > MAX_UNGROUPED_SHARDS:
        size = MAX_GROUP_SHARDS
    return [
        Group(
            own_zone, shards[start], tuple(shards[start : start + size]), True
        )
        for start in range(0, len(shards), max(1, size))
    ]
