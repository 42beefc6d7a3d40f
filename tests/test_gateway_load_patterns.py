"""Loads and faults that deployments meet, without network.

Each class names the pattern; its tests fail with the policy before.
"""

import asyncio
from random import Random
from unittest import mock

from gateway_entries import entry
from instance_scenarios import CLIENT_WAIT_S
from instance_scenarios import OTHER_ZONE
from instance_scenarios import OWN_ZONE
from instance_scenarios import SHARDS
from instance_scenarios import add_leafs
from instance_scenarios import make_shared
from instance_scenarios import requests_in_flight
from instance_scenarios import search
from instance_scenarios import serve_group
from instance_scenarios import with_shared

from heatherdyke.gateway.cold_rate_limit import ColdRateLimiter
from heatherdyke.gateway.isolation import BALANCER_REACTION_S
from heatherdyke.gateway.isolation import MIN_CONSECUTIVE_FAILURES
from heatherdyke.gateway.isolation import IsolationDetector
from heatherdyke.gateway.leaf_choice import choose_leaf
from heatherdyke.gateway.leaf_pool import SLOW_CONNECT_S
from heatherdyke.gateway.leaf_table import SUSPECT_FIRST_S
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.leaf_table import Removal
from heatherdyke.gateway.peers import PEER_SERVICE
from heatherdyke.gateway.refusal import RefusalReason
from heatherdyke.gateway.refusal import make_refusal
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.store_watcher import latest_changes
from heatherdyke.platform.store_pages import Change
from heatherdyke.platform.store_pages import StoredObject

MEDIAN_S = 0.04


async def hang(*arguments, **options) -> None:
    """Connect to an address whose packets are dropped."""
    await asyncio.sleep(CLIENT_WAIT_S)


def lose_other_zone(shared: SharedState) -> None:
    """Record what is noticed while the other zone drops all packets."""
    now = shared.loop.time()
    shared.isolation.last_response_at = now - 1.0
    for _ in range(MIN_CONSECUTIVE_FAILURES):
        shared.isolation.record_failure(OTHER_ZONE, now)
    for peer in shared.peers._table.of_service(PEER_SERVICE):
        peer.record_unreachable(now)


class TestManyInstancesAtSmallLeafs:
    """Many instances send to leafs of two slots, each shard in two zones."""

    def leafs(self) -> LeafTable:
        table = LeafTable()
        for zone in ("a", "b"):
            table.apply(entry(f"x-{zone}", zone=zone, slots=2), 0.0)
        return table

    def test_a_leaf_with_both_slots_in_use_gets_no_third_request(self):
        table = self.leafs()
        near = table.leaf_by_id["x-a"]
        leafs = table.of_service("s")
        assert choose_leaf(leafs, (), "a", MEDIAN_S, 1.0) is near
        near.start(1, 1.0)
        near.start(2, 1.0)
        assert choose_leaf(leafs, (), "a", MEDIAN_S, 1.0) is not near

    def test_a_leaf_that_is_much_slower_is_avoided(self):
        table = self.leafs()
        near = table.leaf_by_id["x-a"]
        for step in range(10):
            near.record_response(step / 10, 8 * MEDIAN_S, MEDIAN_S)
        leafs = table.of_service("s")
        assert choose_leaf(leafs, (), "a", MEDIAN_S, 1.0) is not near


