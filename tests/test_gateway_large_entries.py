"""Large entries of another writer, with real processes."""

import asyncio

import pytest
from gateway_fleet import Fleet
from gateway_fleet import Gateway
from gateway_fleet import send_request
from gateway_scenarios import ready_gateway
from gateway_scenarios import run
from gateway_scenarios import set_up_forwarding
from large_entries import nested_spec
from large_entries import odd_spec

# The users' bounds: an answer half a second after the timeout of its route, a
# drain in force 3 s after its acknowledgement.
TIMEOUT_S = 2.0
LATE_S = 0.5
DRAIN_S = 3.0
AFTER_DRAIN_S = 1.5
# The balancer asks once a second.
HEALTH_S = 1.0
INTERVAL_S = 0.05


SPECS = {
    "empty lists": odd_spec(b"[]"),
    "lists in lists": odd_spec(b"[[],[[]]]"),
    "nested": nested_spec(),
}


class Callers:
    """Clients and a balancer of one instance."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.statuses: list[int] = []
        self.took_s: list[float] = []
        self.health_took_s: list[float] = []

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._check_health())
            for number in range(10_000):
                group.create_task(self._send(number))
                await asyncio.sleep(INTERVAL_S)

    async def _send(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        name = f"{self.gateway.name}-{number}"
        answer = await send_request(self.gateway, "/u/x", name, "POST", b"x")
        self.statuses.append(answer.status)
        self.took_s.append(loop.time() - began_at)

    async def _check_health(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began_at = loop.time()
            assert await self.gateway.is_ready()
            self.health_took_s.append(loop.time() - began_at)
            await asyncio.sleep(INTERVAL_S)


async def play(fleet: Fleet, store_entries) -> list[Callers]:
    """Return the callers of two instances to which entries are stored."""
    await set_up_forwarding(fleet, 3)
    gateways = [await ready_gateway(fleet, name) for name in ("a", "b")]
    callers = [Callers(gateway) for gateway in gateways]
    tasks = [asyncio.create_task(item.run()) for item in callers]
    await asyncio.sleep(0.5)
    await store_entries()
    await assert_drain_is_followed(fleet)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return callers


async def assert_drain_is_followed(fleet: Fleet) -> None:
    """Drain a leaf; no request reaches it after the bound."""
    leaf = fleet.leafs[0]
    leaf.sequence += 1
    fleet.store.put("servers", leaf.leaf_id, leaf.entry(draining=True))
    drained_at = asyncio.get_running_loop().time()
    await asyncio.sleep(DRAIN_S + AFTER_DRAIN_S)
    arrivals = [item.at - drained_at for item in leaf.received_requests]
    assert arrivals
    assert [at for at in arrivals if at > DRAIN_S] == []


class TestLargeUnreadableEntries:
    # Guards against instances that answer nothing for seconds, all at once,
    # as they read what another writer has stored.
    @pytest.mark.parametrize("spec", SPECS.values(), ids=SPECS.keys())
    def test_callers_are_answered_meanwhile(self, tmp_path, spec):
        async def scenario(fleet):
            async def store_entries():
                for number in range(6):
                    fleet.store.put("servers", f"odd-{number % 3}", spec)
                    await asyncio.sleep(0.3)

            for item in await play(fleet, store_entries):
                assert set(item.statuses) == {200}
                assert max(item.took_s) < TIMEOUT_S + LATE_S
                assert max(item.health_took_s) < HEALTH_S
            log = "".join(fleet.read_log(x) for x in fleet.gateways)
            assert "process_paused" not in log

        run(scenario, tmp_path)

    # Guards against a watch whose response never fits into the memory, so
    # that no later change is seen.
    def test_many_at_once_do_not_end_the_watches(self, tmp_path):
        async def scenario(fleet):
            async def store_entries():
                spec = SPECS["empty lists"]
                for number in range(20):
                    fleet.store.put("servers", f"odd-{number}", spec)

            for item in await play(fleet, store_entries):
                assert set(item.statuses) == {200}
                assert max(item.took_s) < TIMEOUT_S + LATE_S

        run(scenario, tmp_path)
