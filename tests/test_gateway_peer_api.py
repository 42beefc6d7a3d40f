"""Tests of groups of shards between instances, without network."""

import asyncio
from random import Random

from gateway_entries import ADDRESS
from gateway_entries import SETTINGS
from gateway_entries import group_request

from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.peer_api import PeerApi
from heatherdyke.gateway.peer_messages import FORWARD_PATH
from heatherdyke.gateway.peer_messages import REMAINDER_PATH
from heatherdyke.gateway.peer_messages import SEARCH_PATH
from heatherdyke.gateway.peer_messages import ForwardRequest
from heatherdyke.gateway.peer_messages import RemainderRequest
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_send import _expecting_header
from heatherdyke.gateway.quarantine_sync import QuarantineSync
from heatherdyke.gateway.routing import RouteTable
from heatherdyke.gateway.routing import RoutingConfig
from heatherdyke.gateway.shared_state import SharedState


def respond_to(
    target: bytes, body: bytes, config: bool = True
) -> ClientResponse:
    """Return the response of an instance without leafs."""

    async def main() -> ClientResponse:
        loop = asyncio.get_running_loop()
        shared = SharedState(SETTINGS, loop, EventLog(loop.time), Random(1))
        if config:
            shared.routes = RouteTable(RoutingConfig(version=1))
        request = ClientRequest(
            method=b"POST",
            target=target,
            headers=[],
            body=body,
            host="",
            request_id=b"",
            wait_s=None,
            arrived_at=loop.time(),
        )
        answers: list[ClientResponse] = []
        PeerApi(
            shared, lambda version: None, QuarantineSync(shared).handle
        ).handle(Exchange(request, answers.append))
        return answers[0]

    return asyncio.run(main())


def forward_request() -> ForwardRequest:
    return ForwardRequest(
        method=b"GET",
        target=b"/o/x",
        headers=[],
        body=b"",
        request_id=b"r1",
        route="one",
        service="s",
        idempotent=True,
        rank=1,
        max_attempts=2,
        objective_s=0.1,
        home_regions=[],
        limit_s=1.0,
    )


class TestPeerApi:
    """An instance that is isolated from the store lacks new shards."""

    def test_an_instance_without_leafs_declines(self):
        body = encode_message(group_request(["s", "t", "u"]))
        assert respond_to(SEARCH_PATH, body).status == 503

    def test_an_instance_without_configuration_declines(self):
        body = encode_message(group_request(["s"]))
        assert respond_to(SEARCH_PATH, body, config=False).status == 503

    def test_a_single_request_is_declined_likewise(self):
        """The sender then knows that it has not run and asks another."""
        body = encode_message(forward_request())
        assert respond_to(FORWARD_PATH, body).status == 503
        assert respond_to(FORWARD_PATH, body, config=False).status == 503

    def test_invalid_messages_are_rejected(self):
        assert respond_to(FORWARD_PATH, b"\xff\x00").status == 400
        assert respond_to(SEARCH_PATH, b"\xff\x00").status == 400
        assert respond_to(REMAINDER_PATH, b"\xff\x00").status == 400
        assert (
            respond_to(SEARCH_PATH, encode_message(group_request([]))).status
            == 400
        )

    def test_the_remainder_of_an_unknown_search_is_not_found(self):
        body = encode_message(RemainderRequest(b"r1", "s", 0.05))
        assert respond_to(REMAINDER_PATH, body).status == 404


class TestReusedAddress:
    """An instance has ended and a leaf now listens at its address."""

    def test_a_group_request_names_its_recipient(self):
        entry = LeafEntry("front-b-1", "peers", ADDRESS, "z2")
        head = _expecting_header(Leaf(entry), SEARCH_PATH, 10).lower()
        assert b"\r\nx-expected-instance: front-b-1\r\n" in head

    def test_a_health_check_names_its_recipient(self):
        async def main() -> bytes:
            loop = asyncio.get_running_loop()
            shared = SharedState(
                SETTINGS, loop, EventLog(loop.time), Random(1)
            )
            entry = LeafEntry("front-b-1", "peers", ADDRESS, "z2")
            return shared.peers.pools._check_message(Leaf(entry)).lower()

        check = asyncio.run(main())
        assert b"\r\nx-expected-instance: front-b-1\r\n" in check


class TestDescribeLeafs:
    """Refusals are logged with the reason why a shard had no leaf."""

    def describe(self, change) -> str:
        async def main() -> str:
            loop = asyncio.get_running_loop()
            shared = SharedState(
                SETTINGS, loop, EventLog(loop.time), Random(1)
            )
            shared.leafs.apply(
                LeafEntry("i-1", "s", ADDRESS, "z"), loop.time()
            )
            change(shared, shared.leafs.leaf_by_id["i-1"], loop.time())
            return shared.selector.describe("s")

        return asyncio.run(main())

    def test_each_state_is_named(self):
        def suspect(shared, leaf, now):
            leaf.record_unreachable(now)

        def make_cold(shared, leaf, now):
            leaf.cold_until = now + 5

        def misdirect(shared, leaf, now):
            leaf.misdirected = True

        def take_out(shared, leaf, now):
            shared.leafs.set_zones_out(frozenset("z"), now, 3.0)

        def leave_unchanged(shared, leaf, now):
            return None

        assert self.describe(leave_unchanged) == "s: i-1 usable"
        assert self.describe(suspect) == "s: i-1 doubted"
        assert self.describe(make_cold) == "s: i-1 cold"
        assert self.describe(misdirect) == "s: i-1 another_at_its_address"
        assert self.describe(take_out) == "s: i-1 zone_out"

    def test_a_service_without_leafs_is_described(self):
        def remove(shared, leaf, now):
            shared.leafs.remove("i-1", now, False)

        assert self.describe(remove) == "s: none known"
