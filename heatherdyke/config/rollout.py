"""Tracks on which instances an accepted change is active."""

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

STATUS_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.05


class RolloutProgress(Enum):
    """The progress of an accepted change on one instance."""

    ACTIVE = "in_force"
    BEHIND = "behind"
    UNREADABLE = "unreadable"
    NOT_REACHED = "not_reached"


@dataclass(frozen=True, slots=True)
class InstanceProgress:
    """The progress on one instance, and the version active on it."""

    instance: str
    zone: str
    address: str
    progress: RolloutProgress
    version: int = 0


ProgressCheck = Callable[[ConfigStatus], tuple[RolloutProgress, int]]


def section_progress_check(team: str, version: int) -> ProgressCheck:
    """Return a check that a section is active at ``version`` or later."""

    def progress_check(status: ConfigStatus) -> tuple[RolloutProgress, int]:
        if status.config_version < version:
            return RolloutProgress.BEHIND, status.config_version
        unreadable_teams = [u.team for u in status.unreadable]
        if team in unreadable_teams:
            return RolloutProgress.UNREADABLE, status.config_version
        return RolloutProgress.ACTIVE, status.config_version

    return progress_check


def zones_progress_check(version: int) -> ProgressCheck:
    """Return a check that the zones are active at ``version`` or later."""

    def progress_check(status: ConfigStatus) -> tuple[RolloutProgress, int]:
        if status.zones_version < version:
            return RolloutProgress.BEHIND, status.zones_version
        return RolloutProgress.ACTIVE, status.zones_version

    return progress_check


async def fetch_status(address: str) -> ConfigStatus:
    """Return the configuration status of an instance.

    Raises TransportError.
    """
    return await fetch(
        address, "/config/status", ConfigStatus, STATUS_TIMEOUT_S
    )


async def fetch_progress(
    instances: list[KnownInstance], progress_check: ProgressCheck
) -> list[InstanceProgress]:
    """Query all instances concurrently and return their progress."""
    return await asyncio.gather(
        *(_fetch_instance_progress(i, progress_check) for i in instances)
    )


async def wait_until_active(
    instances: list[KnownInstance],
    progress_check: ProgressCheck,
    timeout_s: float,
) -> list[InstanceProgress]:
    """Poll until the change is active on all or ``timeout_s`` has passed."""
    deadline = monotonic() + timeout_s
    while True:
        progress = await fetch_progress(instances, progress_check)
        if all(p.progress is RolloutProgress.ACTIVE for p in progress):
            return progress
        if monotonic() >= deadline:
            return progress
        await asyncio.sleep(POLL_INTERVAL_S)


def require_active(progress: list[InstanceProgress]) -> None:
    """Raise NotInForce unless the change is active on all instances."""
    if not progress:
        raise NotInForce(
            "the platform lists no instance",
            "start an instance, or retry later",
        )
    pending = [p for p in progress if p.progress is not RolloutProgress.ACTIVE]
    if pending:
        names = ", ".join(
            f"{p.instance} ({p.progress.value})" for p in pending
        )
        raise NotInForce(
            f"not active on {names}",
            "the change is accepted; check again with a status command",
        )


async def _fetch_instance_progress(
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
