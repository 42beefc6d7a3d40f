"""Reads configuration from the platform and from peers."""

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
from heatherdyke.peers.fetch import PeerFetcher

T = TypeVar("T")

PEER_TIMEOUT_S = 1.0
REMOVED_SECTION = msgspec.Raw(b"null")


async def read_platform(
    platform: ObjectClient, state: ConfigState
) -> ConfigDelta:
    """Return what the platform holds and ``state`` lacks.

    Raises PlatformUnavailable, and UnreadableObject if the head or the
    zones have another form than this release knows.
    """
    head = await platform.get(HEAD_KEY)
    zones = await platform.get(ZONES_KEY)
    delta = ConfigDelta()
    if head is not None:
        delta = await complete_head(platform, state, head)
    if zones is None:
        return delta
    return replace(delta, zones=read_zones(zones))


async def complete_head(
    platform: ObjectClient, state: ConfigState, stored: PlatformObject
) -> ConfigDelta:
    """Return the delta to ``stored``, the head object, from ``state``.

    The delta has version 0 if a section object could not be found, which a
    lagging read can cause.  Raises PlatformUnavailable.
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
    """Return the head that the platform object holds.

    Raises UnreadableObject.
    """
    return _read_value(stored, ConfigHead)


def read_zones(stored: PlatformObject) -> ZonesObject:
    """Return the zones that the platform object holds.

    Raises UnreadableObject.
    """
    return _read_value(stored, ZonesObject)


async def read_peer(
    fetcher: PeerFetcher, address: str, own_address: str, digest: ConfigDigest
) -> ConfigDelta | None:
    """Return what the peer at ``address`` has and ``digest`` lacks.

    Returns None if the peer has nothing newer.  The peer learns the digest
    and asks back if it lacks something.  Raises TransportError.
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
