"""Registry of the actions that scenarios run during a phase."""

import asyncio
import signal
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec

from heatherdyke.config.model import ZONES_KEY
from heatherdyke.config.zone_state import ZoneEntry
from heatherdyke.config.zone_state import ZonesObject
from heatherdyke.config.zone_state import ZoneStatus
from heatherdyke.objects.client import convert_value
from heatherdyke.registry import Registry
from heatherdyke.standin.leaf_model import LeafFaults
from heatherdyke.standin.platform import PlatformFaults
from heatherdyke_bench.admin_client import set_faults
from heatherdyke_bench.errors import ScenarioError
from heatherdyke_bench.fleet import Fleet

ActionFunction = Callable[[Fleet, dict[str, Any]], Awaitable[None]]
actions: Registry[ActionFunction] = Registry("action")


def substitute_zones(
    values: dict[str, Any], zones: list[str]
) -> dict[str, Any]:
    """Replace ``$0``, ``$1`` ... in strings by the deployment's zones."""
    substituted = {}
    for name, value in values.items():
        if isinstance(value, str):
            for number, zone in enumerate(zones):
                value = value.replace(f"${number}", zone)
        substituted[name] = value
    return substituted


@actions.register("leaf-faults")
async def set_leaf_faults(fleet: Fleet, values: dict[str, Any]) -> None:
    """Set ``faults`` on the leaves that match ``zone`` and ``leaves``."""
    faults = _convert(values.get("faults", {}), LeafFaults)
    selected = _select_leaves(fleet, values)
    addresses = [fleet.leaf_by_name[leaf].address for leaf in selected]
    await asyncio.gather(*(set_faults(a, faults) for a in addresses))


@actions.register("platform-faults")
async def set_platform_faults(fleet: Fleet, values: dict[str, Any]) -> None:
    """Replace the faults of the platform stand-in."""
    faults = _convert(values, PlatformFaults)
    await set_faults(fleet.platform.address, faults)


@actions.register("zone-out")
async def take_zone_out(fleet: Fleet, values: dict[str, Any]) -> None:
    """Take the zone out of service, as the operator's command does."""
    await _write_zone_state(fleet, values["zone"], out=True)


@actions.register("zone-in")
async def bring_zone_in(fleet: Fleet, values: dict[str, Any]) -> None:
    """Put the zone back into service."""
    await _write_zone_state(fleet, values["zone"], out=False)


@actions.register("cut-zone")
async def partition_zone(fleet: Fleet, values: dict[str, Any]) -> None:
    """Drop traffic between the zone and other zones or the platform."""
    await fleet.partition_zone(values["zone"])


@actions.register("heal-network")
async def heal_network(fleet: Fleet, values: dict[str, Any]) -> None:
    """End all network partitions."""
    await fleet.heal_network()


@actions.register("kill-instance")
async def kill_instance(fleet: Fleet, values: dict[str, Any]) -> None:
    """Kill an instance by SIGKILL."""
    fleet.find_instance(values["name"]).send_signal(signal.SIGKILL)


@actions.register("pause-instance")
async def pause_instance(fleet: Fleet, values: dict[str, Any]) -> None:
    """Suspend an instance by SIGSTOP."""
    fleet.find_instance(values["name"]).send_signal(signal.SIGSTOP)


@actions.register("resume-instance")
async def resume_instance(fleet: Fleet, values: dict[str, Any]) -> None:
    """Resume a suspended instance by SIGCONT."""
    fleet.find_instance(values["name"]).send_signal(signal.SIGCONT)


@actions.register("stop-instance")
async def stop_instance(fleet: Fleet, values: dict[str, Any]) -> None:
    """Stop an instance gracefully, by SIGTERM."""
    fleet.find_instance(values["name"]).send_signal(signal.SIGTERM)


@actions.register("start-instance")
async def start_instance(fleet: Fleet, values: dict[str, Any]) -> None:
    """Restart an instance at its previous address."""
    await fleet.start_instance(values["name"])


def _select_leaves(fleet: Fleet, values: dict[str, Any]) -> list[str]:
    zone = values.get("zone")
    names = values.get("leaves")
    selected = [
        leaf
        for leaf, profile in fleet.profile_by_leaf.items()
        if (zone is None or profile.zone == zone)
        and (names is None or leaf in names)
    ]
    if not selected:
        raise ScenarioError(
            f"no leaf matches {values}", "correct the scenario"
        )
    return selected


async def _write_zone_state(fleet: Fleet, zone: str, out: bool) -> None:
    platform = fleet.platform_client()
    stored = await platform.get(ZONES_KEY)
    zones = ZonesObject()
    if stored is not None:
        zones = convert_value(stored, ZonesObject)
    version = zones.version + 1
    state = ZoneStatus.OUT if out else ZoneStatus.IN
    entry = ZoneEntry(state, version, f"bench-{version}", "bench")
    changed = ZonesObject(version, zones.zone_by_name | {zone: entry})
    await platform.put(ZONES_KEY, changed, stored.version if stored else 0)


def _convert(values: dict[str, Any], message_type: type) -> Any:
    try:
        return msgspec.convert(values, message_type)
    except msgspec.ValidationError as error:
        raise ScenarioError(
            f"{message_type.__name__}: {error}", "correct the scenario"
        ) from error
