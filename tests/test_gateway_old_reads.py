"""Reads of the store that are seconds old, while everything else works."""

import asyncio
from collections.abc import Callable
from random import Random

import pytest
from gateway_fleet import Fleet
from gateway_fleet import Gateway
from gateway_fleet import config
from gateway_fleet import route
from gateway_fleet import send_request
from gateway_scenarios import run
from old_reads_fleet import CONFIG_S
from old_reads_fleet import LAG_S
from old_reads_fleet import SERVICES
from old_reads_fleet import add_leafs
from old_reads_fleet import check_version
from old_reads_fleet import lag_everything
from old_reads_fleet import routes_of
from old_reads_fleet import start_fleet

from heatherdyke.platform_standin.leaf import StandinLeaf
from heatherdyke.platform_standin.store import StandinStore

ZONE_OUT_S = 5.0
READ_KINDS = ("config", "servers", "evacuations")
KEPT = [
    route("drains", "/d/", service="drains"),
    route("vanishes", "/v/", service="vanishes"),
    route("zone", "/z/", service="zone"),
]
BEFORE = config(
    3,
    [
        *KEPT,
        route("moved", "/m/", service="old"),
        route("dropped", "/x/", service="old"),
    ],
    SERVICES,
)
AFTER = config(
    7,
    [
        *KEPT,
        route("moved", "/m/", service="new"),
        route("added", "/a/", service="new"),
    ],
    SERVICES,
)
PATHS = ("/m/1", "/x/1", "/a/1", "/d/1", "/v/1", "/z/1")


def lag_each_kind_alone(kind: str) -> Callable[[StandinStore], None]:
    def lag(store: StandinStore) -> None:
        store.old_reads.lag_by_kind = {kind: LAG_S}

    return lag


def hide_a_short_lag(store: StandinStore) -> None:
    store.old_reads.lag_s = 0.6
    store.old_reads.hides_its_age = True


LAGS = {
    "all": lag_everything,
    "config": lag_each_kind_alone("config"),
    "servers": lag_each_kind_alone("servers"),
    "evacuations": lag_each_kind_alone("evacuations"),
    "hidden": hide_a_short_lag,
}


class Sender:
    """Sends requests to all instances and keeps what became of them."""

    def __init__(self, gateways: list[Gateway]) -> None:
        self.gateways = gateways
        self.statuses: list[tuple[str, float, int]] = []
        self.is_stopping = False

    async def run(self) -> None:
        senders = [
            self._send(gateway, path)
            for gateway in self.gateways
            for path in PATHS
        ]
        await asyncio.gather(*senders)

    async def _send(self, gateway: Gateway, path: str) -> None:
        loop = asyncio.get_running_loop()
        count = 0
        while not self.is_stopping:
            count += 1
            sent_at = loop.time()
            request_id = f"{gateway.name}{path}{count}".replace("/", "-")
            answer = await send_request(gateway, path, request_id)
            self.statuses.append((path, sent_at, answer.status))
            await asyncio.sleep(0.05)

    def last_with_status(self, path: str, status: int, since: float) -> float:
        """Return when the last such request was sent, as of ``since``."""
        times = [
            sent_at - since
            for sent_path, sent_at, sent_status in self.statuses
            if sent_path == path and sent_status == status
        ]
        return max(times, default=float("-inf"))


def last_arrival(leaf: StandinLeaf, since: float) -> float:
    times = [arrival.at - since for arrival in leaf.received_requests]
    return max(times, default=float("-inf"))


