"""An instance that reaches no leaf, or only some, serves through others."""

import asyncio
import socket
from contextlib import contextmanager
from copy import deepcopy

import pytest
from gateway_entries import entry
from gateway_fleet import Fleet
from gateway_fleet import send_request
from gateway_scenarios import CONFIG
from gateway_scenarios import ready_gateway
from gateway_scenarios import run
from gateway_scenarios import set_up_forwarding
from gateway_scenarios import set_up_search
from gateway_scenarios import until
from instance_scenarios import OTHER_ZONE
from instance_scenarios import OWN_ZONE
from instance_scenarios import SHARDS
from instance_scenarios import add_leafs
from instance_scenarios import requests_in_flight
from instance_scenarios import search
from instance_scenarios import serve_group
from instance_scenarios import with_shared

from heatherdyke.gateway.isolation import IsolationDetector
from heatherdyke.gateway.leaf_links import MIN_FAILED_LEAFS
from heatherdyke.gateway.leaf_links import MIN_SILENCE_S
from heatherdyke.gateway.leaf_links import LeafLinks
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.peer_send import STATUS_DECLINED
from heatherdyke.gateway.peer_send import STATUS_LEAFS_UNREACHABLE
from heatherdyke.gateway.peers import LEAFS_UNREACHABLE_S
from heatherdyke.gateway.peers import PEER_SERVICE
from heatherdyke.gateway.relay_back_off import BACK_OFF_S
from heatherdyke.gateway.relay_back_off import RelayBackOff
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.platform.instances import KIND as INSTANCE_KIND
from heatherdyke.platform_standin.store import StandinStore
from heatherdyke.standin.free_address import free_port

LEAF_COUNT = 20
# The instance has noticed by then; callers of that time are not counted.
NOTICE_S = 2.0


@contextmanager
def hanging_address():
    """Yield an address to which connections hang, as its queue is full."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        fillers = []
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            fillers.append(filler)
        try:
            yield f"127.0.0.1:{address[1]}"
        finally:
            for filler in fillers:
                filler.close()


@contextmanager
def refusing_address():
    """Yield an address that refuses connections."""
    yield f"127.0.0.1:{free_port()}"


async def add_cut_off_gateway(fleet: Fleet, store: StandinStore, address: str):
    """Start an instance for which all leafs are at ``address``.

    ``store`` tells it so; it also lists the fleet's other instances.
    """
    await store.listener.start()
    store.put("config", "main", CONFIG)
    for leaf in fleet.leafs:
        wire = deepcopy(leaf.entry())
        wire["address"] = address
        store.put("servers", leaf.leaf_id, wire)
    await until(lambda: fleet.store.names(INSTANCE_KIND) != [])
    for item in fleet.store._items_by_kind[INSTANCE_KIND].values():
        store.put(INSTANCE_KIND, item.name, item.spec)
    gateway = await fleet.add_gateway(
        "cut-off", "verona", store=str(store.listener.address)
    )
    await gateway.wait_ready()
    await until(lambda: "cut-off" in store.names(INSTANCE_KIND))
    await asyncio.sleep(0.2)
    return gateway


async def send_until_noticed(gateway) -> None:
    """Send until the instance has noticed that it reaches no leaf."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + NOTICE_S
    number = 0
    while loop.time() < end_at:
        number += 1
        await send_request(gateway, "/s/x", f"early{number}", wait_ms=300)
        await send_request(gateway, "/o/x", f"early-o{number}", wait_ms=300)


class TestRealInstances:
    # Guards against an instance that refuses its callers because it reaches
    # no leaf, although other instances do.
    @pytest.mark.parametrize("make", [hanging_address, refusing_address])
    def test_callers_of_an_instance_without_leafs_are_served(
        self, tmp_path, make
    ):
        async def scenario(fleet):
            store = StandinStore()
            await set_up_search(fleet)
            await set_up_forwarding(fleet)
            await ready_gateway(fleet, "near")
            with make() as address:
                cut_off = await add_cut_off_gateway(fleet, store, address)
                await send_until_noticed(cut_off)
                searches = [
                    await send_request(cut_off, "/s/x", f"s{number}")
                    for number in range(20)
                ]
                singles = [
                    await send_request(
                        cut_off, "/u/x", f"u{number}", "POST", b"x"
                    )
                    for number in range(20)
                ]
            assert [answer.status for answer in searches] == [200] * 20
            assert {
                answer.value_by_header["x-missing-parts"]
                for answer in searches
            } == {"0"}
            assert [answer.status for answer in singles] == [200] * 20
            runs = [run_id for leaf in fleet.leafs for run_id in leaf.runs]
            for number in range(20):
                assert runs.count(b"u%d" % number) == 1
            await store.listener.stop()

        run(scenario, tmp_path)


