"""Discovers the instances of the fleet and sends each the same request."""

import asyncio
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass
from dataclasses import field
from typing import Generic
from typing import TypeVar

from msgspec import DecodeError

from heatherdyke.errors import HeatherdykeError
from heatherdyke.errors import NoInstanceReachable
from heatherdyke.errors import TransportError
from heatherdyke.membership.instance_listing import list_instances
from heatherdyke.net.http_fetch import fetch
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.http_api import KnownInstance

T = TypeVar("T")

REQUEST_TIMEOUT_S = 2.0
MAX_CONCURRENT_REQUESTS = 32


@dataclass(frozen=True, slots=True)
class UnreachableInstance:
    """An instance that could not be queried, with the reason."""

    instance: KnownInstance
    reason: str


@dataclass(frozen=True, slots=True)
class FleetResponses(Generic[T]):
    """The response of each reachable instance, and the unreachable ones."""

    page_by_address: dict[str, T] = field(default_factory=dict)
    unreachable: list[UnreachableInstance] = field(default_factory=list)


async def discover_instances(
    instance: str, platform: str
) -> list[KnownInstance]:
    """Return the instances listed by ``instance`` and by ``platform``.

    Either address may be empty.  Raises NoInstanceReachable if no instance
    is listed.
    """
    known_by_address: dict[str, KnownInstance] = {}
    failures: list[str] = []
    for address, list_from in (
        (instance, _list_from_instance),
        (platform, _list_from_platform),
    ):
        try:
            found = await list_from(address) if address else []
        except (HeatherdykeError, DecodeError) as error:
            failures.append(str(error))
            continue
        for known in found:
            known_by_address.setdefault(known.address, known)
    if not known_by_address:
        reasons = "; ".join(failures) or "the platform lists no instance"
        raise NoInstanceReachable(
            f"no instance was found: {reasons}",
            "give the address of a running instance with --instance or of "
            "the platform with --platform",
        )
    return sorted(known_by_address.values(), key=lambda known: known.name)


async def fetch_from_instances(
    instances: list[KnownInstance],
    target: Callable[[KnownInstance], str],
    page_type: type[T],
) -> FleetResponses[T]:
    """Request ``target`` from every instance with bounded concurrency."""
    responses: FleetResponses[T] = FleetResponses()
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def fetch_page(instance: KnownInstance) -> None:
        try:
            async with semaphore:
                page = await fetch(
                    instance.address,
                    target(instance),
                    page_type,
                    REQUEST_TIMEOUT_S,
                )
        except (TransportError, DecodeError) as error:
            responses.unreachable.append(
                UnreachableInstance(instance, str(error))
            )
        else:
            responses.page_by_address[instance.address] = page

    await asyncio.gather(*(fetch_page(instance) for instance in instances))
    responses.unreachable.sort(key=lambda missing: missing.instance.name)
    return responses


async def _list_from_instance(address: str) -> list[KnownInstance]:
    return await fetch(
        address, "/members", list[KnownInstance], REQUEST_TIMEOUT_S
    )


async def _list_from_platform(address: str) -> list[KnownInstance]:
    with closing(ObjectClient(address, REQUEST_TIMEOUT_S)) as client:
        return await list_instances(client)
