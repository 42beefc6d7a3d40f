"""Leafs that say that they are leaving, or that they want no requests."""

import asyncio
from dataclasses import replace

import pytest
from gateway_entries import entry
from gateway_fleet import send_request
from gateway_scenarios import ready_gateway
from gateway_scenarios import run
from gateway_scenarios import set_up_forwarding
from instance_scenarios import CLIENT_WAIT_S
from instance_scenarios import OWN_ZONE
from instance_scenarios import ROUTE
from instance_scenarios import SHARDS
from instance_scenarios import add_leafs
from instance_scenarios import requests_in_flight
from instance_scenarios import search
from instance_scenarios import with_shared

from heatherdyke.gateway.leaf_statements import MAX_PAUSE_S
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.leaf_table import Removal
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.platform.headers import parse_seconds
from heatherdyke.platform_standin.leaf import Behaviour


def rejection(retry_after: bytes | None) -> LeafResponse:
    return LeafResponse(503, [], b"", not_run=True, retry_after=retry_after)


def state(shared: SharedState, response: LeafResponse, leaf: Leaf) -> None:
    now = shared.loop.time()
    shared.pools.record_statements(leaf, response, now)


def own_leafs(shared: SharedState) -> list[Leaf]:
    add_leafs(shared, dict.fromkeys(SHARDS, OWN_ZONE))
    return list(shared.leafs.leaf_by_id.values())


class TestLeavingLeaf:
    def leaving(self) -> LeafTable:
        table = LeafTable()
        table.apply(entry("x"), 0.0)
        table.leaf_by_id["x"].is_leaving = True
        return table

    def test_any_response_may_say_so(self):
        def scenario(shared: SharedState) -> None:
            for leaf, status in zip(
                own_leafs(shared), (200, 503, 500, 429), strict=False
            ):
                response = LeafResponse(status, [], b"", is_leaving=True)
                state(shared, response, leaf)
                assert not leaf.is_usable(shared.loop.time())
                assert leaf.state(shared.loop.time()) == "draining"

        with_shared(scenario)

    def test_another_leaf_at_its_address_says_nothing_of_it(self):
        def scenario(shared: SharedState) -> None:
            leaf = own_leafs(shared)[0]
            state(shared, LeafResponse(421, [], b"", is_leaving=True), leaf)
            assert leaf.is_usable(shared.loop.time())

        with_shared(scenario)

    def test_its_entry_does_not_bring_it_back(self):
        table = self.leaving()
        table.apply(replace(entry("x"), sequence=9), 1.0)
        assert not table.leaf_by_id["x"].is_usable(1.0)

    # Guards against a store that loses the entry of a leaf and lists it again.
    def test_an_entry_that_is_lost_and_back_does_not_either(self):
        table = self.leaving()
        assert table.remove("x", 1.0, Removal.LATE) is not None
        table.apply(replace(entry("x"), sequence=9), 2.0)
        assert not table.leaf_by_id["x"].is_usable(2.0)

    def test_a_new_incarnation_is_used(self):
        table = self.leaving()
        table.apply(replace(entry("x"), born_ms=99), 1.0)
        assert table.leaf_by_id["x"].is_usable(1.0)

    def test_a_new_incarnation_after_its_removal_is_used(self):
        table = self.leaving()
        table.remove("x", 1.0, Removal.LATE)
        table.apply(replace(entry("x"), born_ms=99), 2.0)
        assert table.leaf_by_id["x"].is_usable(2.0)


