"""Two of a zone's three machines are stopped in turn, under steady load."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import TROUBLE  # noqa: E402
from fleet import Answer  # noqa: E402
from fleet import Fleet  # noqa: E402
from fleet import Gateway  # noqa: E402
from fleet import config  # noqa: E402
from fleet import now  # noqa: E402
from fleet import route  # noqa: E402
from fleet import run_case  # noqa: E402

from heatherdyke.platform_standin.leaf import StandinLeaf  # noqa: E402

GAP_S = 1.3
GRACE_S = 6.0
STABILITY_S = 4.0
RESTART_S = 1.0
# A request that is sent this long after the SIGTERM is counted if it is cut.
EXCUSED_S = 3.0
TIMEOUT_S = 5.0
WORK_S = 3.0
CLIENT_INTERVAL_S = 0.2
ZONE = "brescia"


class Balancer:
    """Forwards new connections as the page on the ingress says."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._misses = dict.fromkeys(fleet.gateways, 0)

    async def run(self) -> None:
        """Ask each machine once a second for its readiness."""
        while True:
            gateways = self._fleet.gateways.values()
            next_at = now() + 1.0
            await asyncio.gather(*(self._check(item) for item in gateways))
            await asyncio.sleep(max(0.0, next_at - now()))

    async def _check(self, gateway: Gateway) -> None:
        ready = await self._fleet.is_ready(gateway)
        misses = 0 if ready else self._misses[gateway.name] + 1
        if (misses < 2) != (self._misses[gateway.name] < 2):
            state = "in" if ready else "out of"
            self._fleet.record.line(f"{gateway.name} {state} rotation")
        self._misses[gateway.name] = misses

    def choose(self, client: int) -> Gateway:
        """Return the machine of a client of the zone."""
        everywhere = list(self._fleet.gateways.values())
        own = [item for item in everywhere if item.zone == ZONE]
        rotating = [item for item in own if self._misses[item.name] < 2]
        if not rotating:
            own = [item for item in everywhere if item.zone != ZONE]
            rotating = own
        if len(rotating) * 2 < len(own):
            rotating = own
        return random.Random(client).choice(rotating)  # noqa: S311


async def case(fleet: Fleet) -> list[str]:
    """Return the requests that were cut."""
    for number in range(8):
        zone = (ZONE, "bergamo")[number % 2]
        leaf = StandinLeaf(f"arc-{number}", "archivio", zone, WORK_S)
        await fleet.add_leaf(leaf)
    archive = route("archive", "/a/", service="archivio", kind="unsafe")
    archive["target-latency-ms"] = 4000
    fleet.operator_writes(config(3, [archive], ["archivio"]))
    for name, zone in (
        ("front-1", ZONE),
        ("front-2", ZONE),
        ("front-3", ZONE),
        ("front-4", "bergamo"),
        ("front-5", "bergamo"),
    ):
        await fleet.add_gateway(name, zone)
    await asyncio.sleep(STABILITY_S + 0.5)
    balancer = Balancer(fleet)
    checks = asyncio.create_task(balancer.run())
    stops: dict[str, float] = {}
    rolls = asyncio.create_task(roll(fleet, stops))
    sends = []
    client = 0
    while not rolls.done():
        client += 1
        gateway = balancer.choose(client)
        sends.append(
            asyncio.create_task(fleet.ask(gateway, "/a/x", f"c-{client}"))
        )
        await asyncio.sleep(CLIENT_INTERVAL_S)
    answers = await asyncio.gather(*sends)
    checks.cancel()
    await asyncio.gather(checks, rolls, return_exceptions=True)
    return [text for item in answers if (text := breach(fleet, item, stops))]


async def roll(fleet: Fleet, stops: dict[str, float]) -> None:
    """Stop and start two machines, the second GAP_S after the first."""
    await asyncio.sleep(3.0)
    restarts = []
    for name in ("front-1", "front-2"):
        if TROUBLE:
            stops[name] = now()
            restarts.append(
                asyncio.create_task(restart(fleet, fleet.gateways[name]))
            )
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(GRACE_S)
    await asyncio.gather(*restarts)


async def restart(fleet: Fleet, gateway: Gateway) -> None:
    """Stop a machine, and start it again once it has ended."""
    fleet.terminate(gateway)
    try:
        async with asyncio.timeout(GRACE_S):
            await gateway.process.wait()
    except TimeoutError:
        fleet.kill(gateway)
        await gateway.process.wait()
    fleet.record.line(f"{gateway.name} ended")
    await asyncio.sleep(RESTART_S)
    await fleet.start_process(gateway)


def breach(
    fleet: Fleet, answer: Answer, stops: dict[str, float]
) -> str | None:
    """Return how LOST was broken for a request, None if it was not."""
    stopped_at = stops.get(answer.gateway)
    if answer.status is not None or stopped_at is None:
        return None
    leafs = [
        leaf.leaf_id
        for leaf in fleet.leafs.values()
        if answer.request_id.encode() in leaf.runs
    ]
    sent_s = answer.sent_at - stopped_at
    ended_s = answer.ended_at - stopped_at
    in_time = answer.ended_at - answer.sent_at < TIMEOUT_S - 0.1
    counted = EXCUSED_S < sent_s and 0.0 < ended_s <= GRACE_S + 1.0
    if not (leafs and in_time and counted):
        return None
    return (
        f"LOST: {answer.request_id} was sent {sent_s:.2f} s after the SIGTERM "
        f"of {answer.gateway}, ran at {leafs}, and its connection ended "
        f"without an answer {ended_s - sent_s:.2f} s later"
    )


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
