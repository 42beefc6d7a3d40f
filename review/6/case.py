"""Another writer stores large entries that cannot be read."""

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
from msgspec import Raw  # noqa: E402

SERVICE = "gowu98c"
ZONES = ("ktm-north", "lalitpur")
VALUE_BYTES = 1_048_576
# For the rest of the object, and of its page.
MARGIN_BYTES = 16_384
ENTRIES = 2
WATCHED_S = 20.0
# Two missed questions, a second apart, take an instance out of rotation; what
# is sent later is not judged.
BALANCER_S = 2.0
TIMEOUT_S = 0.4
LATE_S = 0.5
MIN_LATE = 8
MIN_LATE_SHARE = 0.25
PER_S = 20.0


def unreadable_value() -> bytes:
    """Return JSON with empty lists, and half of a surrogate pair."""
    head = b'{"label":"\\ud83d","postings":['
    count = (VALUE_BYTES - len(head) - MARGIN_BYTES) // len(b"[],")
    return head + b",".join([b"[]"] * count) + b"]}"


async def scenario(deployment: Deployment) -> int:
    """Store the entries once while clients send requests."""
    record = deployment.record
    store = deployment.store
    loop = asyncio.get_running_loop()
    for number, zone in enumerate(ZONES):
        leaf = Leaf(f"i-{number}", SERVICE, zone, processing_s=0.01)
        await deployment.add_leaf(leaf)
    recall = route(
        "recall",
        "/recall/",
        service=SERVICE,
        kind="unsafe",
        **{"timeout-ms": int(TIMEOUT_S * 1000), "target-latency-ms": 71},
    )
    store.put("config", "main", config(3, [recall], [SERVICE]))
    for number, zone in enumerate(ZONES):
        await deployment.add_gateway(f"front-{zone}-{number}", zone)
    for gateway in deployment.gateways:
        await gateway.wait_ready()
    # The instances are in touch: bounds.stability-ms have passed.
    await asyncio.sleep(4.5)
    clients = [
        Client(
            gateway,
            record,
            "/recall/",
            PER_S,
            "POST",
            b"recall",
            prefix=gateway.zone[:3],
        )
        for gateway in deployment.gateways
    ]
    tasks = [loop.create_task(client.run()) for client in clients]
    await asyncio.sleep(2.0)
    stored_at = loop.time()
    if has_trouble():
        value = unreadable_value()
        for number in range(ENTRIES):
            name = f"i-other-{number}"
            record.add(f"another writer stores {name}, {len(value)} bytes")
            store.put("servers", name, Raw(value))
    await asyncio.sleep(WATCHED_S)
    for task in tasks:
        task.cancel()
    for client in clients:
        await client.finish()
    return judge(deployment, clients, stored_at + BALANCER_S)


def judge(
    deployment: Deployment, clients: list[Client], sent_until: float
) -> int:
    """Count the requests without an answer half a second after the timeout.

    Those count that are unanswered at their route's timeout.  Clients wait for
    4 s, and do not abandon requests that may not be repeated.
    """
    took = [
        client.answered_at_by_id[request_id] - sent_at
        for client in clients
        for request_id, sent_at in client.sent_at_by_id.items()
        if sent_at < sent_until
    ]
    unanswered = sum(item > TIMEOUT_S for item in took)
    late = sum(item > TIMEOUT_S + LATE_S for item in took)
    text = (
        f"{len(took)} requests, {unanswered} unanswered at their timeout, "
        f"{late} of them also {LATE_S} s later; the slowest took "
        f"{max(took):.1f} s"
    )
    deployment.record.add(text)
    print(text)
    is_broken = late >= MIN_LATE and late > MIN_LATE_SHARE * unanswered
    return FAILED if is_broken else PASSED


if __name__ == "__main__":
    play(__file__, scenario)
