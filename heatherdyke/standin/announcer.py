"""Keeps a process registered in the platform's instance list."""

import asyncio
from collections.abc import Callable
from contextlib import closing

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.messages import ListedInstance
from heatherdyke.objects.client import ObjectClient

ANNOUNCE_INTERVAL_S = 1.0


async def announce_forever(
    platform: str, make_row: Callable[[], ListedInstance]
) -> None:
    """Renew the row every ANNOUNCE_INTERVAL_S until cancelled."""
    with closing(ObjectClient(platform)) as client:
        while True:
            await announce_once(client, make_row())
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def announce_once(client: ObjectClient, row: ListedInstance) -> None:
    """Renew the row once.

    An outage is ignored: the list is not served until it ends, and the next
    call renews the row.
    """
    try:
        await client.announce(row)
    except PlatformUnavailable:
        return
