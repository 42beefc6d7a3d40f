"""Stores this incarnation's usage page in the platform and serves it.

The page contains absolute counters and is written only by this incarnation,
so a write whose reply was lost is safe to repeat.
"""

import asyncio

from blacksheep import Request
from blacksheep import Response

from heatherdyke.config.model import USAGE_PREFIX
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import VersionConflict
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import add_route
from heatherdyke.objects.client import ABSENT_VERSION
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.events import USAGE_NOT_STORED
from heatherdyke.observe.journal import Journal
from heatherdyke.usage.counters import UsageCounters
from heatherdyke.usage.counters import UsagePage

STORE_INTERVAL_S = 10.0
STORE_ATTEMPTS = 3


class UsageWriter:
    """Stores the usage page every STORE_INTERVAL_S if it has changed."""

    def __init__(
        self,
        counters: UsageCounters,
        platform: ObjectClient,
        journal: Journal,
    ) -> None:
        self._counters = counters
        self._platform = platform
        self._journal = journal
        self._version = ABSENT_VERSION
        self._stored_page = counters.page()

    def add_routes(self, apps: Applications) -> None:
        """Serve the current page to operators."""
        add_route(apps.internal, "GET", "/usage", self._serve)

    async def run(self) -> None:
        """Store the page periodically until cancelled."""
        while True:
            await asyncio.sleep(STORE_INTERVAL_S)
            await self.store()

    async def stop(self) -> None:
        """Store the usage since the last interval."""
        for _ in range(STORE_ATTEMPTS):
            if await self.store():
                return

    async def store(self) -> bool:
        """Store the page if it has changed.

        Returns False if the platform is unavailable.
        """
        page = self._counters.page()
        if page == self._stored_page:
            return True
        try:
            await self._put(page)
        except PlatformUnavailable as error:
            self._journal.record(USAGE_NOT_STORED, detail=error.detail)
            return False
        self._stored_page = page
        return True

    async def _put(self, page: UsagePage) -> None:
        key = f"{USAGE_PREFIX}{page.instance}/{page.incarnation}"
        try:
            self._version = await self._platform.put(key, page, self._version)
        except VersionConflict as conflict:
            self._version = await self._platform.put(
                key, page, conflict.current_version
            )

    async def _serve(self, _: Request) -> Response:
        return json_response(self._counters.page())