class TestZoneCutByDroppedPackets:
    """A zone is cut off; connections hang, clients still reach it."""

    def test_a_search_that_needs_another_zone_is_refused_at_once(self):
        def scenario(shared: SharedState) -> None:
            zones = dict.fromkeys(SHARDS[:6], OWN_ZONE)
            zones.update(dict.fromkeys(SHARDS[6:], OTHER_ZONE))
            add_leafs(shared, zones)
            lose_other_zone(shared)
            answers = search(shared)
            assert [answer.status for answer in answers] == [503]
            assert requests_in_flight(shared) == 0

        with_shared(scenario)

    def test_a_search_that_the_own_zone_can_answer_is_sent(self):
        def scenario(shared: SharedState) -> None:
            add_leafs(shared, dict.fromkeys(SHARDS, OWN_ZONE))
            lose_other_zone(shared)
            assert search(shared) == []
            assert requests_in_flight(shared) == len(SHARDS)

        with_shared(scenario)

    def test_clients_are_told_to_return_when_other_zones_get_them(self):
        def scenario(shared: SharedState) -> None:
            add_leafs(shared, dict.fromkeys(SHARDS, OTHER_ZONE))
            lose_other_zone(shared)
            for _ in range(3):
                search(shared)
            # As the process does several times a second.
            shared.isolation.update(shared.loop.time())
            answers = search(shared)
            after_s = float(dict(answers[0].headers)[b"Retry-After"])
            assert shared.isolation.should_be_unready(shared.loop.time())
            assert after_s >= BALANCER_REACTION_S - 0.1

        with_shared(scenario)

    def test_they_do_not_all_return_at_the_same_time(self):
        after_s = {
            make_refusal(
                RefusalReason.NO_LEAF, 60.0, Random(seed), BALANCER_REACTION_S
            ).retry_after_s
            for seed in range(20)
        }
        assert min(after_s) >= BALANCER_REACTION_S
        assert max(after_s) - min(after_s) > 0.2

    def test_a_leaf_of_the_zone_is_checked_while_none_gets_requests(self):
        """The instances there may all have ended while leafs respond."""

        def scenario(shared: SharedState) -> None:
            add_leafs(shared, dict.fromkeys(SHARDS, OTHER_ZONE))
            shared.selector.check_unreachable_zones()
            assert requests_in_flight(shared) == 0
            lose_other_zone(shared)
            shared.selector.check_unreachable_zones()
            assert requests_in_flight(shared) == 1

        with_shared(scenario)

    def test_a_response_ends_the_refusals(self):
        def scenario(shared: SharedState) -> None:
            add_leafs(shared, dict.fromkeys(SHARDS, OTHER_ZONE))
            lose_other_zone(shared)
            now = shared.loop.time()
            shared.isolation.record_response(OTHER_ZONE, now)
            assert search(shared) == []

        with_shared(scenario)

    def test_hanging_connections_count_before_they_time_out(self):
        async def main() -> int:
            loop = asyncio.get_running_loop()
            shared = make_shared(loop)
            add_leafs(shared, dict.fromkeys(SHARDS, OTHER_ZONE))
            for leaf in shared.leafs.leaf_by_id.values():
                shared.pools.check(leaf)
            await asyncio.sleep(1.5 * SLOW_CONNECT_S)
            return shared.isolation.failures

        with mock.patch.object(
            asyncio.BaseEventLoop, "create_connection", hang
        ):
            assert asyncio.run(main()) == len(SHARDS)

    def test_instances_that_do_not_continue_a_group_count(self):
        def scenario(shared: SharedState) -> None:
            (peer,) = shared.peers._table.of_service(PEER_SERVICE)
            pool = shared.peers.pools.of(peer)
            shared.peers.pools.on_silent(pool, shared.loop.time())
            assert shared.isolation.failures == 1

        with_shared(scenario)

    def test_late_failures_of_requests_sent_in_the_cut_do_not_count(self):
        """After the cut its requests still time out one by one."""
        isolation = IsolationDetector(OWN_ZONE)
        isolation.record_response(OTHER_ZONE, 5.0)
        for _ in range(20):
            isolation.record_failure(OTHER_ZONE, sent_at=4.5)
            isolation.record_request(refused=True)
        assert not isolation.should_be_unready(5.5)


class TestLeafsOfManyShardsSuspected:
    """Many shards have no usable leaf until the next health checks."""

    def test_clients_return_after_the_first_check_of_a_leaf(self):
        after_s = [
            make_refusal(
                RefusalReason.NO_LEAF, CLIENT_WAIT_S, Random(seed)
            ).retry_after_s
            for seed in range(100)
        ]
        assert min(after_s) > SUSPECT_FIRST_S


class TestConnectionsToOtherZoneInUse:
    """No instance of the other zone is usable, connections there hang."""

    def test_a_search_is_refused_before_any_leaf_gets_it(self):
        def scenario(shared: SharedState) -> None:
            zones = dict.fromkeys(SHARDS[:6], OWN_ZONE)
            zones.update(dict.fromkeys(SHARDS[6:], OTHER_ZONE))
            add_leafs(shared, zones)
            for peer in shared.peers._table.of_service(PEER_SERVICE):
                peer.record_unreachable(shared.loop.time())
            for shard in SHARDS[6:]:
                (leaf,) = shared.leafs.of_service(shard)
                pool = shared.pools.of(leaf)
                pool.open_count = pool.limit
            answers = search(shared)
            assert [answer.status for answer in answers] == [503]
            assert requests_in_flight(shared) == 0

        with_shared(scenario)


