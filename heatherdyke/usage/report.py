"""Collects the teams' usage from the instances and the platform."""

from contextlib import closing
from dataclasses import dataclass
from dataclasses import field

from heatherdyke.config.model import USAGE_PREFIX
from heatherdyke.errors import HeatherdykeError
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.objects.client import ObjectClient
from heatherdyke.objects.client import convert_value
from heatherdyke.observe.fleet_client import discover_instances
from heatherdyke.observe.fleet_client import fetch_from_instances
from heatherdyke.usage.counters import TeamUsage
from heatherdyke.usage.counters import UsagePage
from heatherdyke.usage.counters import total_by_team


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage by team; ``not_read`` lists what is missing from it."""

    usage_by_team: dict[str, TeamUsage] = field(default_factory=dict)
    not_read: list[str] = field(default_factory=list)


async def read_usage(instance: str, platform: str) -> UsageReport:
    """Sum up the pages of live instances and those in the platform.

    Either address may be empty.  Raises NoInstanceReachable if no instance is
    found and ``platform`` is empty, and PlatformUnavailable if the platform
    cannot be read and no instance has responded.
    """
    not_read: list[str] = []
    pages = await _read_instances(instance, platform, not_read)
    if platform:
        pages += await _read_platform(platform, not_read, bool(pages))
    else:
        not_read.append("ended incarnations: no platform address was given")
    return UsageReport(total_by_team(pages), not_read)


def describe_usage(report: UsageReport, team: str = "") -> str:
    """Return the report as a human-readable table."""
    lines = [
        f"{'team':<20} {'searches':>10} {'leaf searches':>14} "
        f"{'runs':>8} {'hedges':>8} {'refused':>8}"
    ]
    for name, usage in sorted(report.usage_by_team.items()):
        if team in ("", name):
            lines.append(
                f"{name:<20} {usage.searches:>10} {usage.leaf_searches:>14} "
                f"{usage.runs:>8} {usage.hedges:>8} {usage.refused:>8}"
            )
    lines += [f"not read: {reason}" for reason in report.not_read]
    return "\n".join(lines)


async def _read_instances(
    instance: str, platform: str, not_read: list[str]
) -> list[UsagePage]:
    try:
        instances = await discover_instances(instance, platform)
    except HeatherdykeError as error:
        if not platform:
            raise
        not_read.append(f"live instances: {error.detail}")
        return []
    responses = await fetch_from_instances(
        instances, lambda _: "/usage", UsagePage
    )
    for missed in responses.unreachable:
        not_read.append(
            f"instance {missed.instance.name}, usage since its last stored "
            f"page: {missed.reason}"
        )
    return list(responses.page_by_address.values())


async def _read_platform(
    platform: str, not_read: list[str], has_pages: bool
) -> list[UsagePage]:
    try:
        with closing(ObjectClient(platform)) as client:
            stored = await client.list(USAGE_PREFIX)
    except PlatformUnavailable as error:
        if not has_pages:
            raise
        not_read.append(f"ended incarnations: {error.detail}")
        return []
    return [convert_value(row, UsagePage) for row in stored]
