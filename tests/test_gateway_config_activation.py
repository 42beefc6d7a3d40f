"""Activation of configurations, and requests before the first one.

Guards against searches being refused when an index is resharded and the
leafs of the new shards are still cold, and against requests being refused
when all instances restart while clients already send.
"""

import asyncio
from random import Random

import msgspec
from gateway_entries import SETTINGS
from hypothesis import given
from hypothesis import strategies as st

from heatherdyke.gateway.config_activation import MAX_AGE_FRACTION
from heatherdyke.gateway.config_activation import MAX_HOLD_FRACTION
from heatherdyke.gateway.config_activation import PendingConfig
from heatherdyke.gateway.dispatch import MAX_HOLD_S
from heatherdyke.gateway.dispatch import Dispatcher
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.leaf_table import Removal
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import RouteTable
from heatherdyke.gateway.routing import RoutingConfig
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.state_updater import PEER_VERSION_CHECK_DELAY_S
from heatherdyke.gateway.state_updater import StateUpdater
from heatherdyke.net.address import Address
from heatherdyke.platform.store_pages import Change
from heatherdyke.platform.store_pages import StoredObject

CONFIG_S = 3.0
OLD = ("a1", "a2")
NEW = ("b1", "b2")


def config(version: int, shards: tuple[str, ...]) -> RoutingConfig:
    route = Route("s", "h", "/s/", True, 1.0, 0.1, 1, 2, shards=shards)
    return RoutingConfig(version, (route,))


def warm_share_of(warm: set[str]):
    return lambda route: len(warm & set(route.shards)) / len(route.shards)


class TestPendingConfig:
    def test_new_shards_are_held_until_warm_while_old_ones_serve(self):
        pending = PendingConfig()
        pending.add(config(2, NEW), 10.0, CONFIG_S, 10.0)
        cold = warm_share_of({"a1", "a2", "b1"})
        assert pending.take_ready(config(1, OLD), cold, 10.1) is None
        warm = warm_share_of({"a1", "a2", "b1", "b2"})
        assert pending.take_ready(config(1, OLD), warm, 10.2).version == 2
        assert pending.config is None

    def test_hold_ends_well_before_the_version_must_be_active(self):
        pending = PendingConfig()
        pending.add(config(2, NEW), 10.0, CONFIG_S, 10.0)
        cold = warm_share_of({"a1", "a2"})
        end = 10.0 + MAX_HOLD_FRACTION * CONFIG_S
        assert pending.take_ready(config(1, OLD), cold, end - 0.01) is None
        assert pending.take_ready(config(1, OLD), cold, end).version == 2
        assert end < 10.0 + CONFIG_S / 2

    @given(st.lists(st.floats(0.01, 0.5), min_size=1, max_size=20))
    def test_later_versions_do_not_extend_the_hold(self, gaps):
        """Frequent changes must not delay activation for ever."""
        pending = PendingConfig()
        now = 0.0
        cold = warm_share_of(set(OLD))
        for version, gap_s in enumerate(gaps, start=2):
            pending.add(config(version, NEW), now, CONFIG_S, now)
            taken = pending.take_ready(config(1, OLD), cold, now)
            if now >= MAX_HOLD_FRACTION * CONFIG_S:
                assert taken.version == version
                return
            assert taken is None
            now += gap_s

    # Guards against a version that arrives late in a watch that was not
    # interrupted, and is held until after it is due.
    @given(st.floats(0.0, 6.0))
    def test_hold_ends_in_time_for_a_version_that_arrives_late(self, age_s):
        pending = PendingConfig()
        pending.add(config(2, NEW), age_s, CONFIG_S, 0.0)
        cold = warm_share_of(set(OLD))
        at = max(age_s, MAX_AGE_FRACTION * CONFIG_S)
        assert pending.take_ready(config(1, OLD), cold, at).version == 2
        assert MAX_AGE_FRACTION * CONFIG_S < CONFIG_S - 0.5

    def test_old_shards_without_warm_leafs_are_replaced_at_once(self):
        pending = PendingConfig()
        pending.add(config(2, NEW), 0.0, CONFIG_S, 0.0)
        warm_share = warm_share_of({"b1"})
        assert pending.take_ready(config(1, OLD), warm_share, 0.0).version == 2

    def test_version_with_the_same_shards_is_not_held(self):
        pending = PendingConfig()
        pending.add(config(2, OLD), 0.0, CONFIG_S, 0.0)
        assert pending.take_ready(config(1, OLD), warm_share_of(set()), 0.0)

    def test_first_version_is_not_held(self):
        pending = PendingConfig()
        pending.add(config(1, NEW), 0.0, CONFIG_S, 0.0)
        assert pending.take_ready(None, warm_share_of(set()), 0.0).version == 1


