"""One answer of the store is lost: a version is used long after its end."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import TROUBLE  # noqa: E402
from fleet import Answer  # noqa: E402
from fleet import CaseError  # noqa: E402
from fleet import Fleet  # noqa: E402
from fleet import config  # noqa: E402
from fleet import now  # noqa: E402
from fleet import route  # noqa: E402
from fleet import run_case  # noqa: E402

from heatherdyke.platform_standin.leaf import StandinLeaf  # noqa: E402

STABILITY_S = 4.0
CONFIG_APPLY_S = 3.0
# Answers of the store may be lost for this long; one is, to one machine.
LOSS_S = 0.5
# The version is written this long after a watch of the machine has begun.
WRITE_AFTER_WATCH_S = 0.5
SERVICES = ["archivio", "comuni-sync"]
ADDED = "/added/"
MOVED = "/moved/"


async def case(fleet: Fleet) -> list[str]:
    """Return the requests that were handled as an old version allows."""
    for service in SERVICES:
        for number in range(2):
            await fleet.add_leaf(StandinLeaf(f"{service}-{number}", service))
    moved = route("moved", MOVED, service="archivio")
    fleet.operator_writes(config(3, [moved], SERVICES))
    gateways = [
        await fleet.add_gateway(f"front-{number}", zone)
        for number, zone in enumerate(("brescia", "bergamo", "verona"))
    ]
    target = gateways[0]
    await asyncio.sleep(STABILITY_S + 0.5)
    begun_at = await next_watch(target)
    await asyncio.sleep(begun_at + WRITE_AFTER_WATCH_S - now())
    if TROUBLE:
        target.door.loses = lambda target: b"/config?watch=" in target
    loss_ended_at = now() + LOSS_S
    acknowledged_at = fleet.operator_writes(
        config(
            7,
            [
                route("moved", MOVED, service="comuni-sync"),
                route("added", ADDED, service="comuni-sync"),
            ],
            SERVICES,
        )
    )
    await asyncio.sleep(loss_ended_at - now())
    target.door.loses = lambda target: False
    if TROUBLE and len(target.door.lost) != 1:
        raise CaseError(f"not one answer was lost: {target.door.lost}")
    fleet.record.line(f"answers lost: {target.door.lost}")
    in_touch_at = max(
        loss_ended_at + STABILITY_S, acknowledged_at + CONFIG_APPLY_S
    )
    # A margin, so that the machine is certainly in touch.
    await asyncio.sleep(in_touch_at + 0.05 - now())
    fleet.record.line("all machines are in touch")
    breaches = []
    for number in range(20):
        for gateway in gateways:
            for path in (MOVED, ADDED):
                request_id = f"{gateway.name}-{path.strip('/')}-{number}"
                answer = await fleet.ask(gateway, path + "x", request_id)
                late_s = answer.sent_at - acknowledged_at
                breaches += breach(answer, path, late_s)
        await asyncio.sleep(0.05)
    return breaches


async def next_watch(gateway) -> float:
    """Wait for the machine's next watch; return when it began."""
    last = gateway.door.watch_at["config"]
    while gateway.door.watch_at["config"] == last:
        await asyncio.sleep(0.01)
    return gateway.door.watch_at["config"]


def breach(answer: Answer, path: str, late_s: float) -> list[str]:
    """Return how CONFIG was broken for a request, if it was."""
    stamp = answer.header.get("x-response-stamp", "")
    text = f"{answer.request_id}, sent {late_s:.2f} s after version 7"
    if path == ADDED and answer.status == 404:
        return [f"CONFIG: {text}, got 404 though the route is there"]
    if path == MOVED and stamp.startswith("archivio"):
        return [f"CONFIG: {text}, was run by the old service ({stamp})"]
    return []


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
