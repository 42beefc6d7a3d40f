"""Decodes the settings file that the platform gives a process."""

import os
import tomllib
from pathlib import Path
from typing import Annotated
from typing import Any

import msgspec

from heatherdyke.config.fault import Fault
from heatherdyke.errors import SettingsError
from heatherdyke.gateway.settings import Bounds
from heatherdyke.gateway.settings import GatewaySettings
from heatherdyke.gateway.settings import StoreSettings
from heatherdyke.net.address import MAX_PORT
from heatherdyke.net.address import Address
from heatherdyke.platform.settings_check import find_faults

PATH_VARIABLE = "HEATHERDYKE_BOOT"
MS = 1e-3
# Guards the division by a share of zero.
LEAST_CORES = 0.05


Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
Name = Annotated[str, msgspec.Meta(min_length=1)]


class _AddressText:
    """An address that is written as ``host:port``."""

    __slots__ = ("address",)

    def __init__(self, address: Address) -> None:
        self.address = address


class _Listen(msgspec.Struct, rename="kebab"):
    front: _AddressText
    ready_address: _AddressText


class _Limits(msgspec.Struct, rename="kebab"):
    file_descriptors: Annotated[int, msgspec.Meta(gt=0)] = 1024
    # The share of a core, each core so many times as fast as another.
    cpu_share: Positive = 1.0
    cpu_cores: Positive = 1.0


class _Bounds(msgspec.Struct, rename="kebab"):
    drain_ms: NotNegative = 3000
    grace_s: Positive = 6
    config_apply_ms: NotNegative = 3000
    stability_ms: NotNegative = 4000
    retry_budget_ratio: NotNegative = 0.2
    budget_window_s: Positive = 10
    retry_budget_slack: NotNegative = 50
    cold_burst_factor: NotNegative = 1.5
    cold_slack: NotNegative = 5
    address_reuse_s: NotNegative = 2


class _Store(msgspec.Struct, rename="kebab"):
    address: _AddressText


class _SettingsFile(msgspec.Struct, rename="kebab"):
    node_name: Name
    zone: Name
    ip_address: Name
    listen_addresses: _Listen
    platform: _Store
    internal_port_range: tuple[Port, Port] = (0, 0)
    heartbeat_ms: Positive = 1000
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
    """Read and check the file; raises SettingsError naming every fault."""
    data = _read(path)
    faults = find_faults(str(path), data, _SettingsFile, _decode_address)
    if faults:
        raise SettingsError([str(fault) for fault in faults])
    return _to_settings(data)


def check_settings_file(path: Path) -> list[Fault]:
    """Return the file's faults; raises SettingsError if it is not TOML."""
    return find_faults(str(path), _read(path), _SettingsFile, _decode_address)


def _decode_address(kind: type, value: object) -> _AddressText:
    if kind is not _AddressText or not isinstance(value, str):
        raise ValueError("Expected an address written as host:port")
    return _AddressText(Address.parse(value))


def _read(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(
            [f"{path} cannot be read ({error.strerror}): create it"]
        ) from error
    except ValueError as error:
        raise SettingsError(
            [f"{path} is not TOML ({error}): correct that place"]
        ) from error


def _to_settings(data: dict[str, Any]) -> GatewaySettings:
    wire = msgspec.convert(
        data, _SettingsFile, strict=False, dec_hook=_decode_address
    )
    bounds = wire.bounds
    return GatewaySettings(
        name=wire.node_name,
        zone=wire.zone,
        ip=wire.ip_address,
        client_address=wire.listen_addresses.front.address,
        health_address=wire.listen_addresses.ready_address.address,
        peer_ports=wire.internal_port_range,
        store=StoreSettings(wire.platform.address.address),
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