class TestMissedVersion:
    """The connection to the store is open but delivers nothing."""

    def updater(self, relists: list[int]) -> StateUpdater:
        """Return an updater with version 4; relisting adds to the list."""
        loop = asyncio.get_running_loop()
        shared = SharedState(SETTINGS, loop, EventLog(loop.time), Random(1))
        shared.routes = RouteTable(config(4, OLD))
        updater = StateUpdater(shared)
        updater.relist_config = lambda: relists.append(1)
        return updater

    def relists_after(self, versions: list[int], received: int = 0) -> int:
        async def main() -> int:
            relists: list[int] = []
            updater = self.updater(relists)
            for version in versions:
                updater.on_peer_config_version(version)
            if received:
                updater.on_config_changed(
                    change(received, OLD), Removal.TIMELY
                )
            await asyncio.sleep(PEER_VERSION_CHECK_DELAY_S + 0.1)
            return len(relists)

        return asyncio.run(main())

    def test_relists_once(self):
        assert self.relists_after([4, 5, 5, 6]) == 1

    def test_relists_once_within_the_minimum_interval(self):
        async def main() -> int:
            relists: list[int] = []
            updater = self.updater(relists)
            for _ in range(20):
                updater.on_peer_config_version(5)
                await asyncio.sleep(0.08)
            return len(relists)

        assert asyncio.run(main()) == 1

    def test_does_not_relist_if_the_version_arrives_meanwhile(self):
        assert self.relists_after([5], received=5) == 0

    def test_ignores_older_and_equal_versions(self):
        assert self.relists_after([3, 4]) == 0


class TestPeerVersion:
    """An instance serves groups by the version active on the requester."""

    def holding_version_2(self) -> tuple[SharedState, StateUpdater]:
        loop = asyncio.get_running_loop()
        shared = SharedState(SETTINGS, loop, EventLog(loop.time), Random(1))
        shared.routes = RouteTable(config(1, OLD))
        for shard in OLD:
            shared.leafs.apply(leaf_entry(shard), loop.time())
        shared.freshness.by_kind["config"].apply_current(1, loop.time())
        updater = StateUpdater(shared)
        updater.on_config_changed(change(2, NEW), Removal.TIMELY)
        assert shared.config.version == 1
        return shared, updater

    def active_after(self, peer_version: int) -> int:
        async def main() -> int:
            shared, updater = self.holding_version_2()
            updater.on_peer_config_version(peer_version)
            return shared.config.version

        return asyncio.run(main())

    def test_version_that_arrives_late_is_not_held(self):
        """It was lost on the way, so that it may be due already."""

        async def main() -> int:
            shared, updater = self.holding_version_2()
            updater.on_config_changed(change(3, NEW), Removal.LATE)
            return shared.config.version

        assert asyncio.run(main()) == 3

    # Guards against a hold that counts from the arrival of a version which
    # the store's old reads have shown late.
    def test_version_that_may_be_due_already_is_not_held(self):
        async def main() -> int:
            loop = asyncio.get_running_loop()
            shared, _ = self.holding_version_2()
            updater = StateUpdater(shared)
            known = shared.freshness.by_kind["config"]
            known.complete_at = loop.time() - CONFIG_S
            updater.on_config_changed(change(3, NEW), Removal.TIMELY)
            return shared.config.version

        assert asyncio.run(main()) == 3

    def test_held_version_is_activated_when_a_peer_uses_it(self):
        """Otherwise this instance would route by an older version."""
        assert self.active_after(2) == 2
        assert self.active_after(3) == 2

    def test_older_peer_version_changes_nothing(self):
        assert self.active_after(1) == 1


