"""One unreadable entry of a foreign writer, then a drain and a restart."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import TROUBLE  # noqa: E402
from fleet import CaseError  # noqa: E402
from fleet import Fleet  # noqa: E402
from fleet import config  # noqa: E402
from fleet import now  # noqa: E402
from fleet import route  # noqa: E402
from fleet import run_case  # noqa: E402
from msgspec import Raw  # noqa: E402

from heatherdyke.platform_standin.leaf import StandinLeaf  # noqa: E402

DRAIN_S = 3.0
RECOVERY_S = 12.0
STABILITY_S = 4.0
# A version that ends in half of a pair of escapes, as a writer leaves it that
# cuts a text short between its two UTF-16 units.  It is well-formed JSON, but
# no text that can be read.
UNREADABLE = Raw(b'{"service":"archivio","version":"v1 \\ud83d"}')


async def case(fleet: Fleet) -> list[str]:
    """Return the breaches of DRAIN and RECOVER."""
    leafs = [
        await fleet.add_leaf(StandinLeaf(f"arc-{number}", "archivio"))
        for number in range(3)
    ]
    fleet.operator_writes(
        config(3, [route("archive", "/a/", service="archivio")], ["archivio"])
    )
    gateways = [
        await fleet.add_gateway("front-1", "brescia"),
        await fleet.add_gateway("front-2", "bergamo"),
    ]
    await asyncio.sleep(STABILITY_S + 0.5)
    before = await load(fleet, gateways, "before", 20)
    if sum(answer.status == 200 for answer in before) < len(before):
        raise CaseError("requests failed before the disruption")
    if TROUBLE:
        fleet.store.put("servers", "foreign-1", UNREADABLE)
        fleet.record.line("a foreign writer stored an unreadable entry")
    await asyncio.sleep(1.0)
    breaches = await drain(fleet, gateways, leafs[0])
    return breaches + await final_fault(fleet, gateways)


async def load(fleet, gateways, label, count, interval_s=0.05):
    """Send requests to the gateways in turn; return the answers."""
    tasks = []
    for number in range(count):
        gateway = gateways[number % len(gateways)]
        request_id = f"{label}-{number}"
        tasks.append(
            asyncio.create_task(fleet.ask(gateway, "/a/x", request_id))
        )
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*tasks)


async def drain(fleet, gateways, leaf) -> list[str]:
    """Drain a leaf, which serves on; return the requests that it got late."""
    leaf.sequence += 1
    fleet.store.put("servers", leaf.leaf_id, leaf.entry(draining=True))
    acknowledged_at = now()
    fleet.record.line(f"{leaf.leaf_id} reported draining")
    await load(fleet, gateways, "drain", 100)
    late = [
        item
        for item in leaf.received_requests
        if item.at > acknowledged_at + DRAIN_S
    ]
    return [
        f"DRAIN: {item.request_id.decode()} reached {leaf.leaf_id} "
        f"{item.at - acknowledged_at:.2f} s after its drain"
        for item in late
    ]


async def final_fault(fleet, gateways) -> list[str]:
    """Kill and restart all processes; return what says they don't recover."""
    for gateway in gateways:
        fleet.kill(gateway)
        await gateway.process.wait()
    await asyncio.sleep(0.5)
    for gateway in gateways:
        await fleet.start_process(gateway)
    await asyncio.sleep(RECOVERY_S)
    answers = await load(fleet, gateways, "after", 40, 0.1)
    served = sum(answer.status == 200 for answer in answers)
    fleet.record.line(f"served after the fault: {served} of {len(answers)}")
    if served < len(answers) / 4:
        return [
            f"RECOVER: {served} of {len(answers)} requests served "
            f"{RECOVERY_S:.0f} s after the restart"
        ]
    return []


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
