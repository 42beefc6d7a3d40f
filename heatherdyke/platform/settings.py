"""Decodes the settings file that the platform provides to a process."""

import os
import tomllib
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated
from typing import Any

import msgspec

from heatherdyke.config.fault import Fault
from heatherdyke.errors import SettingsError
from heatherdyke.gateway.settings import DEFAULT_MEMORY_BYTES
from heatherdyke.gateway.settings import Bounds
from heatherdyke.gateway.settings import GatewaySettings
from heatherdyke.gateway.settings import StoreSettings
from heatherdyke.net.address import MAX_PORT
from heatherdyke.net.address import Address
from heatherdyke.platform.settings_check import find_faults

PATH_VARIABLE = "HEATHERDYKE_BOOT"
SECONDS_PER_MS = 1e-3
BYTES_PER_MB = 1024 * 1024
# Lower bound, because processing times are divided by the cores.
MIN_CORES = 0.05
# Above all machines; products of what is larger are no finite numbers.
MAX_AMOUNT = 1e12

Positive = Annotated[float, msgspec.Meta(gt=0)]
Amount = Annotated[float, msgspec.Meta(gt=0, le=MAX_AMOUNT)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
Name = Annotated[str, msgspec.Meta(min_length=1)]


class _AddressText:
    """An address that the file gives as ``host:port``."""

    __slots__ = ("address",)

    def __init__(self, text: str) -> None:
        self.address = Address.parse(text)


class _IpText:
    """An IP address of this machine."""

    __slots__ = ("text",)

    def __init__(self, text: str) -> None:
        self.text = str(ip_address(text))


class _WireListen(msgspec.Struct, rename="kebab"):
    front: _AddressText
    ready_address: _AddressText


class _WireLimits(msgspec.Struct, rename="kebab"):
    file_descriptors: Annotated[int, msgspec.Meta(gt=0)] = 1024
    memory_mb: Amount = DEFAULT_MEMORY_BYTES / BYTES_PER_MB
    # The process's share of a core, and the core's relative speed.
    cpu_share: Amount = 1.0
    cpu_cores: Amount = 1.0


class _WireBounds(msgspec.Struct, rename="kebab"):
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


class _WireStore(msgspec.Struct, rename="kebab"):
    address: _AddressText


class _WireSettings(msgspec.Struct, rename="kebab"):
    node_name: Name
    zone: Name
    ip_address: _IpText
    listen_addresses: _WireListen
    platform: _WireStore
    internal_port_range: tuple[Port, Port] = (0, 0)
    heartbeat_ms: Positive = 1000
    zones: dict[str, str] = {}
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    bounds: _WireBounds = msgspec.field(default_factory=_WireBounds)


def settings_path() -> Path:
    """Return the settings file's path from the environment.

    Raises SettingsError if the variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(
            [f"{PATH_VARIABLE} is not set: set it to the settings file's path"]
        )
    return Path(path)


def load_settings(path: Path) -> GatewaySettings:
    """Read and validate the file.

    Raises SettingsError if the file cannot be read, is not TOML or has
    faults, all of which it lists.
    """
    data = _load_toml(path)
    faults = find_faults(
        _path_text(path), data, _WireSettings, _decode_address
    )
    if faults:
        raise SettingsError([str(fault) for fault in faults])
    return _to_settings(data)


def check_settings_file(path: Path) -> list[Fault]:
    """Return the file's faults.

    Raises SettingsError if the file cannot be read or is not TOML.
    """
    return find_faults(
        _path_text(path), _load_toml(path), _WireSettings, _decode_address
    )


def _decode_address(
    expected_type: type, value: object
) -> _AddressText | _IpText:
    """Decode a text; raises ValueError if it is no address of the type."""
    if not isinstance(value, str):
        raise ValueError("Expected an address in quotes")
    return expected_type(value)


def _load_toml(path: Path) -> dict[str, Any]:
    name = _path_text(path)
    try:
        # Whoever reads a pipe waits for its writer, and again at each reload.
        if path.is_fifo():
            raise SettingsError([f"{name} is a pipe: write a file"])
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(
            [f"{name} cannot be read ({error.strerror}): create it"]
        ) from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(
            [f"{name} is not TOML ({error}): correct the syntax"]
        ) from error


def _path_text(path: Path) -> str:
    """Return a path for messages, which can be encoded as UTF-8."""
    return os.fsencode(path).decode(errors="backslashreplace")


def _to_settings(data: dict[str, Any]) -> GatewaySettings:
    wire = msgspec.convert(
        data, _WireSettings, strict=False, dec_hook=_decode_address
    )
    bounds = wire.bounds
    return GatewaySettings(
        name=wire.node_name,
        zone=wire.zone,
        ip=wire.ip_address.text,
        client_address=wire.listen_addresses.front.address,
        health_address=wire.listen_addresses.ready_address.address,
        peer_ports=wire.internal_port_range,
        store=StoreSettings(wire.platform.address.address),
        region_by_zone=wire.zones,
        cores=max(MIN_CORES, wire.limits.cpu_share * wire.limits.cpu_cores),
        max_descriptors=wire.limits.file_descriptors,
        memory_bytes=int(wire.limits.memory_mb * BYTES_PER_MB),
        heartbeat_s=wire.heartbeat_ms * SECONDS_PER_MS,
        bounds=Bounds(
            drain_s=bounds.drain_ms * SECONDS_PER_MS,
            shutdown_s=bounds.grace_s,
            config_s=bounds.config_apply_ms * SECONDS_PER_MS,
            stable_s=bounds.stability_ms * SECONDS_PER_MS,
            retry_share=bounds.retry_budget_ratio,
            retry_window_s=bounds.budget_window_s,
            retry_slack=bounds.retry_budget_slack,
            cold_rate_factor=bounds.cold_burst_factor,
            cold_rate_slack=bounds.cold_slack,
            address_reuse_s=bounds.address_reuse_s,
        ),
    )