def leaf_entry(service: str) -> LeafEntry:
    address = Address("127.0.0.1", 1)
    return LeafEntry(f"i-{service}", service, address, "z")


def change(version: int, shards: tuple[str, ...]) -> Change:
    spec = {
        "version": version,
        "routes": [
            {
                "name": "s",
                "host": "h",
                "path-prefix": "/s/",
                "kind": "safe",
                "timeout-ms": 1000,
                "target-latency-ms": 100,
                "priority": 1,
                "max-attempts": 2,
                "fan-out-services": list(shards),
                "top-k": 5,
                "min-shard-share": 0.75,
            }
        ],
        "services": [],
    }
    stored = StoredObject("main", msgspec.Raw(msgspec.json.encode(spec)))
    return Change(stored, False)


class FakeWatcher:
    """A watcher of a store that has been unavailable for a given time."""

    def __init__(self, unavailable_s: float = 0.0) -> None:
        self.listed = asyncio.Event()
        self.unavailable_s = unavailable_s

    def unavailable_for_s(self) -> float:
        return self.unavailable_s


def statuses_of(scenario, unavailable_s: float = 0.0) -> list[int]:
    """Return the statuses answered to a request before the first lists."""

    async def main() -> list[int]:
        loop = asyncio.get_running_loop()
        shared = SharedState(SETTINGS, loop, EventLog(loop.time), Random(1))
        watcher = FakeWatcher(unavailable_s)
        dispatcher = Dispatcher(shared, watcher, watcher, watcher.listed)
        request = ClientRequest(
            method=b"GET",
            target=b"/none",
            headers=[],
            body=b"",
            host="h",
            request_id=b"r1",
            wait_s=1.0,
            arrived_at=loop.time(),
        )
        answers = []
        exchange = Exchange(request, answers.append)
        dispatcher.handle(exchange)
        await scenario(shared, watcher, dispatcher, exchange)
        return [answer.status for answer in answers]

    return asyncio.run(main())


class TestRequestsBeforeFirstLists:
    def test_are_served_after_the_first_lists(self):
        async def receive_lists(shared, watcher, dispatcher, exchange):
            shared.routes = RouteTable(RoutingConfig(1))
            now = shared.loop.time()
            shared.freshness.by_kind["config"].apply_current(1, now)
            watcher.listed.set()
            for held in dispatcher.release_held():
                dispatcher.handle(held)

        assert statuses_of(receive_lists) == [404]

    # Guards against denials by an instance that may lack versions which are
    # due.
    def test_are_refused_if_routes_that_are_due_may_be_missing(self):
        async def receive_old_list(shared, watcher, dispatcher, exchange):
            shared.routes = RouteTable(RoutingConfig(1))
            then = shared.loop.time() - CONFIG_S
            shared.freshness.by_kind["config"].apply_current(1, then)
            watcher.listed.set()
            for held in dispatcher.release_held():
                dispatcher.handle(held)

        assert statuses_of(receive_old_list) == [503]

    def test_are_refused_soon_without_the_first_lists(self):
        async def wait(shared, watcher, dispatcher, exchange):
            assert not exchange.answered
            await asyncio.sleep(MAX_HOLD_S + 0.05)
            assert dispatcher.release_held() == []

        assert statuses_of(wait) == [503]

    def test_are_refused_at_once_while_the_store_is_unavailable(self):
        async def check(shared, watcher, dispatcher, exchange):
            assert exchange.answered

        assert statuses_of(check, unavailable_s=0.2) == [503]

    def test_are_dropped_if_the_client_disconnects(self):
        async def disconnect(shared, watcher, dispatcher, exchange):
            exchange.disconnect()
            assert dispatcher.release_held() == []
            await asyncio.sleep(MAX_HOLD_S + 0.05)

        assert statuses_of(disconnect) == []