class TestOldReads:
    # Guards against versions, drains, removals and zones out that take effect
    # as late as the store's stale reads show them, on all instances.
    @pytest.mark.parametrize("lag", LAGS.values(), ids=LAGS.keys())
    def test_changes_are_in_force_in_time(self, tmp_path, lag):
        async def scenario(fleet: Fleet):
            leafs = await add_leafs(fleet)
            fleet.set_config(BEFORE)
            gateways = [
                await fleet.add_gateway(name, zone)
                for name, zone in (("a", "brescia"), ("b", "verona"))
            ]
            for gateway in gateways:
                await gateway.wait_ready()
            await asyncio.sleep(0.5)
            lag(fleet.store)
            sender = Sender(gateways)
            task = asyncio.create_task(sender.run())
            await asyncio.sleep(1.0)
            # A response that shows these may already state the revision of
            # the next ones.
            fleet.set_config({**BEFORE, "version": 5})
            fleet.store.put("servers", "odd", {})
            fleet.store.put("evacuations", "nowhere", {})
            await asyncio.sleep(0.4)
            changed_at = asyncio.get_running_loop().time()
            fleet.set_config(AFTER)
            draining = {**leafs["drains-0"].entry(), "state": "draining"}
            fleet.store.put("servers", "drains-0", draining)
            fleet.store.delete("servers", "vanishes-0")
            fleet.store.put("evacuations", "verona", {})
            await asyncio.sleep(LAG_S + 1.0)
            sender.is_stopping = True
            await task
            lateness = {
                "moved": last_arrival(leafs["old-0"], changed_at),
                "moved too": last_arrival(leafs["old-1"], changed_at),
                "added": sender.last_with_status("/a/1", 404, changed_at),
                "dropped": sender.last_with_status("/x/1", 200, changed_at),
                "drains": last_arrival(leafs["drains-0"], changed_at),
                "vanishes": last_arrival(leafs["vanishes-0"], changed_at),
                "zone": last_arrival(leafs["zone-1"], changed_at),
            }
            print(lateness)
            late = {
                name: late_s
                for name, late_s in lateness.items()
                if late_s > (ZONE_OUT_S if name == "zone" else CONFIG_S)
            }
            assert not late
            assert sender.last_with_status("/a/1", 200, changed_at) > 0
            # A lag as short as the time that changes get to arrive shows
            # nowhere, and needs to be made up for by nobody.
            if lag is not hide_a_short_lag:
                logs = [fleet.read_log(gateway) for gateway in gateways]
                assert all("store_reads_behind" in log for log in logs)

        run(scenario, tmp_path)


class TestStart:
    # Guards against an instance that starts with an older version than its
    # predecessor served.
    def test_serves_the_latest_version_from_the_first_answer(self, tmp_path):
        async def scenario(fleet: Fleet):
            (gateway, _) = await start_fleet(fleet, ("a", "b"))
            lag_everything(fleet.store)
            fleet.set_config(config(2, routes_of(2), SERVICES))
            await asyncio.sleep(CONFIG_S)
            assert await check_version(gateway, 2)
            gateway.kill()
            await gateway.process.wait()
            fleet.set_config(config(3, routes_of(3), SERVICES))
            await fleet.start_process(gateway)
            await gateway.wait_ready()
            assert await check_version(gateway, 3)

        run(scenario, tmp_path)


class TestSeries:
    # Guards against bounds that hold for one change only, while versions come
    # in series and the lag grows, shrinks and differs between kinds.
    @pytest.mark.parametrize("seed", [1, 2])
    def test_each_version_is_in_force_in_time(self, tmp_path, seed):
        async def scenario(fleet: Fleet):
            gateways = await start_fleet(fleet, ("a", "b"))
            random = Random(seed)
            loop = asyncio.get_running_loop()
            due_at = {}
            late = []
            for version in range(2, 12):
                for kind in READ_KINDS:
                    lag_s = random.choice((0.0, 0.3, 1.0, 2.5, 7.0))
                    fleet.store.old_reads.lag_by_kind[kind] = lag_s
                fleet.store.old_reads.hides_its_age = random.random() < 0.5
                fleet.set_config(config(version, routes_of(version), SERVICES))
                due_at[version] = loop.time() + CONFIG_S
                await asyncio.sleep(random.uniform(0.05, 1.2))
                late += await find_late(gateways, due_at)
            await asyncio.sleep(CONFIG_S)
            late += await find_late(gateways, due_at)
            assert not late

        run(scenario, tmp_path)


async def find_late(
    gateways: list[Gateway], due_at: dict[int, float]
) -> list[str]:
    """Return the instances that do not serve the latest version due.

    They may serve later ones.
    """
    now = asyncio.get_running_loop().time()
    due = max((v for v, at in due_at.items() if at <= now), default=1)
    late = []
    for gateway in gateways:
        served = [
            version
            for version in range(due, max(due_at) + 1)
            if await check_version(gateway, version)
        ]
        if not served:
            late.append(f"{gateway.name} lacks {due}")
    return late