class TestLeafsOfSomeShardsStateARate:
    """Both leafs of some shards accept fewer requests than there are."""

    def set_up(self, shared: SharedState, limited: int) -> None:
        add_leafs(shared, dict.fromkeys(SHARDS, OWN_ZONE))
        add_leafs(shared, dict.fromkeys(SHARDS, OTHER_ZONE))
        now = shared.loop.time()
        for shard in SHARDS[:limited]:
            for leaf in shared.leafs.of_service(shard):
                shared.pools.rates.record_rate(leaf.leaf_id, 1.0, now)

    def test_a_search_that_needs_them_is_refused_before_any_send(self):
        """Sends for a part of its shards would be lost work."""

        def scenario(shared: SharedState) -> None:
            self.set_up(shared, limited=2)
            (answer,) = search(shared)
            assert answer.status == 503
            assert requests_in_flight(shared) == 0

        with_shared(scenario)

    def test_its_client_is_told_when_a_leaf_accepts_a_request_again(self):
        def scenario(shared: SharedState) -> None:
            self.set_up(shared, limited=2)
            (answer,) = search(shared)
            now = shared.loop.time()
            wait_s = min(
                shared.pools.rates.wait_s(leaf.leaf_id, now)
                for shard in SHARDS[:2]
                for leaf in shared.leafs.of_service(shard)
            )
            retry_after_s = float(dict(answer.headers)[b"Retry-After"])
            assert retry_after_s >= wait_s - 0.001

        with_shared(scenario)

    def test_a_search_that_the_others_can_answer_is_sent(self):
        def scenario(shared: SharedState) -> None:
            self.set_up(shared, limited=1)
            assert search(shared) == []
            assert requests_in_flight(shared) == len(SHARDS) - 1

        with_shared(scenario)

    def test_a_suspect_leaf_is_not_checked_beyond_its_rate(self):
        def scenario(shared: SharedState) -> None:
            self.set_up(shared, limited=len(SHARDS))
            now = shared.loop.time()
            for leaf in shared.leafs.leaf_by_id.values():
                leaf.record_unreachable(now)
                shared.pools.check(leaf)
            assert requests_in_flight(shared) == 0

        with_shared(scenario)


class TestGroupsDeclinedInAnOutageOfManyLeafs:
    """An instance lacks leafs that others still use, and declines often."""

    def test_a_declined_group_uses_no_fleet_wide_allowance(self):
        """The requester queries the shards itself and counts them."""

        def scenario(shared: SharedState) -> None:
            add_leafs(shared, dict.fromkeys(SHARDS[:5], OWN_ZONE))
            now = shared.loop.time()
            for leaf in shared.leafs.leaf_by_id.values():
                leaf.cold_until = now + 60.0
            limiter = ColdRateLimiter(now - 60.0)
            shared.selector._cold_rate_limiter = limiter
            answers = [serve_group(shared) for _ in range(100)]
            assert {answer.status for answer in answers} == {503}
            assert not shared.budget._requests_by_service
            assert not any(limiter._sent_at_by_leaf.values())

        with_shared(scenario)


class TestStoreLosesEntriesOfLiveLeafs:
    """The store's leases lapse in an outage; the leafs go on serving."""

    EXPIRY_S = 3.6
    DRAIN_S = 3.0

    def table(self, responded_at: float | None) -> LeafTable:
        table = LeafTable(self.EXPIRY_S, self.DRAIN_S)
        table.apply(entry("x"), 0.0)
        if responded_at is not None:
            leaf = table.leaf_by_id["x"]
            leaf.record_response(responded_at, MEDIAN_S, MEDIAN_S)
        return table

    def test_a_leaf_that_responds_is_kept_until_its_entry_is_back(self):
        table = self.table(responded_at=9.9)
        assert table.remove("x", 10.0, Removal.TIMELY) is None
        assert table.leaf_by_id["x"].is_usable(11.9)
        table.apply(entry("x", sequence=1), 11.9)
        assert table.expire(60.0) == []

    def test_it_is_dropped_before_a_leaf_that_left_may_be_gone(self):
        table = self.table(responded_at=9.9)
        table.remove("x", 10.0, Removal.TIMELY)
        (dropped,) = table.expire(10.0 + self.DRAIN_S - 0.9)
        assert dropped.leaf_id == "x"

    def test_a_leaf_that_fell_silent_is_dropped_at_once(self):
        for responded_at in (None, 9.9 - self.EXPIRY_S):
            table = self.table(responded_at)
            assert table.remove("x", 10.0, Removal.TIMELY) is not None

    def test_a_leaf_that_announced_its_end_is_dropped_at_once(self):
        table = self.table(responded_at=9.9)
        table.apply(entry("x", sequence=1, draining=True), 9.95)
        assert table.remove("x", 10.0, Removal.TIMELY) is not None

    def test_an_entry_that_is_lost_and_back_in_one_batch_is_unchanged(self):
        """The store stayed silent; its changes arrive all at once."""
        lost = Change(StoredObject("x", None), deleted=True)
        back = Change(StoredObject("x", "entry"), deleted=False)
        other = Change(StoredObject("y", "entry"), deleted=False)
        assert latest_changes([lost, other, back]) == [other, back]
        assert latest_changes([back, lost]) == [lost]

    def test_a_removal_that_is_noticed_late_is_not_put_off(self):
        table = self.table(responded_at=9.9)
        assert table.remove("x", 10.0, Removal.LATE) is not None
