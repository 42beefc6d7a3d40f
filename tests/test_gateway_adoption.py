"""When versions come into force, and requests that come before the first.

The load: an index is cut anew, and the route names shards whose leafs are
all cold while every caller goes on searching; and all instances restart at
once while callers are already back.
"""

import asyncio
from random import Random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from heatherdyke.gateway.adoption import HOLD_SHARE
from heatherdyke.gateway.adoption import Adoption
from heatherdyke.gateway.beliefs import BEHIND_S
from heatherdyke.gateway.beliefs import Beliefs
from heatherdyke.gateway.core import Core
from heatherdyke.gateway.dispatch import MAX_HOLD_S
from heatherdyke.gateway.dispatch import Dispatcher
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.routing import RouteTable
from heatherdyke.gateway.routing import RoutingConfig
from heatherdyke.net.address import Address
from heatherdyke.platform.store import Change
from heatherdyke.platform.store import StoredObject
from tests.test_gateway_peer_api import SETTINGS

CONFIG_S = 3.0
FORMER = ("a1", "a2")
NEW = ("b1", "b2")


def config(version: int, shards: tuple[str, ...]) -> RoutingConfig:
    route = Route("s", "h", "/s/", True, 1.0, 0.1, 1, 2, shards=shards)
    return RoutingConfig(version, (route,))


def reach_of(warm: set[str]):
    return lambda route: len(warm & set(route.shards)) / len(route.shards)


class TestAdoption:
    def test_shards_that_are_cold_wait_while_the_former_serve(self):
        adoption = Adoption()
        adoption.hear(config(2, NEW), 10.0, CONFIG_S)
        cold = reach_of({"a1", "a2", "b1"})
        assert adoption.take(config(1, FORMER), cold, 10.1) is None
        warm = reach_of({"a1", "a2", "b1", "b2"})
        assert adoption.take(config(1, FORMER), warm, 10.2).version == 2
        assert adoption.config is None

    def test_the_hold_ends_well_before_the_version_must_be_in_force(self):
        adoption = Adoption()
        adoption.hear(config(2, NEW), 10.0, CONFIG_S)
        cold = reach_of({"a1", "a2"})
        end = 10.0 + HOLD_SHARE * CONFIG_S
        assert adoption.take(config(1, FORMER), cold, end - 0.01) is None
        assert adoption.take(config(1, FORMER), cold, end).version == 2
        assert end < 10.0 + CONFIG_S / 2

    @given(st.lists(st.floats(0.01, 0.5), min_size=1, max_size=20))
    def test_later_versions_do_not_lengthen_it(self, gaps):
        """A storm of changes must not keep the first from coming in force."""
        adoption = Adoption()
        now = 0.0
        cold = reach_of(set(FORMER))
        for version, gap_s in enumerate(gaps, start=2):
            adoption.hear(config(version, NEW), now, CONFIG_S)
            taken = adoption.take(config(1, FORMER), cold, now)
            if now >= HOLD_SHARE * CONFIG_S:
                assert taken.version == version
                return
            assert taken is None
            now += gap_s

    def test_former_shards_that_fail_are_left_at_once(self):
        adoption = Adoption()
        adoption.hear(config(2, NEW), 0.0, CONFIG_S)
        reach = reach_of({"b1"})
        assert adoption.take(config(1, FORMER), reach, 0.0).version == 2

    def test_a_change_that_cuts_nothing_anew_is_not_held(self):
        adoption = Adoption()
        adoption.hear(config(2, FORMER), 0.0, CONFIG_S)
        assert adoption.take(config(1, FORMER), reach_of(set()), 0.0)

    def test_the_first_version_is_not_held(self):
        adoption = Adoption()
        adoption.hear(config(1, NEW), 0.0, CONFIG_S)
        assert adoption.take(None, reach_of(set()), 0.0).version == 1


