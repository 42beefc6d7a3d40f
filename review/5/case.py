"""A machine is added to four while the leafs of some services are cold."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import TROUBLE  # noqa: E402
from fleet import Fleet  # noqa: E402
from fleet import config  # noqa: E402
from fleet import now  # noqa: E402
from fleet import route  # noqa: E402
from fleet import run_case  # noqa: E402

from heatherdyke.platform_standin.leaf import StandinLeaf  # noqa: E402

ZONES = ("brescia", "bergamo", "verona", "brescia")
SERVICE_COUNT = 8
COLD_S = 60.0
# cold-per-s x cold-burst-factor + cold-slack, with a cold-per-s of 0.
BOUND = 0.0 * 1.5 + 5
WINDOW_S = 1.0
# The list of the machines has been read again by all of them after this.
SETTLED_S = 4.0
LOAD_S = 12.0


async def case(fleet: Fleet) -> list[str]:
    """Return the seconds in which a cold leaf got more than the bound."""
    services = [f"registro-{number}" for number in range(SERVICE_COUNT)]
    routes = [route(name, f"/{name}/", service=name) for name in services]
    fleet.operator_writes(config(3, routes, services))
    gateways = [
        await fleet.add_gateway(f"front-{number}", zone)
        for number, zone in enumerate(ZONES)
    ]
    await asyncio.sleep(SETTLED_S)
    for number, service in enumerate(services):
        leaf = StandinLeaf(f"leaf-{number}", service, cold_s=COLD_S)
        await fleet.add_leaf(leaf)
    if TROUBLE:
        gateways.append(await fleet.add_gateway("front-4", "bergamo"))
    await asyncio.sleep(2.0)
    ends_at = now() + LOAD_S
    await asyncio.gather(
        *(
            send_steadily(fleet, gateway, service, ends_at)
            for gateway in gateways
            for service in services
        )
    )
    return [text for leaf in fleet.leafs.values() for text in over(leaf)]


async def send_steadily(fleet, gateway, service, ends_at) -> None:
    """Send a client's requests for a service until ``ends_at``."""
    number = 0
    while now() < ends_at:
        number += 1
        request_id = f"{gateway.name}-{service}-{number}"
        await fleet.ask(gateway, f"/{service}/x", request_id)
        await asyncio.sleep(0.15)


def over(leaf: StandinLeaf) -> list[str]:
    """Return the leaf's worst second if it got more than the bound."""
    times = [item.at for item in leaf.received_requests]
    worst = max(
        (
            (sum(at <= other < at + WINDOW_S for other in times), at)
            for at in times
        ),
        default=(0, 0.0),
    )
    if worst[0] <= BOUND:
        return []
    at = worst[1]
    ids = " ".join(
        item.request_id.decode()
        for item in leaf.received_requests
        if at <= item.at < at + WINDOW_S
    )
    return [f"FAILBACK: cold {leaf.leaf_id} got {worst[0]} in a second: {ids}"]


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
