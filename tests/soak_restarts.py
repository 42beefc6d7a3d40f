"""Restarts of the soak that find signals, ports and settings at fault."""

import asyncio
import signal
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from gateway_fleet import Gateway
from gateway_fleet import wait_for_first_code
from soak_fleet import SoakFleet

STOP_SIGNALS = (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM)
SIGNAL_INTERVAL_S = (0.0, 0.02)
# Enough to last until the process serves.
MAX_SIGNALS = 60
# More than the period of grace and a pause of the process.
STOP_TIMEOUT_S = 15.0
HELD_S = (0.2, 1.5)
WRITE_INTERVAL_S = (0.02, 0.3)


async def stop_with_signals(
    fleet: SoakFleet, gateway: Gateway, random: Random
) -> None:
    """Stop a process and send more signals until it is gone."""
    process = gateway.process
    fleet.checks.send(process, signal.SIGTERM)
    async with asyncio.timeout(STOP_TIMEOUT_S):
        while process.returncode is None:
            fleet.checks.send(process, random.choice(STOP_SIGNALS))
            await asyncio.sleep(random.uniform(*SIGNAL_INTERVAL_S))


async def send_reloads(
    fleet: SoakFleet, gateway: Gateway, random: Random
) -> None:
    """Send SIGHUP in series, from the first statement of a new process on."""
    process = gateway.process
    await wait_for_first_code(process)
    for _ in range(random.randrange(MAX_SIGNALS)):
        fleet.checks.send(process, signal.SIGHUP)
        await asyncio.sleep(random.uniform(*SIGNAL_INTERVAL_S))


async def request_reload(fleet: SoakFleet, gateway: Gateway) -> None:
    """Send SIGHUP once the first lines of the process have run."""
    process = gateway.process
    await wait_for_first_code(process)
    fleet.checks.send(process, signal.SIGHUP)


def ports(settings: bytes) -> list[int]:
    """Return the ports for clients, health checks and other instances."""
    parsed = tomllib.loads(settings.decode())
    addresses = parsed["listen-addresses"].values()
    return [
        *(int(address.rpartition(":")[2]) for address in addresses),
        parsed["internal-port-range"][0],
    ]


@asynccontextmanager
async def held_port(host: str, port: int) -> AsyncIterator[None]:
    """Listen at a port and abort every connection."""
    server = await asyncio.start_server(
        lambda _, writer: writer.transport.abort(), host, port
    )
    try:
        yield
    finally:
        server.close()


async def rewrite_settings(
    fleet: SoakFleet, gateway: Gateway, random: Random
) -> None:
    """Write the file in place: emptied, a part of it, then all of it."""
    content = fleet.settings_by_gateway[gateway.name]
    for kept in (0, random.randrange(len(content))):
        gateway.settings_path.write_bytes(content[:kept])
        await asyncio.sleep(random.uniform(*WRITE_INTERVAL_S))
        if random.random() < 0.5:
            await request_reload(fleet, gateway)
    gateway.settings_path.write_bytes(content)
    await request_reload(fleet, gateway)


async def start_with_held_port(
    fleet: SoakFleet, gateway: Gateway, random: Random
) -> None:
    """Start a process one of whose ports is in use for a while."""
    port = random.choice(ports(fleet.settings_by_gateway[gateway.name]))
    async with held_port(gateway.host, port):
        await fleet.start_process(gateway)
        reloads = asyncio.create_task(send_reloads(fleet, gateway, random))
        await asyncio.sleep(random.uniform(*HELD_S))
    await reloads


async def restart_under_troubles(fleet: SoakFleet, random: Random) -> None:
    """Restart a process, in half of the cases while its file is written."""
    gateway = random.choice(fleet.gateways)
    if not fleet.claim_restart(gateway.process):
        return
    await stop_with_signals(fleet, gateway, random)
    starts = [start_with_held_port(fleet, gateway, random)]
    if random.random() < 0.5:
        starts.insert(0, rewrite_settings(fleet, gateway, random))
    await asyncio.gather(*starts)


async def rewrite_while_running(fleet: SoakFleet, random: Random) -> None:
    """Rewrite the settings of a process that may be in any state."""
    await rewrite_settings(fleet, random.choice(fleet.gateways), random)
