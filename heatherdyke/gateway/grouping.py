"""Which instance asks for which shards of a search (pure).

Parts are merged near their leafs: an instance asks for the shards that have
a leaf in its own zone, and an instance of another zone for the others, so
that merged records cross between zones in place of parts.  A search over
many shards is cut into groups, each asked for by the instances that rank
first for it, which spreads the work, keeps their connections in use and
gives them fresh knowledge of few leafs.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

# A search over more shards than this is cut into groups.
MOST_SHARDS_ALONE = 40
GROUP_SHARDS = 12
# A single shard is not worth a message to another instance.
LEAST_SHARDS = 3


@dataclass(frozen=True, slots=True)
class Group:
    """Shards to ask for in one zone; ``key`` is the same for all askers."""

    zone: str
    key: str
    shards: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Grouping:
    """Shards that this instance asks for itself, and groups for others."""

    own: tuple[str, ...]
    groups: tuple[Group, ...]


def group_shards(
    shards: Sequence[str],
    zones_by_shard: Mapping[str, Collection[str]],
    own_zone: str,
    peer_zones: Collection[str],
    random: Random,
) -> Grouping:
    """Return who asks for which shard.

    ``zones_by_shard`` holds the zones with a leaf that can be used,
    ``peer_zones`` those with other instances that can.
    """
    other_zones = sorted(set(peer_zones) - {own_zone})
    random.shuffle(other_zones)
    shards_by_zone: dict[str, list[str]] = {}
    for shard in shards:
        zones = zones_by_shard.get(shard, ())
        zone = _zone_for(zones, own_zone, other_zones)
        shards_by_zone.setdefault(zone, []).append(shard)
    alone = len(shards) <= MOST_SHARDS_ALONE
    own: list[str] = []
    groups: list[Group] = []
    for zone, members in shards_by_zone.items():
        if zone == own_zone and (alone or own_zone not in peer_zones):
            own += members
        elif len(members) < LEAST_SHARDS:
            own += members
        elif alone:
            groups.append(Group(zone, members[0], tuple(members)))
        else:
            groups += _cut(zone, members)
    return Grouping(tuple(own), tuple(groups))


def _zone_for(
    zones: Collection[str], own_zone: str, other_zones: Sequence[str]
) -> str:
    """Return the own zone if it has a leaf, else the first that has."""
    if own_zone in zones:
        return own_zone
    for zone in other_zones:
        if zone in zones:
            return zone
    return own_zone


def _cut(zone: str, members: Sequence[str]) -> list[Group]:
    """Cut a zone's shards into groups of even size."""
    count = -(-len(members) // GROUP_SHARDS)
    size = -(-len(members) // count)
    return [
        Group(zone, members[start], tuple(members[start : start + size]))
        for start in range(0, len(members), size)
    ]
