"""Asks each instance what it has in force."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from time import monotonic

from heatherdyke.config.api import ConfigStatus
from heatherdyke.errors import NotInForce
from heatherdyke.errors import TransportError
from heatherdyke.net.http_fetch import fetch
from heatherdyke.observe.component import KnownInstance

ASK_TIMEOUT_S = 1.0
ASK_AGAIN_S = 0.05


class RolloutProgress(Enum):
    """How far an instance is with an accepted change."""

    ACTIVE = "in_force"
    BEHIND = "behind"
    UNREADABLE = "unreadable"
    NOT_REACHED = "not_reached"


@dataclass(frozen=True, slots=True)
class InstanceProgress:
    """What one instance answered; ``version`` is what it has in force."""

    instance: str
    zone: str
    address: str
    progress: RolloutProgress
    version: int = 0


ProgressCheck = Callable[[ConfigStatus], tuple[RolloutProgress, int]]


def section_progress_check(team: str, version: int) -> ProgressCheck:
    """Return a judge of a team's section at ``version`` or later."""

    def progress_check(status: ConfigStatus) -> tuple[RolloutProgress, int]:
        if status.config_version < version:
            return RolloutProgress.BEHIND, status.config_version
        faulty = [u.team for u in status.unreadable]
        if team in faulty:
            return RolloutProgress.UNREADABLE, status.config_version
        return RolloutProgress.ACTIVE, status.config_version

    return progress_check


def zones_progress_check(version: int) -> ProgressCheck:
    """Return a judge of the zones at ``version`` or later."""

    def progress_check(status: ConfigStatus) -> tuple[RolloutProgress, int]:
        if status.zones_version < version:
            return RolloutProgress.BEHIND, status.zones_version
        return RolloutProgress.ACTIVE, status.zones_version

    return progress_check


async def fetch_status(address: str) -> ConfigStatus:
    """Return what the instance has in force; raises TransportError."""
    return await fetch(address, "/config/status", ConfigStatus, ASK_TIMEOUT_S)


async def fetch_progress(
    instances: list[KnownInstance], progress_check: ProgressCheck
) -> list[InstanceProgress]:
    """Return the progress of each instance, asked at the same time."""
    return await asyncio.gather(*(_ask(i, progress_check) for i in instances))


async def wait_until_active(
    instances: list[KnownInstance],
    progress_check: ProgressCheck,
    timeout_s: float,
) -> list[InstanceProgress]:
    """Ask until each has the change in force or ``timeout_s`` is over."""
    deadline = monotonic() + timeout_s
    while True:
        progress = await fetch_progress(instances, progress_check)
        if all(p.progress is RolloutProgress.ACTIVE for p in progress):
            return progress
        if monotonic() >= deadline:
            return progress
        await asyncio.sleep(ASK_AGAIN_S)


def require_active(progress: list[InstanceProgress]) -> None:
    """Raise NotInForce naming the instances that lack the change."""
    if not progress:
        raise NotInForce(
            "the platform lists no instance", "start one, or ask again later"
        )
    lacking = [p for p in progress if p.progress is not RolloutProgress.ACTIVE]
    if lacking:
        names = ", ".join(
            f"{p.instance} ({p.progress.value})" for p in lacking
        )
        raise NotInForce(
            f"not in force on {names}",
            "the change is accepted; ask again with a status command",
        )


async def _ask(
    instance: KnownInstance, progress_check: ProgressCheck
) -> InstanceProgress:
    try:
        progress, version = progress_check(
            await fetch_status(instance.address)
        )
    except TransportError:
        progress, version = RolloutProgress.NOT_REACHED, 0
    return InstanceProgress(
        instance.name, instance.zone, instance.address, progress, version
    )
