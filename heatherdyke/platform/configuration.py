"""Decodes the routing configuration that the operator stores."""

from dataclasses import replace
from typing import Any
from typing import TypeVar

import msgspec

from heatherdyke.errors import UnreadableObject
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import RoutingConfig
from heatherdyke.gateway.routing import Service
from heatherdyke.gateway.routing import WeightedService
from heatherdyke.platform.json_decoding import convert
from heatherdyke.platform.json_decoding import decode_json
from heatherdyke.platform.json_decoding import normalise

T = TypeVar("T")

KIND = "config"
NAME = "main"
SECONDS_PER_MS = 1e-3
# The ``kind`` of routes whose requests are idempotent.
IDEMPOTENT_KIND = "safe"


class _WireSplit(msgspec.Struct):
    service: str
    weight: float


class _WireRoute(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    kind: str = ""
    # The rank among routes; 0 is the most urgent.
    priority: int = 0
    # The maximum number of leafs that one request may be sent to.
    max_attempts: int = 1
    service: str = ""
    traffic_split: list[_WireSplit] = []
    fan_out_services: list[str] = []
    home_regions: list[str] = []
    top_k: int = 0
    min_shard_share: float = 0.0


class _WireService(msgspec.Struct, rename="kebab"):
    name: str
    health_check_path: str = "/health"
    connection_limit: int = 1
    cold_start_s: float = 0.0
    # Requests per second that a cold leaf can take from all instances.
    cold_per_s: float = 0.0


class _WireLimits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _WireConfig(msgspec.Struct):
    version: int
    routes: list[_WireRoute]
    services: list[_WireService] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


class _WireParts(msgspec.Struct):
    """A configuration whose parts are decoded one by one."""

    version: int
    routes: list[Any]
    services: list[Any] = []
    limits: Any = {}


def decode_configuration(spec: msgspec.Raw) -> RoutingConfig:
    """Return the routing configuration, without the parts that are odd.

    Raises UnreadableObject if ``spec`` names no version or no list of routes.
    """
    try:
        return _to_config(decode_json(spec, _WireConfig, NAME))
    except UnreadableObject:
        return _decode_parts(spec)


def _decode_parts(spec: msgspec.Raw) -> RoutingConfig:
    value = decode_json(spec, Any, NAME)
    try:
        value = normalise(value)
    except RecursionError as error:
        raise UnreadableObject(NAME, "nested too deeply") from error
    parts = convert(value, _WireParts, NAME)
    unusable: list[str] = []
    wire = _WireConfig(
        parts.version,
        _usable(parts.routes, _WireRoute, unusable),
        _usable(parts.services, _WireService, unusable),
        *_usable([parts.limits], _WireLimits, unusable),
    )
    names = {(route.host, route.path_prefix) for route in wire.routes}
    return replace(
        _to_config(wire),
        unusable_parts=tuple(unusable),
        unusable_prefixes=tuple(
            prefix
            for prefix in map(_prefix_of, parts.routes)
            if prefix is not None and prefix not in names
        ),
    )


def _usable(
    parts: list[Any], wire_type: type[T], unusable: list[str]
) -> list[T]:
    """Return the parts that can be converted; describe the others."""
    usable = []
    for part in parts:
        try:
            usable.append(convert(part, wire_type, NAME))
        except UnreadableObject as error:
            unusable.append(error.detail)
    return usable


def _prefix_of(route: Any) -> tuple[str, str] | None:
    """Return a route's host and path prefix, None if they are no texts."""
    if not isinstance(route, dict):
        return None
    prefix = (route.get("host"), route.get("path-prefix"))
    return prefix if all(isinstance(text, str) for text in prefix) else None


def _to_config(wire: _WireConfig) -> RoutingConfig:
    return RoutingConfig(
        version=wire.version,
        routes=tuple(_decode_route(route) for route in wire.routes),
        service_by_name={
            service.name: _decode_service(service) for service in wire.services
        },
        limits=ClientLimits(
            max_header_bytes=wire.limits.max_header_bytes,
            max_body_bytes=wire.limits.max_body_bytes,
            header_timeout_s=wire.limits.header_timeout_ms * SECONDS_PER_MS,
            idle_timeout_s=wire.limits.idle_timeout_ms * SECONDS_PER_MS,
        ),
    )


def _decode_route(wire: _WireRoute) -> Route:
    split = wire.traffic_split or [_WireSplit(wire.service, 1.0)]
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        idempotent=wire.kind == IDEMPOTENT_KIND,
        timeout_s=wire.timeout_ms * SECONDS_PER_MS,
        objective_s=(wire.target_latency_ms or wire.timeout_ms)
        * SECONDS_PER_MS,
        rank=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        targets=()
        if wire.fan_out_services
        else tuple(
            WeightedService(target.service, target.weight) for target in split
        ),
        shards=tuple(wire.fan_out_services),
        record_limit=wire.top_k,
        min_share=wire.min_shard_share,
        home_regions=frozenset(wire.home_regions),
    )


def _decode_service(wire: _WireService) -> Service:
    return Service(
        name=wire.name,
        health_path=wire.health_check_path,
        connection_limit=wire.connection_limit,
        cold_s=wire.cold_start_s,
        cold_rate=wire.cold_per_s,
    )
