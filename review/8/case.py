"""Leafs reject requests while another leaf of the service is down."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet_2 import FAILED  # noqa: E402
from fleet_2 import PASSED  # noqa: E402
from fleet_2 import Client  # noqa: E402
from fleet_2 import Deployment  # noqa: E402
from fleet_2 import Leaf  # noqa: E402
from fleet_2 import config  # noqa: E402
from fleet_2 import has_trouble  # noqa: E402
from fleet_2 import play  # noqa: E402
from fleet_2 import route  # noqa: E402

SERVICE = "gowu98c"
ZONES = ("ktm-north", "lalitpur", "bhaktapur", "kirtipur")
LEAF_ZONES = (*ZONES, "ktm-north")
GATEWAY_ZONES = ("ktm-north", "ktm-north", "lalitpur", "lalitpur", *ZONES[2:])
# Of all clients together.
PER_S = 60.0
RATIO = 0.2
SLACK = 52.0
WINDOW_S = 10.0
# Doses of the site file: srv_grey (shed) of 0.8 of the leafs, 0.6 of their
# requests; one leaf of five crashes.
SHEDDING = 4
REJECTED_SHARE = 0.6
DOWN_S = 4.5
CRASHES = 2


def most_above_bound(extras: list[float], sent: list[float]) -> float:
    """Return by how many extra arrivals a window exceeds its bound."""
    return max(
        (
            sum(end - WINDOW_S < at <= end for at in extras)
            - RATIO * requests_for(end, sent)
            - SLACK
            for end in extras
        ),
        default=-SLACK,
    )


def requests_for(end: float, sent: list[float]) -> int:
    """Return the requests of the window, or of an earlier one if more."""
    starts = [end - factor * WINDOW_S for factor in (1.0, 1.5, 2.0)]
    return max(
        sum(start < at <= start + WINDOW_S for at in sent) for start in starts
    )


async def crash(deployment: Deployment, leaf: Leaf) -> None:
    """End a leaf; it is back under its id after DOWN_S."""
    deployment.record.add(f"{leaf.leaf_id} crashes")
    leaf.stop_heartbeats()
    leaf.down_s = DOWN_S
    await leaf.crash()
    leaf.born_ms += 60_000
    leaf.sequence = 1
    leaf.begin_heartbeats()


async def scenario(deployment: Deployment) -> int:
    """Have four leafs shed requests; let the fifth crash."""
    record = deployment.record
    loop = asyncio.get_running_loop()
    for number, zone in enumerate(LEAF_ZONES):
        leaf = Leaf(f"i-{number}", SERVICE, zone, processing_s=0.02)
        await deployment.add_leaf(leaf)
    card = route("card", "/card/", service=SERVICE)
    deployment.store.put("config", "main", config(3, [card], [SERVICE]))
    for number, zone in enumerate(GATEWAY_ZONES):
        await deployment.add_gateway(f"front-{zone}-{number}", zone)
    for gateway in deployment.gateways:
        await gateway.wait_ready()
    # All instances have listed each other by then.
    await asyncio.sleep(4.0)
    clients = [
        Client(
            gateway,
            record,
            "/card/",
            PER_S / len(deployment.gateways),
            prefix=f"{number}-",
        )
        for number, gateway in enumerate(deployment.gateways)
    ]
    tasks = [loop.create_task(client.run()) for client in clients]
    await asyncio.sleep(5.0)
    sound, *shedding = deployment.leafs
    record.add(f"{SHEDDING} leafs reject {REJECTED_SHARE} of their requests")
    for leaf in shedding:
        leaf.rejected_share = REJECTED_SHARE
    for _ in range(CRASHES):
        if has_trouble():
            await crash(deployment, sound)
        else:
            await asyncio.sleep(DOWN_S)
    for leaf in shedding:
        leaf.rejected_share = 0.0
    await asyncio.sleep(1.0)
    for task in tasks:
        task.cancel()
    for client in clients:
        await client.finish()
    return judge(deployment, clients)


def judge(deployment: Deployment, clients: list[Client]) -> int:
    """Compare the arrivals beyond the first of each request to the bound."""
    arrivals = sorted(
        (item.at, item.request_id)
        for leaf in deployment.leafs
        for item in leaf.received_requests
    )
    extras: list[float] = []
    known: set[bytes] = set()
    for at, request_id in arrivals:
        if request_id in known:
            extras.append(at)
        known.add(request_id)
    sent = [at for client in clients for at in client.sent_at_by_id.values()]
    above = most_above_bound(extras, sent)
    text = (
        f"{len(sent)} requests, {len(extras)} arrivals beyond the first of "
        f"each; in the worst 10 s {above:+.0f} against the bound"
    )
    deployment.record.add(text)
    print(text)
    return FAILED if above > 0 else PASSED


if __name__ == "__main__":
    play(__file__, scenario)
