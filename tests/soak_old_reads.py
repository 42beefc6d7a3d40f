"""Reads of the store that are seconds old, beside the faults of a soak."""

import asyncio
from random import Random

from gateway_fleet import Gateway
from gateway_fleet import send_request
from soak_fleet import SoakFleet

KINDS = ("config", "servers", "evacuations")
LAGS_S = (0.0, 0.0, 0.3, 1.0, 2.5, 7.0)
CHANGE_INTERVAL_S = (0.2, 1.5)
# Versions that are published in series, and the time between two of them.
VERSIONS = 3
VERSION_INTERVAL_S = 0.7
CONFIG_S = 3.0


class OldReadsTrouble:
    """Changes how old the store's stale reads are, by kind."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = Random(seed)
        self.is_stopping = False

    async def run(self) -> None:
        old_reads = self.fleet.store.old_reads
        while not self.is_stopping:
            kind = self.random.choice(KINDS)
            old_reads.lag_by_kind[kind] = self.random.choice(LAGS_S)
            old_reads.hides_its_age = self.random.random() < 0.2
            await asyncio.sleep(self.random.uniform(*CHANGE_INTERVAL_S))

    def stop(self) -> None:
        """End the delays; what they held back is visible at once."""
        self.is_stopping = True
        self.fleet.store.old_reads.lag_by_kind = {}
        self.fleet.store.old_reads.hides_its_age = False
        self.fleet.store.show_changes()


async def late_versions(fleet: SoakFleet) -> list[str]:
    """Publish versions that reads show late; return who is late to serve."""
    fleet.store.old_reads.lag_s = max(LAGS_S)
    checks = []
    for _ in range(VERSIONS):
        fleet.publish_next_config()
        checks += [
            asyncio.create_task(_check(gateway, fleet.version))
            for gateway in fleet.gateways
        ]
        await asyncio.sleep(VERSION_INTERVAL_S)
    return [late for late in await asyncio.gather(*checks) if late]


async def _check(gateway: Gateway, version: int) -> str:
    """Return a violation unless the version or a later one is in force."""
    await asyncio.sleep(CONFIG_S)
    statuses = []
    for later in range(version, version + VERSIONS):
        request_id = f"late-{gateway.name}-{version}-{later}"
        answer = await send_request(gateway, f"/v{later}/", request_id)
        if answer.status == 200:
            return ""
        statuses.append(answer.status)
    return f"{gateway.name} serves no version from {version} on: {statuses}"
