"""What happens in the soak beside its faults, with random numbers of its own.

Clients send requests that take long, and another writer leaves entries among
those of the leafs that cannot be read or name no leaf.
"""

import asyncio
from dataclasses import dataclass
from random import Random

from gateway_fleet import Gateway
from msgspec import Raw
from soak_client import SentRequest
from soak_client import SoakClient
from soak_crashing import ProxiedLeaf
from soak_fleet import LONG_TIMEOUT_MS
from soak_fleet import SoakFleet

ODD_SPECS = (
    rb'{"service":"one","version":"v1 \ud83d"}',
    b'{"service":"one","slots":NaN}',
    b'{"service":"one","x":' + b"[" * 1100 + b"]" * 1100 + b"}",
    b'{"service":"one","zone":"\xff"}',
    b"[]",
)
WRITER_INTERVAL_S = (0.2, 1.0)
# How long an odd entry replaces that of a leaf.
REPLACED_S = 0.7
LONG_CLIENT_INTERVAL_S = 0.1


@dataclass
class LongClient(SoakClient):
    """Sends requests of a route whose leafs take long."""

    wait_s: float = LONG_TIMEOUT_MS / 1000
    is_stopping: bool = False

    async def run(self, name: str) -> None:
        try:
            while not self.is_stopping:
                await self.send("/l/", f"l{name}-{len(self.sent)}", "POST")
                await asyncio.sleep(LONG_CLIENT_INTERVAL_S)
        finally:
            self.close()


class ForeignWriter:
    """Stores odd entries, some under the name of a leaf for a while."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = Random(seed)
        self.is_stopping = False
        self._count = 0

    async def run(self) -> None:
        while not self.is_stopping:
            spec = Raw(self.random.choice(ODD_SPECS))
            if self.random.random() < 0.5:
                self._count += 1
                self.fleet.store.put("servers", f"odd-{self._count}", spec)
            else:
                await self._replace(self.random.choice(self.fleet.live), spec)
            await asyncio.sleep(self.random.uniform(*WRITER_INTERVAL_S))

    async def _replace(self, leaf: ProxiedLeaf, spec: Raw) -> None:
        self.fleet.store.put("servers", leaf.leaf_id, spec)
        await asyncio.sleep(REPLACED_S)
        if leaf in self.fleet.live:
            leaf.sequence += 1
            self.fleet.publish(leaf)


class Background:
    """The writer and the clients of one run, which end together."""

    def __init__(
        self, fleet: SoakFleet, gateways: list[Gateway], seed: int
    ) -> None:
        self.writer = ForeignWriter(fleet, seed)
        self.clients = [
            LongClient(gateway, self.writer.random) for gateway in gateways
        ]

    def start(self) -> list[asyncio.Task]:
        runs = [self.writer.run()]
        runs += [
            client.run(str(number))
            for number, client in enumerate(self.clients)
        ]
        return [asyncio.create_task(run) for run in runs]

    def stop(self) -> None:
        self.writer.is_stopping = True
        for client in self.clients:
            client.is_stopping = True

    @property
    def sent(self) -> list[SentRequest]:
        return [sent for client in self.clients for sent in client.sent]
