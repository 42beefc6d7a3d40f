"""Reads configuration deltas from the platform and from peers."""

from dataclasses import replace
from typing import TypeVar

import msgspec

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.config.model import HEAD_KEY
from heatherdyke.config.model import ZONES_KEY
from heatherdyke.config.model import ConfigHead
from heatherdyke.config.model import SectionPointer
from heatherdyke.config.model import StoredSection
from heatherdyke.config.state import ConfigDelta
from heatherdyke.config.state import ConfigDigest
from heatherdyke.config.state import ConfigState
from heatherdyke.config.state import SectionUpdate
from heatherdyke.config.zone_state import ZonesObject
from heatherdyke.errors import UnreadableObject
from heatherdyke.messages import PlatformObject
from heatherdyke.objects.client import ObjectClient
from heatherdyke.objects.client import convert_value
from heatherdyke.peers.fetcher import PeerFetcher

T = TypeVar("T")

PEER_TIMEOUT_S = 1.0
REMOVED_SECTION = msgspec.Raw(b"null")


async def read_platform(
    platform: ObjectClient, state: ConfigState
) -> ConfigDelta:
    """Return the delta from ``state`` to what the platform has stored.

    Raises PlatformUnavailable, and UnreadableObject if this release cannot
    decode the head or the zones.
    """
    head = await platform.get(HEAD_KEY)
    zones = await platform.get(ZONES_KEY)
    delta = ConfigDelta()
    if head is not None:
        delta = await read_head_delta(platform, state, head)
    if zones is None:
        return delta
    return replace(delta, zones=read_zones(zones))


async def read_head_delta(
    platform: ObjectClient, state: ConfigState, stored: PlatformObject
) -> ConfigDelta:
    """Return the delta from ``state`` to the head object ``stored``.

    The delta has version 0 if a section object could not be found or
    decoded; a lagging read can cause this.  Raises PlatformUnavailable and
    UnreadableObject.
    """
    base_version = state.version
    head = read_head(stored)
    updates = []
    complete = True
    for team, pointer in state.missing(head).items():
        update = await _read_section(platform, team, pointer)
        if update is None:
            complete = False
        else:
            updates.append(update)
    version = head.version if complete else 0
    return ConfigDelta(version, updates, base_version=base_version)


def read_head(stored: PlatformObject) -> ConfigHead:
    """Return the head in the platform object.

    Raises UnreadableObject.
    """
    return _read_value(stored, ConfigHead)


def read_zones(stored: PlatformObject) -> ZonesObject:
    """Return the zones in the platform object.

    Raises UnreadableObject.
    """
    return _read_value(stored, ZonesObject)


async def read_peer(
    fetcher: PeerFetcher, address: str, own_address: str, digest: ConfigDigest
) -> ConfigDelta | None:
    """Return the delta from ``digest`` to the state of a peer.

    Returns None if the peer has nothing newer.  The request contains the
    digest and the own address, so that the peer can fetch what it lacks in
    turn.  Raises TransportError.
    """
    target = (
        f"/peer/config?since={digest.config_version}"
        f"&zones={digest.zones_version}&address={own_address}"
    )
    return await fetcher.fetch_optional(
        address, target, ConfigDelta, PEER_TIMEOUT_S
    )


async def _read_section(
    platform: ObjectClient, team: str, pointer: SectionPointer
) -> SectionUpdate | None:
    if pointer.removed:
        return SectionUpdate(team, pointer, REMOVED_SECTION)
    stored = await platform.get(pointer.object_key)
    if stored is None:
        return None
    try:
        section = decode(encode(stored.value), StoredSection).section
    except msgspec.MsgspecError:
        return None
    return SectionUpdate(team, pointer, section.copy())


def _read_value(stored: PlatformObject, value_type: type[T]) -> T:
    try:
        return convert_value(stored, value_type)
    except msgspec.MsgspecError as error:
        raise UnreadableObject(stored.key, str(error)) from error
