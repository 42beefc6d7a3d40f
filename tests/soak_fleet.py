"""The fleet of the soak test: leafs and store behind proxies, clients."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from random import Random

from gateway_fleet import HOST
from gateway_fleet import Fleet
from gateway_fleet import Gateway
from gateway_fleet import RawAnswer
from gateway_fleet import config
from gateway_fleet import route

from heatherdyke.platform_standin.leaf import StandinLeaf
from heatherdyke.standin.fault_proxy_model import RouteConfig
from heatherdyke.standin.fault_proxy_tcp import TcpRoute

SHARDS = [f"shard{number}" for number in range(6)]
WEIGHT_BY_SPLIT_SERVICE = {"three": 3, "two": 1}
SERVICES = [*SHARDS, "one", *WEIGHT_BY_SPLIT_SERVICE]
ZONES = ["brescia", "verona"]
WAIT_S = 0.6
# How long after its deadline a request may be answered: the process of the
# test runs leafs, proxies and clients in one event loop.
LATE_TOLERANCE_S = 1.5
# Requests after which a client opens a new connection.
MAX_REQUESTS_PER_CONNECTION = 12


def soak_config(version: int) -> dict:
    """Return a configuration with a route that only this version has."""
    search = {
        "fan-out-services": SHARDS,
        "top-k": 20,
        "min-shard-share": 0.4,
    }
    split = [
        {"service": name, "weight": weight}
        for name, weight in WEIGHT_BY_SPLIT_SERVICE.items()
    ]
    return config(
        version,
        [
            route("search", "/s/", **search),
            route("one", "/o/", service="one"),
            route("unsafe", "/u/", service="one", kind="unsafe"),
            route("split", "/w/", **{"traffic-split": split}),
            route(f"new{version}", f"/v{version}/", service="one"),
        ],
        SERVICES,
    )


def services_for(kind: str) -> set[str]:
    """Return the services that a request of the kind may go to."""
    if kind == "s":
        return set(SHARDS)
    return set(WEIGHT_BY_SPLIT_SERVICE) if kind == "w" else {"one"}


@dataclass
class SentRequest:
    """A request of a client and its outcome."""

    request_id: str
    gateway: str
    began_at: float
    ended_at: float = 0.0
    answer: RawAnswer | None = None
    reused: bool = False
    fully_sent: bool = False

    @property
    def kind(self) -> str:
        return self.request_id[0]


@dataclass
class SoakFleet(Fleet):
    """A fleet whose leafs and store are reached through proxies."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self.version = 0
        self.restarted_pids: set[int] = set()
        # The leafs whose addresses were not given to another leaf.
        self.live: list[StandinLeaf] = []
        self.route_by_leaf: dict[str, TcpRoute] = {}
        self.route_by_gateway: dict[str, TcpRoute] = {}

    async def __aexit__(self, *error) -> None:
        for proxied in self.routes():
            await proxied.stop()
        await super().__aexit__(*error)

    def routes(self) -> list[TcpRoute]:
        return [
            *self.route_by_leaf.values(),
            *self.route_by_gateway.values(),
        ]

    async def add_leaf(
        self, leaf: StandinLeaf, listen: str = "127.0.0.1:0"
    ) -> StandinLeaf:
        await leaf.start()
        target = str(leaf.listener.address)
        proxied = TcpRoute(RouteConfig(leaf.leaf_id, listen, target))
        await proxied.start()
        self.route_by_leaf[leaf.leaf_id] = proxied
        self.leafs.append(leaf)
        self.live.append(leaf)
        self.publish(leaf)
        return leaf

    def publish(self, leaf: StandinLeaf, draining: bool = False) -> None:
        entry = leaf.entry(draining)
        entry["address"] = self.route_by_leaf[leaf.leaf_id].address
        self.store.put("servers", leaf.leaf_id, entry)

    async def restart(
        self, gateway: Gateway, process: asyncio.subprocess.Process
    ) -> None:
        """Start a gateway again after its process ended, once per process."""
        await process.wait()
        if process.pid not in self.restarted_pids:
            self.restarted_pids.add(process.pid)
            await self.start_process(gateway)

    def publish_next_config(self) -> None:
        self.version += 1
        self.set_config(soak_config(self.version))

    async def start_all(self, random: Random, gateways: int) -> None:
        for service in SERVICES:
            for copy in range(2):
                zone = random.choice(ZONES)
                leaf = StandinLeaf(f"{service}-{copy}", service, zone=zone)
                await self.add_leaf(leaf)
        self.publish_next_config()
        for number in range(gateways):
            name = f"g{number}"
            store = str(self.store.listener.address)
            proxied = TcpRoute(RouteConfig(name, "127.0.0.1:0", store))
            await proxied.start()
            self.route_by_gateway[name] = proxied
            await self.add_gateway(
                name, ZONES[number % 2], store=proxied.address
            )
        for gateway in self.gateways:
            await gateway.wait_ready()


@dataclass
class SoakClient:
    """Sends requests one after the other on persistent connections."""

    gateway: Gateway
    random: Random
    sent: list[SentRequest] = field(default_factory=list)
    _streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    _requests_on_connection: int = 0

    async def send(
        self, path: str, request_id: str, method: str
    ) -> SentRequest:
        """Send a request; ``answer`` stays None if no response arrives."""
        loop = asyncio.get_running_loop()
        sent = SentRequest(request_id, self.gateway.name, loop.time())
        self.sent.append(sent)
        try:
            async with asyncio.timeout(10):
                sent.answer = await self._exchange(path, sent, method)
        except (OSError, TimeoutError, ValueError, EOFError, IndexError):
            self.close()
        sent.ended_at = loop.time()
        self._requests_on_connection += 1
        if self._requests_on_connection >= MAX_REQUESTS_PER_CONNECTION:
            self.close()
        return sent

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None
        self._requests_on_connection = 0

    async def _exchange(
        self, path: str, sent: SentRequest, method: str
    ) -> RawAnswer:
        if self._streams is None:
            host, port = self.gateway.front.split(":")
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        sent.reused = self._requests_on_connection > 0
        body = b"x" if method == "POST" else b""
        head = (
            f"{method} {path}{sent.request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {sent.request_id}\r\n"
            f"X-Deadline-Remaining: {int(WAIT_S * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        sent.fully_sent = True
        answer_head = await reader.readuntil(b"\r\n\r\n")
        answer = RawAnswer.parse(answer_head)
        length = int(answer.value_by_header.get("content-length", 0))
        answer.body = await reader.readexactly(length)
        if answer.value_by_header.get("connection") == "close":
            self.close()
        return answer
