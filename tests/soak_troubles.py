"""Troubles that ended processes, beside the faults of a soak.

Leafs answer without end, clients pipeline and do not read, and processes are
restarted among signals, ports in use and settings that are being written.
Those of soak_pressure and soak_large_entries come beside them.  Each kind has
random numbers of its own, so that the seeds keep their faults.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from random import Random

from endless_server import RESPONSE_BY_NAME
from endless_server import EndlessServer
from gateway_fleet import HOST
from gateway_fleet import Gateway
from soak_client import SentRequest
from soak_fleet import SoakFleet
from soak_fleet import redirect
from soak_large_entries import store_large_entries
from soak_pressure import pipeline_and_read
from soak_pressure import reload_in_series
from soak_pressure import send_half_health_checks
from soak_pressure import trickle_store
from soak_restarts import restart_under_troubles
from soak_restarts import rewrite_while_running

ENDLESS_S = (0.2, 0.7)
BATCHES = 10
REQUESTS_PER_BATCH = 200
WRITE_TIMEOUT_S = 0.3
UNREAD_S = (0.0, 0.7)

Trouble = Callable[[SoakFleet, Random], Awaitable[None]]


async def answer_without_end(fleet: SoakFleet, random: Random) -> None:
    """Put an endless server in the place of a leaf for a while."""
    name = random.choice(sorted(RESPONSE_BY_NAME))
    leaf = random.choice(fleet.live)
    proxied = leaf.proxied
    target = proxied.config.target
    async with EndlessServer(RESPONSE_BY_NAME[name]) as server:
        redirect(proxied, server.address)
        await asyncio.sleep(random.uniform(*ENDLESS_S))
        redirect(proxied, target)


class Troubles:
    """The troubles of one run, which end together."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.fleet = fleet
        self.seed = seed
        self.is_stopping = False
        self.sent: list[SentRequest] = []
        self.history: list[str] = []

    def start(self) -> list[asyncio.Task]:
        repeated = [
            self._repeat(answer_without_end, (0.0, 0.3)),
            self._repeat(restart_under_troubles, (0.5, 2.0)),
            self._repeat(rewrite_while_running, (0.2, 1.0)),
            self._repeat(self.pipeline_unread, (0.2, 1.0)),
            self._repeat(pipeline_and_read, (0.2, 1.0)),
            self._repeat(send_half_health_checks, (0.2, 1.0)),
            self._repeat(reload_in_series, (0.5, 2.0)),
            self._repeat(trickle_store, (0.5, 2.0)),
            self._repeat(store_large_entries, (1.0, 2.0)),
        ]
        return [asyncio.create_task(one) for one in repeated]

    def stop(self) -> None:
        self.is_stopping = True

    async def pipeline_unread(self, fleet: SoakFleet, random: Random) -> None:
        """Send requests at once on a connection, and read no answer."""
        gateway = random.choice(fleet.gateways)
        host, port = gateway.front.split(":")
        prefix = random.choice(["/o/", "/nowhere/"])
        with suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.transport.pause_reading()
            with suppress(OSError):
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    for _ in range(BATCHES):
                        writer.write(self._batch(gateway, prefix))
                        await writer.drain()
            await asyncio.sleep(random.uniform(*UNREAD_S))
            writer.transport.abort()

    def _batch(self, gateway: Gateway, prefix: str) -> bytes:
        now = asyncio.get_running_loop().time()
        requests = []
        for _ in range(REQUESTS_PER_BATCH):
            name = f"{prefix[1]}pipelined{len(self.sent)}"
            self.sent.append(SentRequest(name, gateway.name, now, now))
            requests.append(
                f"GET {prefix}{name} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: {name}\r\n\r\n"
            )
        return "".join(requests).encode()

    async def _repeat(
        self, trouble: Trouble, interval_s: tuple[float, float]
    ) -> None:
        random = Random(f"{trouble.__name__} {self.seed}")
        loop = asyncio.get_running_loop()
        while not self.is_stopping:
            await asyncio.sleep(random.uniform(*interval_s))
            self.history.append(f"{loop.time():.2f} {trouble.__name__}")
            await trouble(self.fleet, random)
