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
from heatherdyke.observe.http_api import KnownInstance

ASK_TIMEOUT_S = 1.0
ASK_AGAIN_S = 0.05


class Progress(Enum):
    """How far an instance is with an accepted change."""

    IN_FORCE = "in_force"
    BEHIND = "behind"
    UNREADABLE = "unreadable"
    NOT_REACHED = "not_reached"


@dataclass(frozen=True, slots=True)
class InstanceProgress:
    """What one instance answered; ``version`` is what it has in force."""

    instance: str
    zone: str
    address: str
    progress: Progress
    version: int = 0


Judge = Callable[[ConfigStatus], tuple[Progress, int]]


def judge_section(team: str, version: int) -> Judge:
    """Return a judge of a team's section at ``version`` or later."""

    def judge(status: ConfigStatus) -> tuple[Progress, int]:
        if status.config_version < version:
            return Progress.BEHIND, status.config_version
        faulty = [u.team for u in status.unreadable]
        if team in faulty:
            return Progress.UNREADABLE, status.config_version
        return Progress.IN_FORCE, status.config_version

    return judge


def judge_zones(version: int) -> Judge:
    """Return a judge of the zones at ``version`` or later."""

    def judge(status: ConfigStatus) -> tuple[Progress, int]:
        if status.zones_version < version:
            return Progress.BEHIND, status.zones_version
        return Progress.IN_FORCE, status.zones_version

    return judge


async def ask_status(address: str) -> ConfigStatus:
    """Return what the instance has in force; raises TransportError."""
    return await fetch(address, "/config/status", ConfigStatus, ASK_TIMEOUT_S)


async def ask_instances(
    instances: list[KnownInstance], judge: Judge
) -> list[InstanceProgress]:
    """Return the progress of each instance, asked at the same time."""
    return await asyncio.gather(*(_ask(i, judge) for i in instances))


async def wait_in_force(
    instances: list[KnownInstance], judge: Judge, timeout_s: float
) -> list[InstanceProgress]:
    """Ask until each has the change in force or ``timeout_s`` is over."""
    deadline = monotonic() + timeout_s
    while True:
        progress = await ask_instances(instances, judge)
        if all(p.progress is Progress.IN_FORCE for p in progress):
            return progress
        if monotonic() >= deadline:
            return progress
        await asyncio.sleep(ASK_AGAIN_S)


def require_in_force(progress: list[InstanceProgress]) -> None:
    """Raise NotInForce naming the instances that lack the change."""
    if not progress:
        raise NotInForce(
            "the platform lists no instance", "start one, or ask again later"
        )
    lacking = [p for p in progress if p.progress is not Progress.IN_FORCE]
    if lacking:
        names = ", ".join(
            f"{p.instance} ({p.progress.value})" for p in lacking
        )
        raise NotInForce(
            f"not in force on {names}",
            "the change is accepted; ask again with a status command",
        )


async def _ask(instance: KnownInstance, judge: Judge) -> InstanceProgress:
    try:
        progress, version = judge(await ask_status(instance.address))
    except TransportError:
        progress, version = Progress.NOT_REACHED, 0
    return InstanceProgress(
        instance.name, instance.zone, instance.address, progress, version
    )
