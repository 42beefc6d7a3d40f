"""The state of one instance and its requests, without network."""

import asyncio
from dataclasses import replace
from random import Random

from gateway_entries import ADDRESS
from gateway_entries import SETTINGS
from gateway_entries import entry
from gateway_entries import group_request

from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.peer_api import PeerApi
from heatherdyke.gateway.peer_messages import SEARCH_PATH
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peers import PEER_SERVICE
from heatherdyke.gateway.quarantine_sync import QuarantineSync
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import RouteTable
from heatherdyke.gateway.routing import RoutingConfig
from heatherdyke.gateway.routing import Service
from heatherdyke.gateway.search import Search
from heatherdyke.gateway.shared_state import SharedState

OWN_ZONE = SETTINGS.zone
OTHER_ZONE = "other"
SHARDS = tuple(f"shard{number}" for number in range(10))
ROUTE = Route(
    name="search",
    host="h",
    path_prefix="/s/",
    idempotent=True,
    timeout_s=3.0,
    objective_s=0.25,
    rank=1,
    max_attempts=2,
    shards=SHARDS,
    record_limit=10,
    min_share=0.89,
)
CLIENT_WAIT_S = 9.0


def make_shared(loop: asyncio.AbstractEventLoop) -> SharedState:
    """Return the state of an instance that knows its list of instances."""
    settings = replace(
        SETTINGS, region_by_zone={OWN_ZONE: "r", OTHER_ZONE: "r"}
    )
    shared = SharedState(settings, loop, EventLog(loop.time), Random(1))
    services = {shard: Service(shard, connection_limit=30) for shard in SHARDS}
    shared.routes = RouteTable(RoutingConfig(1, (ROUTE,), services))
    shared.set_instances(
        [
            LeafEntry(settings.name, PEER_SERVICE, ADDRESS, OWN_ZONE),
            LeafEntry("b", PEER_SERVICE, ADDRESS, OTHER_ZONE),
        ]
    )
    return shared


def add_leafs(shared: SharedState, zone_by_shard: dict[str, str]) -> None:
    now = shared.loop.time()
    for shard, zone in zone_by_shard.items():
        leaf = entry(f"{shard}-{zone}", shard, zone, address=ADDRESS)
        shared.leafs.apply(leaf, now)


def client_request(shared: SharedState) -> ClientRequest:
    """Return a client's search that has just arrived."""
    return ClientRequest(
        method=b"GET",
        target=b"/s/x",
        headers=[],
        body=b"",
        host="h",
        request_id=b"r1",
        wait_s=CLIENT_WAIT_S,
        arrived_at=shared.loop.time(),
    )


def search(shared: SharedState) -> list[ClientResponse]:
    """Start a search; return the list to which its response is added."""
    request = client_request(shared)
    answers: list[ClientResponse] = []
    Search(shared, Exchange(request, answers.append), ROUTE).start()
    return answers


def serve_group(shared: SharedState) -> ClientResponse:
    """Return the response to another instance's request for all shards."""
    message = group_request(list(SHARDS))
    message.limit_s = CLIENT_WAIT_S
    request = ClientRequest(
        method=b"POST",
        target=SEARCH_PATH,
        headers=[],
        body=encode_message(message),
        host="",
        request_id=b"",
        wait_s=None,
        arrived_at=shared.loop.time(),
    )
    answers: list[ClientResponse] = []
    PeerApi(
        shared, lambda version: None, QuarantineSync(shared).handle
    ).handle(Exchange(request, answers.append))
    return answers[0]


def requests_in_flight(shared: SharedState) -> int:
    leafs = shared.leafs.leaf_by_id.values()
    return sum(len(leaf.sent_at_by_attempt) for leaf in leafs)


def with_shared(scenario) -> None:
    async def main() -> None:
        scenario(make_shared(asyncio.get_running_loop()))

    asyncio.run(main())
