"""Keeps a process registered in the platform's list of instances."""

import asyncio
from collections.abc import Callable

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.messages import ListedInstance
from heatherdyke.objects.client import ObjectClient

ANNOUNCE_INTERVAL_S = 1.0


async def announce_forever(
    platform: str, row: Callable[[], ListedInstance]
) -> None:
    """Renew the entry every ANNOUNCE_INTERVAL_S until cancelled."""
    client = ObjectClient(platform)
    while True:
        await announce_once(client, row())
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def announce_once(client: ObjectClient, row: ListedInstance) -> None:
    """Renew the entry once.

    An outage is ignored: entries do not change while the platform is down.
    """
    try:
        await client.announce(row)
    except PlatformUnavailable:
        return
