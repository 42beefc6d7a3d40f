"""Measures the cost of membership per instance, by the size of its zone.

All members and the platform stand-in run in this process and use real
sockets, so the CPU figures include both ends of each message and the
platform's share.  The other zones exist only as rosters on the platform.

Usage: ``python -m heatherdyke_bench.member_slopes --help``.
"""

import argparse
import asyncio
import resource
from dataclasses import dataclass
from pathlib import Path
from statistics import linear_regression
from time import monotonic
from time import process_time

from loguru import logger

from heatherdyke.clock import Clock
from heatherdyke.config.model import ROSTER_PREFIX
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import Roster
from heatherdyke.membership.task import MembershipTask
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import new_application
from heatherdyke.net.server import HttpServer
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.journal import Journal
from heatherdyke.peers.authentication import require_peer_key
from heatherdyke.peers.key import PeerKey
from heatherdyke.settings import Settings
from heatherdyke.standin.free_address import free_address
from heatherdyke.standin.platform import PlatformStandin
from heatherdyke_bench.fleet import PEER_KEY

ZONE_SIZES = (2, 8, 16, 32, 55)
ZONE = "measured"
UNUSED_ADDRESS = "127.0.0.1:9"
SETTLE_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class Cost:
    """Mean cost of one member in a zone of ``members``."""

    members: int
    cpu_percent: float
    bytes_per_s: float
    bytes_per_s_max: float
    memory_kb: float
    platform_calls_per_s: float


class _Zone:
    """The members of the measured zone, each with server and sockets."""

    def __init__(self, size: int, interval_s: float, lease_s: float) -> None:
        self.platform = PlatformStandin()
        self.tasks: list[MembershipTask] = []
        self._clients: list[ObjectClient] = []
        self._servers: list[HttpServer] = []
        self._member_loops: list[asyncio.Task] = []
        self._size = size
        self._interval_s = interval_s
        self._lease_s = lease_s

    async def start(self, other_zones: int) -> None:
        await self.platform.start()
        client = self._new_client()
        for number in range(other_zones):
            zone = f"other{number:02d}"
            members = tuple(
                Member(
                    f"{zone}-{n:02d}", zone, UNUSED_ADDRESS, f"{zone}{n:06d}"
                )
                for n in range(self._size)
            )
            roster = Roster(zone, 1, members)
            await client.put(ROSTER_PREFIX + zone, roster, 0)
        for number in range(self._size):
            await self._start_member(f"{ZONE}-{number:02d}")

    async def wait_until_settled(self) -> None:
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while not all(self._is_settled(task) for task in self.tasks):
                await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self) -> None:
        for task in self._member_loops:
            task.cancel()
        await asyncio.gather(*self._member_loops, return_exceptions=True)
        for client in self._clients:
            client.close()
        await asyncio.gather(*(server.stop() for server in self._servers))
        await self.platform.stop()

    def bytes_by_member(self) -> list[int]:
        return [t.udp.sent_bytes + t.udp.received_bytes for t in self.tasks]

    def platform_calls(self) -> int:
        return sum(self.platform.record().calls_by_kind.values())

    def _new_client(self) -> ObjectClient:
        """Return a client of the platform that ``stop`` closes."""
        self._clients.append(ObjectClient(self.platform.address))
        return self._clients[-1]

    async def _start_member(self, name: str) -> None:
        settings = Settings(
            name,
            ZONE,
            free_address(),
            free_address(),
            self.platform.address,
            PeerKey(PEER_KEY),
            heartbeat_interval_s=self._interval_s,
            lease_s=self._lease_s,
        )
        task = MembershipTask.from_settings(
            settings,
            self._new_client(),
            Journal(name, ZONE),
            Clock(),
        )
        app = new_application()
        task.add_routes(Applications(new_application(), app))
        require_peer_key(app, settings.peer_key)
        server = HttpServer(app, settings.internal_listen)
        await server.start()
        self._servers.append(server)
        self.tasks.append(task)
        self._member_loops.append(asyncio.create_task(task.run()))

    def _is_settled(self, task: MembershipTask) -> bool:
        roster = task.core.lease(ZONE).roster
        return len(roster.members) == self._size and not roster.history


async def measure(
    size: int, other_zones: int, seconds: float, interval_s: float
) -> Cost:
    """Return the cost of a zone of ``size`` once its roster has settled."""
    before_kb = _resident_kb()
    zone = _Zone(size, interval_s, lease_s=6 * interval_s)
    await zone.start(other_zones)
    try:
        await zone.wait_until_settled()
        sent = zone.bytes_by_member()
        calls = zone.platform_calls()
        started_at = monotonic()
        cpu_s = process_time()
        await asyncio.sleep(seconds)
        cpu_s = process_time() - cpu_s
        took_s = monotonic() - started_at
        rates = [
            (after - before) / took_s
            for before, after in zip(sent, zone.bytes_by_member(), strict=True)
        ]
        return Cost(
            members=size,
            cpu_percent=100 * cpu_s / took_s / size,
            bytes_per_s=sum(rates) / size,
            bytes_per_s_max=max(rates),
            memory_kb=(_resident_kb() - before_kb) / size,
            platform_calls_per_s=(zone.platform_calls() - calls) / took_s,
        )
    finally:
        await zone.stop()


def _resident_kb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1024


def render(costs: list[Cost]) -> str:
    """Return the costs as a table, followed by the fitted lines."""
    lines = ["members  cpu %/member  B/s mean  B/s max  KB/member  platform/s"]
    for cost in costs:
        lines.append(
            f"{cost.members:7d}  {cost.cpu_percent:12.3f}"
            f"  {cost.bytes_per_s:8.0f}  {cost.bytes_per_s_max:7.0f}"
            f"  {cost.memory_kb:9.0f}  {cost.platform_calls_per_s:10.1f}"
        )
    sizes = [float(cost.members) for cost in costs]
    for name in ("cpu_percent", "bytes_per_s", "bytes_per_s_max"):
        values = [getattr(cost, name) for cost in costs]
        slope, intercept = linear_regression(sizes, values)
        worst = max(
            abs(value - (intercept + slope * size))
            for size, value in zip(sizes, values, strict=True)
        )
        lines.append(
            f"{name}: {intercept:.3f} + {slope:.4f} x members, "
            f"largest error {worst:.3f}"
        )
    return "\n".join(lines)


def main() -> None:
    """Measure all zone sizes and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--sizes", default=",".join(map(str, ZONE_SIZES)))
    parser.add_argument("--other-zones", type=int, default=19)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--interval-s", type=float, default=1.0)
    options = parser.parse_args()
    logger.remove()
    costs = [
        asyncio.run(
            measure(
                int(size),
                options.other_zones,
                options.seconds,
                options.interval_s,
            )
        )
        for size in options.sizes.split(",")
    ]
    print(render(costs))


if __name__ == "__main__":
    main()