class TestLeafLinks:
    def links(self) -> LeafLinks:
        table = LeafTable()
        for number in range(LEAF_COUNT):
            table.apply(entry(f"leaf-{number}"), 0.0)
        return LeafLinks(IsolationDetector("a"), table)

    def fail(self, links: LeafLinks, count: int, at: float) -> None:
        for leaf in list(links.leafs.leaf_by_id.values())[:count]:
            links.record_connect_failure(leaf, at)

    def test_a_few_leafs_that_fail_do_not_count(self):
        links = self.links()
        for _ in range(10):
            self.fail(links, MIN_FAILED_LEAFS - 1, 1.0)
        assert links.can_connect()

    def test_many_leafs_that_fail_without_a_response_do(self):
        links = self.links()
        self.fail(links, MIN_FAILED_LEAFS, 1.0)
        assert not links.can_connect()
        assert links.are_lost(1.0 + MIN_SILENCE_S)

    def test_open_connections_that_serve_are_used_on(self):
        links = self.links()
        self.fail(links, MIN_FAILED_LEAFS, 1.0)
        leaf = links.leafs.leaf_by_id["leaf-19"]
        links.record_response(leaf, 1.9)
        assert not links.can_connect()
        assert not links.are_lost(2.0)

    def test_a_connection_that_is_accepted_ends_it(self):
        links = self.links()
        self.fail(links, LEAF_COUNT, 1.0)
        links.record_connected(links.leafs.leaf_by_id["leaf-3"], 5.0)
        self.fail(links, LEAF_COUNT, 4.9)
        assert links.can_connect()

    def test_an_instance_without_any_leaf_has_not_lost_one(self):
        links = LeafLinks(IsolationDetector("a"), LeafTable())
        assert not links.are_lost(100.0)


class TestRelayBackOff:
    """All leafs of a service are down: others cannot reach them either."""

    def test_others_are_not_asked_at_each_request(self):
        relays = RelayBackOff()
        relays.record_failure(["s"], 1.0)
        assert not relays.allows("s", 1.0 + 0.9 * BACK_OFF_S)
        assert relays.allows("s", 1.0 + BACK_OFF_S)
        assert relays.allows("t", 1.0)


def lose_leafs(shared: SharedState) -> None:
    """Add leafs to which all connections fail."""
    add_leafs(shared, dict.fromkeys(SHARDS, OWN_ZONE))
    add_leafs(shared, dict.fromkeys(SHARDS, OTHER_ZONE))
    now = shared.loop.time()
    shared.links.last_response_at = now - 2 * MIN_SILENCE_S
    for leaf in shared.leafs.leaf_by_id.values():
        shared.links.record_connect_failure(leaf, now)


def peer_requests(shared: SharedState) -> int:
    peers = shared.peers._table.of_service(PEER_SERVICE)
    return sum(len(peer.sent_at_by_attempt) for peer in peers)


class TestLostLinks:
    def test_a_search_is_sent_to_another_instance_and_to_no_leaf(self):
        def scenario(shared: SharedState) -> None:
            lose_leafs(shared)
            assert search(shared) == []
            assert requests_in_flight(shared) == 0
            assert peer_requests(shared) == 1

        with_shared(scenario)

    def test_without_others_that_reach_leafs_they_are_tried_directly(self):
        def scenario(shared: SharedState) -> None:
            lose_leafs(shared)
            (peer,) = shared.peers._table.of_service(PEER_SERVICE)
            shared.peers.record_leafs_unreachable(peer)
            search(shared)
            assert peer_requests(shared) == 0

        with_shared(scenario)

    def test_other_instances_learn_that_no_leaf_can_be_reached(self):
        def scenario(shared: SharedState) -> None:
            lose_leafs(shared)
            assert serve_group(shared).status == STATUS_LEAFS_UNREACHABLE

        with_shared(scenario)

    def test_a_lack_of_single_leafs_is_told_apart(self):
        def scenario(shared: SharedState) -> None:
            add_leafs(shared, dict.fromkeys(SHARDS[:5], OWN_ZONE))
            assert serve_group(shared).status == STATUS_DECLINED

        with_shared(scenario)

    def test_an_instance_without_leafs_gets_groups_again_later(self):
        def scenario(shared: SharedState) -> None:
            (peer,) = shared.peers._table.of_service(PEER_SERVICE)
            shared.peers.record_leafs_unreachable(peer)
            assert shared.peers.zones() == set()
            until_by_peer = shared.peers._without_leafs_until
            until_by_peer[peer.leaf_id] -= LEAFS_UNREACHABLE_S
            assert shared.peers.zones() == {OTHER_ZONE}

        with_shared(scenario)

    def test_new_connections_are_tried_while_none_is_accepted(self):
        """Requests would not show that the links are back."""

        def scenario(shared: SharedState) -> None:
            lose_leafs(shared)
            shared.selector.check_lost_leafs()
            assert requests_in_flight(shared) > 0

        with_shared(scenario)
