"""Keeps a stand-in's row in the platform's list."""

import asyncio
from collections.abc import Callable

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.messages import ListedInstance
from heatherdyke.objects.client import ObjectClient

ANNOUNCE_INTERVAL_S = 1.0


async def announce_forever(
    platform: str, row: Callable[[], ListedInstance]
) -> None:
    """Renew the row each second until cancelled."""
    client = ObjectClient(platform)
    while True:
        await announce_once(client, row())
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def announce_once(client: ObjectClient, row: ListedInstance) -> None:
    """Renew the row; in an outage the list stands still."""
    try:
        await client.announce(row)
    except PlatformUnavailable:
        return
