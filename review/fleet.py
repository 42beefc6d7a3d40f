"""Starts a small deployment for a case of the review, on loopback.

The gateways are processes started with the command of the deploy file; the
store and the leafs are the project's stand-ins, in this process.  Each gateway
reaches the store through a door of its own, which can lose answers.
"""

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.platform_standin.leaf import StandinLeaf
from heatherdyke.platform_standin.listener import Listener
from heatherdyke.platform_standin.store import StandinStore
from heatherdyke.standin.free_address import free_port

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "permits.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_RUN_S = 110.0
READY_TIMEOUT_S = 20.0

# The figures of the bounds are those of the pages.
SETTINGS = """\
node-name = "{name}"
role = "gateway"
machine-class = "front"
serves = ["front"]
ip-address = "127.0.0.1"
zone = "{zone}"
region = "nord-italia"
internal-port-range = [{peer_port},{peer_port}]
first-start = true
heartbeat-ms = 1200
[zones]
brescia = "nord-italia"
bergamo = "nord-italia"
verona = "nord-italia"
[listen-addresses]
front = "127.0.0.1:{front_port}"
ready-address = "127.0.0.1:{ready_port}"
[limits]
cpu-share = 0.537
cpu-cores = 2
memory-mb = 300
file-descriptors = 4100
[bounds]
address-reuse-s = 2
stability-ms = 4000
drain-ms = 3000
grace-s = 6
config-apply-ms = 3000
rollback-slack-ms = 250
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-slack = 54
cold-burst-factor = 1.5
cold-slack = 5
evacuation-ms = 5000
recovery-s = 12
[platform]
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
"""


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        at_s = time.monotonic() - self._started_at
        self._file.write(f"{at_s:8.3f} {text}\n")
        self._file.flush()


class StoreDoor:
    """One gateway's way to the store; ``loses`` tells which answers vanish.

    A connection on which an answer was lost returns nothing further.
    ``watch_at`` is when the last watch of a kind began.
    """

    def __init__(self, store: StandinStore) -> None:
        self.loses: Callable[[bytes], bool] = lambda target: False
        self.lost: list[tuple[float, str]] = []
        self.watch_at: dict[str, float] = {}
        self.listener = Listener(self._handle)
        self._store = store

    def _handle(self, exchange: Exchange) -> None:
        target = exchange.request.target
        if b"watch=" in target:
            kind = target.partition(b"?")[0].rpartition(b"/")[2].decode()
            self.watch_at[kind] = now()

        def answer(response: ClientResponse) -> None:
            if self.loses(target):
                self.lost.append((now(), target.decode()))
            elif not exchange.answered:
                exchange.answer(response)

        inner = Exchange(exchange.request, answer)
        exchange.on_disconnect(inner.disconnect)
        self._store._handle(inner)


@dataclass
class Gateway:
    """A gateway process and its addresses."""

    name: str
    zone: str
    front: int
    ready: int
    settings: Path
    door: StoreDoor
    process: asyncio.subprocess.Process | None = None
    terminated_at: float | None = None


@dataclass
class Answer:
    """What a client got; ``status`` is None without a complete answer."""

    request_id: str
    gateway: str
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    header: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    connected: bool = True


def now() -> float:
    """Return the event loop's time."""
    return asyncio.get_running_loop().time()


def route(name: str, prefix: str, **fields: object) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": "safe",
        "timeout-ms": 5000,
        "target-latency-ms": 878,
        "priority": 1,
        "max-attempts": 2,
        **fields,
    }


