"""Converts clients' requests and their routes for other instances."""

from typing import Any

from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.peer_messages import ForwardRequest
from heatherdyke.gateway.peer_messages import GroupRequest
from heatherdyke.gateway.prior_attempts import PriorAttempts
from heatherdyke.gateway.routing import Route


def group_request(
    request: ClientRequest,
    route: Route,
    shards: tuple[str, ...],
    config_version: int,
) -> GroupRequest:
    """Return the message that requests some shards of a client's search."""
    return GroupRequest(
        **_request_fields(request),
        **_route_fields(route),
        shards=list(shards),
        record_limit=route.record_limit,
        min_share=0.0,
        config_version=config_version,
    )


def forward_request(
    request: ClientRequest,
    route: Route,
    service: str,
    config_version: int,
    prior: PriorAttempts,
) -> ForwardRequest:
    """Return the message that has a client's request forwarded."""
    route_fields = _route_fields(route)
    route_fields["max_attempts"] = prior.attempts_left(route.max_attempts)
    return ForwardRequest(
        **_request_fields(request),
        **route_fields,
        service=service,
        idempotent=route.idempotent,
        config_version=config_version,
        rejected_by=list(prior.rejected_by),
        counted=prior.is_counted,
        charged=prior.is_charged,
        careful=prior.is_careful,
    )


def prior_attempts_of(message: ForwardRequest) -> PriorAttempts:
    """Return what the sender of the message has done with the request."""
    return PriorAttempts(
        rejected_by=tuple(message.rejected_by),
        is_counted=message.counted,
        is_charged=message.charged,
        is_careful=message.careful,
    )


def client_request_of(
    message: GroupRequest | ForwardRequest, arrived_at: float
) -> ClientRequest:
    """Return the client's request that the message carries."""
    return ClientRequest(
        method=message.method,
        target=message.target,
        headers=message.headers,
        body=message.body,
        host="",
        request_id=message.request_id,
        wait_s=message.limit_s,
        arrived_at=arrived_at,
    )


def route_of(message: GroupRequest | ForwardRequest) -> Route:
    """Return the route that the message describes."""
    if isinstance(message, ForwardRequest):
        return _make_route(message, idempotent=message.idempotent)
    return _make_route(
        message,
        idempotent=True,
        shards=tuple(message.shards),
        record_limit=message.record_limit,
        min_share=message.min_share,
    )


def _make_route(
    message: GroupRequest | ForwardRequest, **own_fields: Any
) -> Route:
    return Route(
        name=message.route,
        host="",
        path_prefix="",
        timeout_s=message.limit_s,
        objective_s=message.objective_s,
        rank=message.rank,
        max_attempts=message.max_attempts,
        home_regions=frozenset(message.home_regions),
        **own_fields,
    )


def _request_fields(request: ClientRequest) -> dict[str, Any]:
    return {
        "method": request.method,
        "target": request.target,
        "headers": request.headers,
        "body": request.body,
        "request_id": request.request_id,
    }


def _route_fields(route: Route) -> dict[str, Any]:
    return {
        "route": route.name,
        "rank": route.rank,
        "max_attempts": route.max_attempts,
        "objective_s": route.objective_s,
        "home_regions": sorted(route.home_regions),
    }
