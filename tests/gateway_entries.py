"""Leaf entries and routes for tests of the gateway's decisions."""

from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import WeightedService
from heatherdyke.net.address import Address


def entry(leaf_id: str, service: str = "s", zone: str = "a", **fields):
    address = fields.pop("address", Address("10.0.0.1", 80))
    return LeafEntry(leaf_id, service, address, zone, **fields)


def route(name: str, prefix: str, host: str = "h") -> Route:
    return Route(
        name=name,
        host=host,
        path_prefix=prefix,
        idempotent=True,
        timeout_s=1.0,
        objective_s=0.1,
        rank=1,
        max_attempts=2,
        targets=(WeightedService("s", 1.0),),
    )