def config(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a version of the operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-check-path": "/health",
                "connection-limit": 100,
                "cold-start-s": 60.0,
                "cold-per-s": 0.0,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 8192,
            "max-body-bytes": 65536,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


class Fleet:
    """A store, leafs and gateways; ends all of them when it is left."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.record = Record(folder)
        self.store = StandinStore()
        self.leafs: dict[str, StandinLeaf] = {}
        self.gateways: dict[str, Gateway] = {}
        self._temporary = temporary
        self._processes: list[asyncio.subprocess.Process] = []

    async def stop(self) -> None:
        """End all processes and listeners."""
        for process in self._processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()
        for leaf in self.leafs.values():
            await leaf.stop()
        for gateway in self.gateways.values():
            await gateway.door.listener.stop()

    def operator_writes(self, value: dict) -> float:
        """Write a configuration; return when the store acknowledged it."""
        self.store.put("config", "main", value)
        self.record.line(f"operator wrote version {value['version']}")
        return now()

    async def add_leaf(self, leaf: StandinLeaf) -> StandinLeaf:
        """Start a leaf and register it."""
        await leaf.start()
        self.leafs[leaf.leaf_id] = leaf
        self.store.put("servers", leaf.leaf_id, leaf.entry())
        return leaf

    async def add_gateway(self, name: str, zone: str) -> Gateway:
        """Start a gateway and wait until it is ready."""
        door = StoreDoor(self.store)
        await door.listener.start()
        path = self._temporary / f"{name}.toml"
        gateway = Gateway(name, zone, free_port(), free_port(), path, door)
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                peer_port=free_port(),
                front_port=gateway.front,
                ready_port=gateway.ready,
                store=door.listener.address,
            )
        )
        self.gateways[name] = gateway
        await self.start_process(gateway)
        await self.wait_ready(gateway)
        return gateway

    async def start_process(self, gateway: Gateway) -> None:
        """Start the process with the command of the deploy file."""
        if gateway.process is not None:
            text = gateway.settings.read_text()
            gateway.settings.write_text(
                text.replace("first-start = true", "first-start = false")
            )
        log = (self._temporary / f"{gateway.name}.log").open("ab")
        gateway.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-S",
            "-m",
            "heatherdyke.gateway",
            str(free_port()),
            env={**os.environ, "HEATHERDYKE_BOOT": str(gateway.settings)},
            stdout=log,
            stderr=log,
        )
        gateway.terminated_at = None
        self._processes.append(gateway.process)
        self.record.line(f"{gateway.name} started")
        log.close()

    async def wait_ready(self, gateway: Gateway) -> None:
        """Wait for the first 200 of the readiness check."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self.is_ready(gateway):
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            raise CaseError(f"{gateway.name} is not ready") from error
        self.record.line(f"{gateway.name} ready")

    async def is_ready(self, gateway: Gateway) -> bool:
        """Ask for the readiness as the platform does."""
        answer = await exchange_bytes(
            Answer("", gateway.name, now()),
            gateway.ready,
            b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n"
            b"Connection: close\r\n\r\n",
            1.0,
        )
        return answer.status == 200

    def terminate(self, gateway: Gateway) -> None:
        """Send SIGTERM, as for planned work."""
        gateway.terminated_at = now()
        gateway.process.send_signal(signal.SIGTERM)
        self.record.line(f"SIGTERM to {gateway.name}")

    def kill(self, gateway: Gateway) -> None:
        """Send SIGKILL."""
        gateway.process.kill()
        self.record.line(f"SIGKILL to {gateway.name}")

    async def ask(
        self,
        gateway: Gateway,
        path: str,
        request_id: str,
        wait_ms: int = 5000,
    ) -> Answer:
        """Send a client's request on a new connection."""
        answer = Answer(request_id, gateway.name, now())
        self.record.line(f"sent {request_id} {path} to {gateway.name}")
        head = (
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Deadline-Remaining: {wait_ms}\r\n\r\n"
        )
        await exchange_bytes(
            answer, gateway.front, head.encode(), wait_ms / 1000
        )
        stamp = answer.header.get("x-response-stamp", "-")
        outcome = answer.status if answer.connected else "not connected"
        self.record.line(f"answered {request_id}: {outcome} stamp {stamp}")
        return answer

    def record_runs(self) -> None:
        """Write which requests each leaf got."""
        for leaf in self.leafs.values():
            got = [item.request_id.decode() for item in leaf.received_requests]
            self.record.line(f"leaf {leaf.leaf_id} ran {' '.join(got)}")


async def exchange_bytes(
    answer: Answer, port: int, message: bytes, wait_s: float
) -> Answer:
    """Send a message and read one response into ``answer``."""
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(message)
            head = await reader.readuntil(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").strip().split("\r\n")
            fields = (line.split(": ", 1) for line in lines)
            answer.header = {name.lower(): value for name, value in fields}
            length = int(answer.header.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
            answer.status = int(first.split()[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        answer.connected = writer is not None
    finally:
        if writer is not None:
            writer.close()
    answer.ended_at = now()
    return answer


def _end(number: int, frame: object) -> None:
    """End the run on SIGTERM, with all processes that it started."""
    sys.exit(COULD_NOT_RUN)


def run_case(
    case: Callable[[Fleet], Awaitable[list[str]]], folder: Path
) -> int:
    """Run a case, which returns the breaches; return the exit status."""

    async def main(temporary: str) -> list[str]:
        fleet = Fleet(folder, Path(temporary))
        fleet.record.line(f"disruption: {'yes' if TROUBLE else 'no'}")
        try:
            async with asyncio.timeout(MAX_RUN_S):
                breaches = await case(fleet)
            fleet.record_runs()
            for breach in breaches:
                fleet.record.line(f"BROKEN {breach}")
            if not breaches:
                fleet.record.line("the rule held")
            return breaches
        finally:
            await fleet.stop()

    signal.signal(signal.SIGTERM, _end)
    try:
        with tempfile.TemporaryDirectory() as temporary:
            breaches = asyncio.run(main(temporary))
    except Exception as error:
        sys.stderr.write(f"the case could not run: {error!r}\n")
        return COULD_NOT_RUN
    for breach in breaches[:10]:
        sys.stdout.write(f"{breach}\n")
    sys.stdout.write(f"{len(breaches)} breaches\n")
    return BROKEN if breaches else HELD
