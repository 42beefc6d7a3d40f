"""Decodes the routing configuration that the operator stores."""

import msgspec

from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import RoutingConfig
from heatherdyke.gateway.routing import Service
from heatherdyke.gateway.routing import WeightedService
from heatherdyke.platform.json_decoding import decode_json

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


def decode_configuration(spec: msgspec.Raw) -> RoutingConfig:
    """Return the routing configuration.

    Raises UnreadableObject if ``spec`` cannot be decoded.
    """
    wire = decode_json(spec, _WireConfig, NAME)
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