class TestPausedLeaf:
    def test_gets_no_request_for_so_long(self):
        def scenario(shared: SharedState) -> None:
            leaf = own_leafs(shared)[0]
            state(shared, rejection(b"2.5"), leaf)
            now = shared.loop.time()
            assert leaf.is_paused(now + 2.4)
            assert not leaf.is_paused(now + 2.6)
            service = leaf.entry.service
            assert shared.selector.choose(service, ROUTE, (), 0.04) is None
            assert "paused" in shared.selector.describe(service)

        with_shared(scenario)

    def test_gets_no_health_check_either(self):
        def scenario(shared: SharedState) -> None:
            leaf = own_leafs(shared)[0]
            state(shared, rejection(b"2.5"), leaf)
            leaf.record_unreachable(shared.loop.time())
            shared.pools.check(leaf)
            assert requests_in_flight(shared) == 0

        with_shared(scenario)

    def test_a_shorter_pause_does_not_end_a_longer_one(self):
        def scenario(shared: SharedState) -> None:
            leaf = own_leafs(shared)[0]
            state(shared, rejection(b"5"), leaf)
            state(shared, rejection(b"0"), leaf)
            assert leaf.is_paused(shared.loop.time() + 4.0)

        with_shared(scenario)

    def test_only_a_rejection_counts(self):
        def scenario(shared: SharedState) -> None:
            leaf = own_leafs(shared)[0]
            response = LeafResponse(200, [], b"", retry_after=b"5")
            state(shared, response, leaf)
            assert not leaf.is_paused(shared.loop.time())

        with_shared(scenario)

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"-1",
            b"soon",
            b"Wed, 21 Oct 2026 07:28:00 GMT",
            b"nan",
            b"\xff",
        ],
    )
    def test_a_malformed_value_is_ignored(self, value):
        def scenario(shared: SharedState) -> None:
            leaf = own_leafs(shared)[0]
            state(shared, rejection(value), leaf)
            assert not leaf.is_paused(shared.loop.time())

        assert parse_seconds(value) is None
        with_shared(scenario)

    @pytest.mark.parametrize("value", [b"1e9", b"inf", b"9" * 400])
    def test_a_huge_value_is_bounded(self, value):
        def scenario(shared: SharedState) -> None:
            leaf = own_leafs(shared)[0]
            state(shared, rejection(value), leaf)
            now = shared.loop.time()
            assert leaf.is_paused(now + MAX_PAUSE_S - 1.0)
            assert not leaf.is_paused(now + MAX_PAUSE_S + 1.0)

        with_shared(scenario)


class TestAllLeafsOfSomeShardsPaused:
    """Leafs that are overloaded ask all callers to wait."""

    def test_a_search_is_refused_before_any_send(self):
        def scenario(shared: SharedState) -> None:
            for leaf in own_leafs(shared)[:2]:
                state(shared, rejection(b"1.5"), leaf)
            (answer,) = search(shared)
            assert answer.status == 503
            assert requests_in_flight(shared) == 0

        with_shared(scenario)

    def test_its_client_is_told_when_the_leafs_want_requests(self):
        def scenario(shared: SharedState) -> None:
            for leaf in own_leafs(shared)[:2]:
                state(shared, rejection(b"1.5"), leaf)
            (answer,) = search(shared)
            after_s = float(dict(answer.headers)[b"Retry-After"])
            assert 1.4 <= after_s <= 0.3 * CLIENT_WAIT_S

        with_shared(scenario)


class TestRealInstance:
    def test_a_leaf_that_says_that_it_leaves_gets_no_more_requests(
        self, tmp_path
    ):
        async def scenario(fleet) -> None:
            leaving, other = await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            leaving.is_leaving = True
            for number in range(20):
                answer = await send_request(gateway, "/o/x", f"o{number}")
                assert answer.status == 200
            assert len(leaving.received_requests) <= 1
            assert len(other.received_requests) >= 19
            checks = leaving.health_checks
            await asyncio.sleep(0.5)
            assert leaving.health_checks == checks

        run(scenario, tmp_path)

    def test_a_leaf_that_asks_for_a_pause_gets_no_more_requests(
        self, tmp_path
    ):
        async def scenario(fleet) -> None:
            paused, other = await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            paused.behaviour = Behaviour.REJECT
            paused.retry_after = b"2"
            for number in range(20):
                answer = await send_request(gateway, "/o/x", f"o{number}")
                assert answer.status == 200
            assert len(paused.received_requests) <= 1
            paused.behaviour = Behaviour.SERVE
            await asyncio.sleep(2.1)
            other.behaviour = Behaviour.REJECT
            for number in range(20):
                await send_request(gateway, "/o/x", f"p{number}")
            assert len(paused.received_requests) > 2

        run(scenario, tmp_path)
