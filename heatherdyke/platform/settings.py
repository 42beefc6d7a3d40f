"""Decodes the settings file that the platform gives a process."""

import os
import tomllib
from pathlib import Path

import msgspec

from heatherdyke.errors import SettingsError
from heatherdyke.gateway.settings import Bounds
from heatherdyke.gateway.settings import GatewaySettings
from heatherdyke.gateway.settings import StoreSettings
from heatherdyke.net.address import Address

PATH_VARIABLE = "HEATHERDYKE_BOOT"
MS = 1e-3
# Guards the division by a share of zero.
LEAST_CORES = 0.05


class _Listen(msgspec.Struct, rename="kebab"):
    front: str
    ready_address: str


class _Limits(msgspec.Struct, rename="kebab"):
    file_descriptors: int = 1024
    # The share of a core, each core so many times as fast as another.
    cpu_share: float = 1.0
    cpu_cores: float = 1.0


class _Bounds(msgspec.Struct, rename="kebab"):
    drain_ms: float = 3000
    grace_s: float = 6
    config_apply_ms: float = 3000
    stability_ms: float = 4000
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    retry_budget_slack: float = 50
    cold_burst_factor: float = 1.5
    cold_slack: float = 5
    address_reuse_s: float = 2


class _Store(msgspec.Struct, rename="kebab"):
    address: str


class _SettingsFile(msgspec.Struct, rename="kebab"):
    node_name: str
    zone: str
    ip_address: str
    listen_addresses: _Listen
    platform: _Store
    internal_port_range: tuple[int, int] = (0, 0)
    heartbeat_ms: float = 1000
    zones: dict[str, str] = {}
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_path() -> Path:
    """Return the path in the environment; raises SettingsError if none."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(
            [f"{PATH_VARIABLE} is not set: give the settings file's path"]
        )
    return Path(path)


def load_settings(path: Path) -> GatewaySettings:
    """Read and check the file; raises SettingsError naming the field."""
    try:
        return parse_settings(path.read_text())
    except OSError as error:
        raise SettingsError([f"{path} cannot be read: {error}"]) from error
    except UnicodeDecodeError as error:
        raise SettingsError([f"{path} is not UTF-8: {error}"]) from error
    except (ValueError, msgspec.ValidationError) as error:
        raise SettingsError([f"{path}: {error}"]) from error


def parse_settings(text: str) -> GatewaySettings:
    """Return the settings in ``text``; raises ValueError if they are bad."""
    wire = msgspec.convert(tomllib.loads(text), _SettingsFile, strict=False)
    bounds = wire.bounds
    return GatewaySettings(
        name=wire.node_name,
        zone=wire.zone,
        ip=wire.ip_address,
        client_address=Address.parse(wire.listen_addresses.front),
        health_address=Address.parse(wire.listen_addresses.ready_address),
        peer_ports=wire.internal_port_range,
        store=StoreSettings(Address.parse(wire.platform.address)),
        region_by_zone=wire.zones,
        cores=max(LEAST_CORES, wire.limits.cpu_share * wire.limits.cpu_cores),
        max_descriptors=wire.limits.file_descriptors,
        heartbeat_s=wire.heartbeat_ms * MS,
        bounds=Bounds(
            drain_s=bounds.drain_ms * MS,
            shutdown_s=bounds.grace_s,
            config_s=bounds.config_apply_ms * MS,
            stable_s=bounds.stability_ms * MS,
            retry_share=bounds.retry_budget_ratio,
            retry_window_s=bounds.budget_window_s,
            retry_slack=bounds.retry_budget_slack,
            cold_rate_factor=bounds.cold_burst_factor,
            cold_rate_slack=bounds.cold_slack,
            address_reuse_s=bounds.address_reuse_s,
        ),
    )
