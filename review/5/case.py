"""A long list of leafs is read stale, its second page staler than its first.

The project's stand-in of the store serves both pages from its present state;
the case answers the second one with what the store held some seconds before.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import GROWN_SITE  # noqa: E402
from fleet import TROUBLE  # noqa: E402
from fleet import CaseError  # noqa: E402
from fleet import Fleet  # noqa: E402
from fleet import config  # noqa: E402
from fleet import now  # noqa: E402
from fleet import route  # noqa: E402
from fleet import run_case  # noqa: E402

from heatherdyke.gateway.exchange import Exchange  # noqa: E402
from heatherdyke.gateway.messages import ClientRequest  # noqa: E402
from heatherdyke.gateway.messages import ClientResponse  # noqa: E402
from heatherdyke.platform_standin import store as standin_store  # noqa: E402
from heatherdyke.platform_standin.leaf import StandinLeaf  # noqa: E402

# The pages say "about 500" objects in a response.
PAGE_OBJECTS = 500
OTHER_LEAFS = 520
DRAIN_S = GROWN_SITE["drain_ms"] / 1000
STABILITY_S = GROWN_SITE["stability_ms"] / 1000
# How old the second page is when the gateway reads it, at least.
STALE_S = 1.0


async def case(fleet: Fleet) -> list[str]:
    """Return the requests that reached a leaf long after its drain."""
    fleet.bounds = GROWN_SITE
    standin_store.MAX_OBJECTS_PER_PAGE = PAGE_OBJECTS
    for number in range(OTHER_LEAFS):
        put_other_leaf(fleet, number)
    leafs = [
        await fleet.add_leaf(StandinLeaf(f"z-{number}", "archivio"))
        for number in range(3)
    ]
    fleet.operator_writes(
        config(3, [route("archive", "/a/", service="archivio")], ["archivio"])
    )
    gateway = await fleet.add_gateway("front-1", "brescia")
    await asyncio.sleep(STABILITY_S + 0.5)
    fleet.terminate(gateway)
    await gateway.process.wait()
    old = read_second_page(fleet)
    draining = leafs[0]
    draining.sequence += 1
    fleet.store.put("servers", draining.leaf_id, draining.entry(draining=True))
    drained_at = now()
    fleet.record.line(f"{draining.leaf_id} reported draining")
    await asyncio.sleep(STALE_S)
    pages = []

    def reply_to(target: bytes) -> bytes | None:
        """Return the old second page once, for a read that may be stale."""
        is_list = b"/servers?after=" in target
        if is_list:
            pages.append(target)
        is_second = is_list and b"?after=&" not in target
        if TROUBLE and is_second and b"allow-stale=1" in target:
            fleet.record.line(f"an old page to {target.decode()}")
            return old
        return None

    gateway.door.reply_to = reply_to
    await fleet.start_process(gateway)
    await fleet.wait_ready(gateway)
    if len(pages) != 2:
        raise CaseError(f"the list was not read in two pages: {pages}")
    await asyncio.sleep(STABILITY_S + 0.5)
    for number in range(60):
        await fleet.ask(gateway, "/a/x", f"a-{number}")
    return [
        f"DRAIN: {item.request_id.decode()} reached {draining.leaf_id} "
        f"{item.at - drained_at:.2f} s after its drain"
        for item in draining.received_requests
        if item.at > drained_at + DRAIN_S
    ]


def put_other_leaf(fleet: Fleet, number: int) -> None:
    """Register a leaf of a service that gets no requests."""
    entry = {
        "service": f"deposito-{number // 3}",
        "address": "127.0.0.1:9",
        "zone": "brescia",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
        "born": 1,
    }
    fleet.store.put("servers", f"a-{number:03}", entry)


def read_second_page(fleet: Fleet) -> bytes:
    """Return what the store answers now to a list of the second page."""
    bodies: list[bytes] = []

    def keep(response: ClientResponse) -> None:
        bodies.append(response.body)

    last = f"a-{PAGE_OBJECTS - 1:03}"
    target = f"/api/objects/servers?after={last}&allow-stale=1".encode()
    request = ClientRequest(b"GET", target, [], b"", "", b"", None, now())
    fleet.store._handle(Exchange(request, keep))
    return bodies[0]


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
