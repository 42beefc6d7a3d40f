"""Settings, leaf entries and routes for tests without network."""

from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.peer_messages import GroupRequest
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import WeightedService
from heatherdyke.gateway.settings import Bounds
from heatherdyke.gateway.settings import GatewaySettings
from heatherdyke.gateway.settings import StoreSettings
from heatherdyke.net.address import Address

ADDRESS = Address("127.0.0.1", 1)
BOUNDS = Bounds(3, 6, 3, 4, 0.2, 10, 50, 1.5, 5, 2)
SETTINGS = GatewaySettings(
    name="a",
    zone="z",
    ip="127.0.0.1",
    client_address=ADDRESS,
    health_address=ADDRESS,
    peer_ports=(1, 1),
    store=StoreSettings(ADDRESS),
    region_by_zone={"z": "r"},
    max_descriptors=100,
    cores=1.0,
    heartbeat_s=1.0,
    bounds=BOUNDS,
)


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


def group_request(shards: list[str]) -> GroupRequest:
    return GroupRequest(
        method=b"GET",
        target=b"/s/x",
        headers=[],
        body=b"",
        request_id=b"r1",
        route="search",
        shards=shards,
        record_limit=5,
        rank=1,
        max_attempts=2,
        min_share=0.0,
        objective_s=0.1,
        home_regions=[],
        due_s=0.1,
        limit_s=1.0,
    )