class TestInstanceThatIsBehind:
    """Its connection to the store is open and passes nothing."""

    def refreshes_after(self, versions: list[int], learns: int = 0) -> int:
        async def main() -> int:
            loop = asyncio.get_running_loop()
            core = Core(SETTINGS, loop, EventLog(loop.time), Random(1))
            core.routes = RouteTable(config(4, FORMER))
            beliefs = Beliefs(core)
            refreshes = []
            beliefs.refresh_config = lambda: refreshes.append(1)
            for version in versions:
                beliefs.hear_version(version)
            if learns:
                beliefs.config_changed(change(learns, FORMER), False)
            await asyncio.sleep(BEHIND_S + 0.1)
            return len(refreshes)

        return asyncio.run(main())

    def test_asks_the_store_again_once(self):
        assert self.refreshes_after([4, 5, 5, 6]) == 1

    def test_a_list_of_a_slow_store_is_not_cut_off_again_and_again(self):
        async def main() -> int:
            loop = asyncio.get_running_loop()
            core = Core(SETTINGS, loop, EventLog(loop.time), Random(1))
            core.routes = RouteTable(config(4, FORMER))
            beliefs = Beliefs(core)
            refreshes = []
            beliefs.refresh_config = lambda: refreshes.append(1)
            for _ in range(20):
                beliefs.hear_version(5)
                await asyncio.sleep(0.08)
            return len(refreshes)

        assert asyncio.run(main()) == 1

    def test_waits_for_what_is_on_its_way(self):
        assert self.refreshes_after([5], learns=5) == 0

    def test_others_that_are_behind_change_nothing(self):
        assert self.refreshes_after([3, 4]) == 0


class TestVersionOfOthers:
    """An instance sends for others too, by the version they have in force."""

    def adopted_after(self, heard: int) -> int:
        async def main() -> int:
            loop = asyncio.get_running_loop()
            core = Core(SETTINGS, loop, EventLog(loop.time), Random(1))
            core.routes = RouteTable(config(1, FORMER))
            for shard in FORMER:
                core.leafs.apply(leaf_entry(shard), loop.time())
            beliefs = Beliefs(core)
            beliefs.config_changed(change(2, NEW), False)
            assert core.config.version == 1
            beliefs.hear_version(heard)
            return core.config.version

        return asyncio.run(main())

    def test_a_held_version_is_put_in_force_when_another_uses_it(self):
        """Else this instance's sends would go back behind it."""
        assert self.adopted_after(2) == 2
        assert self.adopted_after(3) == 2

    def test_an_older_one_of_another_changes_nothing(self):
        assert self.adopted_after(1) == 1


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


class FirstLists:
    """Stands for a feed: whether its first list came, or the store is away."""

    def __init__(self, lost_s: float = 0.0) -> None:
        self.listed = asyncio.Event()
        self.lost_s = lost_s

    def lost_for_s(self) -> float:
        return self.lost_s


def statuses_of(scenario, lost_s: float = 0.0) -> list[int]:
    """Return what one request got that came before the first lists."""

    async def main() -> list[int]:
        loop = asyncio.get_running_loop()
        core = Core(SETTINGS, loop, EventLog(loop.time), Random(1))
        feed = FirstLists(lost_s)
        dispatcher = Dispatcher(core, feed, feed)
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
        await scenario(core, feed, dispatcher, exchange)
        return [answer.status for answer in answers]

    return asyncio.run(main())


class TestRequestsBeforeTheFirstLists:
    def test_are_served_once_the_lists_are_there(self):
        async def learn(core, feed, dispatcher, exchange):
            core.routes = RouteTable(RoutingConfig(1))
            feed.listed.set()
            for held in dispatcher.release_held():
                dispatcher.handle(held)

        assert statuses_of(learn) == [404]

    def test_are_refused_soon_if_the_lists_do_not_come(self):
        async def wait(core, feed, dispatcher, exchange):
            assert not exchange.answered
            await asyncio.sleep(MAX_HOLD_S + 0.05)
            assert dispatcher.release_held() == []

        assert statuses_of(wait) == [503]

    def test_are_refused_at_once_while_the_store_is_away(self):
        async def look(core, feed, dispatcher, exchange):
            assert exchange.answered

        assert statuses_of(look, lost_s=0.2) == [503]

    def test_are_forgotten_if_their_client_leaves(self):
        async def disconnect(core, feed, dispatcher, exchange):
            exchange.disconnect()
            assert dispatcher.release_held() == []
            await asyncio.sleep(MAX_HOLD_S + 0.05)

        assert statuses_of(disconnect) == []
