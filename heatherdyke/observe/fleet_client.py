"""Reads journals and statistics of all instances that can be reached."""

import asyncio
from collections.abc import Callable
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

TIMEOUT_S = 2.0
MAX_OPEN_CONNECTIONS = 32


@dataclass(frozen=True, slots=True)
class UnreachableInstance:
    """An instance that gave no answer, and why."""

    instance: KnownInstance
    reason: str


@dataclass(frozen=True, slots=True)
class FleetResponses(Generic[T]):
    """What the reachable instances answered, and which were not reachable."""

    page_by_address: dict[str, T] = field(default_factory=dict)
    unreachable: list[UnreachableInstance] = field(default_factory=list)


async def discover_instances(
    instance: str, platform: str
) -> list[KnownInstance]:
    """Return the instances that ``instance`` and ``platform`` know.

    Either address may be empty.  Raises NoInstanceReachable if neither
    names any instance.
    """
    known_by_address: dict[str, KnownInstance] = {}
    failures: list[str] = []
    for address, ask in ((instance, _ask_instance), (platform, _ask_platform)):
        try:
            found = await ask(address) if address else []
        except (HeatherdykeError, DecodeError) as error:
            failures.append(str(error))
            continue
        for known in found:
            known_by_address.setdefault(known.address, known)
    if not known_by_address:
        reasons = "; ".join(failures) or "the platform lists none"
        raise NoInstanceReachable(
            f"no instance could be found: {reasons}",
            "name a running one with --instance or the platform's address "
            "with --platform",
        )
    return sorted(known_by_address.values(), key=lambda known: known.name)


async def fetch_from_instances(
    instances: list[KnownInstance],
    target: Callable[[KnownInstance], str],
    page_type: type[T],
) -> FleetResponses[T]:
    """Get ``target`` from every instance, a bounded number at once."""
    collected: FleetResponses[T] = FleetResponses()
    gate = asyncio.Semaphore(MAX_OPEN_CONNECTIONS)

    async def ask(instance: KnownInstance) -> None:
        try:
            async with gate:
                page = await fetch(
                    instance.address, target(instance), page_type, TIMEOUT_S
                )
        except (TransportError, DecodeError) as error:
            collected.unreachable.append(
                UnreachableInstance(instance, str(error))
            )
        else:
            collected.page_by_address[instance.address] = page

    await asyncio.gather(*(ask(instance) for instance in instances))
    collected.unreachable.sort(key=lambda lost: lost.instance.name)
    return collected


async def _ask_instance(address: str) -> list[KnownInstance]:
    return await fetch(address, "/members", list[KnownInstance], TIMEOUT_S)


async def _ask_platform(address: str) -> list[KnownInstance]:
    return await list_instances(ObjectClient(address, TIMEOUT_S))
