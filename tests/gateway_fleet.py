"""A fleet for tests: a store, leafs and gateway processes on loopback."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

from heatherdyke.errors import TransportError
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.platform_standin.leaf import StandinLeaf
from heatherdyke.platform_standin.store import StandinStore
from heatherdyke.standin.free_address import free_port

HOST = "shop.example"
START_SCRIPT = Path(__file__).resolve().parent.parent / "start_gateway.py"
READY_TIMEOUT_S = 15.0
SETTINGS_VARIABLE = "HEATHERDYKE_BOOT"

SETTINGS = """\
node-name = "{name}"
zone = "{zone}"
region = "nord"
ip-address = "127.0.0.1"
internal-port-range = [{peer_port},{peer_port}]
heartbeat-ms = 300
unknown-field = 1
[zones]
brescia = "nord"
verona = "nord"
[listen-addresses]
front = "127.0.0.1:{front_port}"
ready-address = "127.0.0.1:{ready_port}"
[bounds]
grace-s = 4
retry-budget-ratio = 0.2
retry-budget-slack = 50
[limits]
memory-mb = {memory_mb}
[platform]
address = "{store}"
"""
# The smallest of the sites.
MEMORY_MB = 160


def route(name: str, prefix: str, **fields) -> dict:
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": "safe",
        "timeout-ms": 2000,
        "target-latency-ms": 300,
        "priority": 1,
        "max-attempts": 2,
        **fields,
    }


def config(version: int, routes: list[dict], services: list[str]) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-check-path": "/health",
                "connection-limit": 31,
                "cold-start-s": 1.0,
                "cold-per-s": 0.0,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 8192,
            "max-body-bytes": 65536,
            "header-timeout-ms": 1000,
            "idle-timeout-ms": 15000,
        },
    }


@dataclass
class Gateway:
    name: str
    zone: str
    front: str
    ready: str
    settings_path: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def host(self) -> str:
        return self.front.rpartition(":")[0]

    async def is_ready(self) -> bool:
        try:
            connection = await HttpConnection.open(self.ready)
            answer = await connection.request("GET", "/api/readiness")
            connection.close()
        except TransportError:
            return False
        return answer.status == 200

    async def wait_ready(self) -> None:
        """Wait until the gateway is ready.

        The error on a timeout states the process id and exit code.
        """
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self.is_ready():
                    await asyncio.sleep(0.02)
        except TimeoutError as error:
            code = self.process.returncode
            raise AssertionError(
                f"{self.name} (process {self.process.pid}, exit code {code}) "
                "is not ready"
            ) from error

    def kill(self) -> None:
        self.process.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)


def ignores_reload_signal(pid: int) -> bool:
    """Return whether SIGHUP does not end the process, or it has ended."""
    return has_action(pid, signal.SIGHUP)


def has_action(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores or handles a signal, or has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return True
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return any(mask >> (number - 1) & 1 for mask in masks)


async def wait_for_first_code(process: asyncio.subprocess.Process) -> None:
    """Wait until the interpreter runs the gateway's first lines.

    They ignore SIGHUP; nothing can protect the interpreter before.
    """
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not ignores_reload_signal(process.pid):
            await asyncio.sleep(0.002)


def peak_memory_mb(pid: int) -> float:
    """Return the most memory that the process has used."""
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = (x for x in status.splitlines() if x.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


class Fleet:
    """Starts a store, leafs and processes and stops them at the end."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.store = StandinStore()
        self.leafs: list[StandinLeaf] = []
        self.gateways: list[Gateway] = []
        self.processes: list[asyncio.subprocess.Process] = []

    async def __aenter__(self) -> "Fleet":
        await self.store.listener.start()
        return self

    async def __aexit__(self, *error) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for leaf in self.leafs:
            await leaf.stop()
        await self.store.listener.stop()

    async def add_leaf(self, leaf: StandinLeaf) -> StandinLeaf:
        await leaf.start()
        self.leafs.append(leaf)
        self.store.put("servers", leaf.leaf_id, leaf.entry())
        return leaf

    def set_config(self, value: dict) -> None:
        self.store.put("config", "main", value)

    async def add_gateway(
        self,
        name: str,
        zone: str = "brescia",
        store: str = "",
        starts: bool = True,
    ) -> Gateway:
        front, ready = free_port(), free_port()
        path = self.directory / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                peer_port=free_port(),
                front_port=front,
                ready_port=ready,
                store=store or self.store.listener.address,
                memory_mb=MEMORY_MB,
            )
        )
        gateway = Gateway(
            name, zone, f"127.0.0.1:{front}", f"127.0.0.1:{ready}", path
        )
        if starts:
            await self.start_process(gateway)
        self.gateways.append(gateway)
        return gateway

    async def start_process(self, gateway: Gateway, *arguments: str) -> None:
        log = (self.directory / f"{gateway.name}.log").open("ab")
        errors = (self.directory / f"{gateway.name}.errors").open("ab")
        gateway.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *os.environ.get("GATEWAY_PYTHON_ARGUMENTS", "").split(),
            str(START_SCRIPT),
            *arguments,
            env={**os.environ, SETTINGS_VARIABLE: str(gateway.settings_path)},
            stdout=log,
            stderr=errors,
        )
        self.processes.append(gateway.process)
        log.close()
        errors.close()

    def read_log(self, gateway: Gateway) -> str:
        return (self.directory / f"{gateway.name}.log").read_text()

    def read_errors(self, gateway: Gateway) -> str:
        """Return what the processes have written to standard error."""
        return (self.directory / f"{gateway.name}.errors").read_text()


async def send_request(
    gateway: Gateway,
    path: str,
    request_id: str,
    method: str = "GET",
    body: bytes = b"",
    wait_ms: int = 1500,
    caller: str = "",
):
    """Send one request on a new connection and return its response."""
    host, port = gateway.front.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    credentials = f"Authorization: Bearer {caller}\r\n" if caller else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{credentials}"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Remaining: {wait_ms}\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    try:
        writer.write(head.encode() + body)
        async with asyncio.timeout(10):
            data = await reader.read()
    finally:
        writer.close()
    return RawAnswer.parse(data)


@dataclass
class RawAnswer:
    status: int
    value_by_header: dict[str, str]
    body: bytes

    @classmethod
    def parse(cls, data: bytes) -> "RawAnswer":
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        fields = (line.split(": ", 1) for line in lines[1:])
        return cls(
            int(lines[0].split()[1]),
            {name.lower(): value for name, value in fields},
            body,
        )
