"""Fleets and configurations for tests of gateway processes."""

import asyncio

from gateway_fleet import Fleet
from gateway_fleet import config
from gateway_fleet import route

from heatherdyke.platform_standin.leaf import StandinLeaf

SHARDS = [f"shard{number}" for number in range(6)]
SEARCH = route(
    "search",
    "/s/",
    **{"fan-out-services": SHARDS, "top-k": 20, "min-shard-share": 0.5},
)
ONE = route("one", "/o/", service="one")
UNSAFE = route("unsafe", "/u/", service="one", kind="unsafe")
CONFIG = config(3, [SEARCH, ONE, UNSAFE], [*SHARDS, "one"])


async def set_up_search(fleet: Fleet, zone: str = "brescia") -> None:
    for shard in SHARDS:
        for copy in range(2):
            leaf = StandinLeaf(f"{shard}-{copy}", shard, zone=zone)
            await fleet.add_leaf(leaf)
    fleet.set_config(CONFIG)


async def set_up_forwarding(fleet: Fleet, count: int = 2) -> list[StandinLeaf]:
    leafs = [
        await fleet.add_leaf(StandinLeaf(f"one-{number}", "one"))
        for number in range(count)
    ]
    fleet.set_config(CONFIG)
    return leafs


async def ready_gateway(fleet: Fleet, name: str = "a", zone: str = "brescia"):
    gateway = await fleet.add_gateway(name, zone)
    await gateway.wait_ready()
    return gateway


async def until(condition, timeout_s: float = 5.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def run(scenario, directory) -> None:
    async def main():
        async with Fleet(directory) as fleet:
            await scenario(fleet)

    asyncio.run(main())
