"""Decodes the operator's configuration."""

import msgspec

from heatherdyke.errors import UnreadableObject
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import RoutingConfig
from heatherdyke.gateway.routing import Service
from heatherdyke.gateway.routing import WeightedService

KIND = "config"
NAME = "main"
MS = 1e-3
IDEMPOTENT_KIND = "safe"


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    kind: str = ""
    # The rank among routes: 0 is the most urgent.
    priority: int = 0
    # The number of leafs that one request may be sent to.
    max_attempts: int = 1
    service: str = ""
    traffic_split: list[_Split] = []
    fan_out_services: list[str] = []
    home_regions: list[str] = []
    top_k: int = 0
    min_shard_share: float = 0.0


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    health_check_path: str = "/health"
    connection_limit: int = 1
    cold_start_s: float = 0.0
    # Requests a second that a cold leaf bears, over all instances.
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_configuration(spec: msgspec.Raw) -> RoutingConfig:
    """Return the configuration; raises UnreadableObject."""
    try:
        wire = msgspec.json.decode(spec, type=_Config)
    except msgspec.MsgspecError as error:
        raise UnreadableObject(NAME, str(error)) from error
    return RoutingConfig(
        version=wire.version,
        routes=tuple(_route(route) for route in wire.routes),
        service_by_name={
            service.name: _service(service) for service in wire.services
        },
        limits=ClientLimits(
            max_header_bytes=wire.limits.max_header_bytes,
            max_body_bytes=wire.limits.max_body_bytes,
            header_timeout_s=wire.limits.header_timeout_ms * MS,
            idle_timeout_s=wire.limits.idle_timeout_ms * MS,
        ),
    )


def _route(wire: _Route) -> Route:
    parts = wire.traffic_split or [_Split(wire.service, 1.0)]
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        idempotent=wire.kind == IDEMPOTENT_KIND,
        timeout_s=wire.timeout_ms * MS,
        objective_s=(wire.target_latency_ms or wire.timeout_ms) * MS,
        rank=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        targets=()
        if wire.fan_out_services
        else tuple(
            WeightedService(part.service, part.weight) for part in parts
        ),
        shards=tuple(wire.fan_out_services),
        record_limit=wire.top_k,
        min_share=wire.min_shard_share,
        home_regions=frozenset(wire.home_regions),
    )


def _service(wire: _Service) -> Service:
    return Service(
        name=wire.name,
        health_path=wire.health_check_path,
        connection_limit=wire.connection_limit,
        cold_s=wire.cold_start_s,
        cold_rate=wire.cold_per_s,
    )
