"""Keeps this incarnation's usage in the platform, and tells it to operators.

The page holds absolute counters and has one writer, so a write whose reply
was lost may be repeated.  Other instances never change it.
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
from heatherdyke.usage.book import UsageCounters
from heatherdyke.usage.book import UsagePage

STORE_INTERVAL_S = 10.0
STORE_TRIES = 3


class UsageTask:
    """Stores the usage page at most once in STORE_INTERVAL_S."""

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
        self._stored = counters.page()

    def add_routes(self, apps: Applications) -> None:
        """Serve the page as it stands now."""
        add_route(apps.internal, "GET", "/usage", self._show)

    async def run(self) -> None:
        """Store the page regularly until cancelled."""
        while True:
            await asyncio.sleep(STORE_INTERVAL_S)
            await self.store()

    async def stop(self) -> None:
        """Store what the last interval added."""
        for _ in range(STORE_TRIES):
            if await self.store():
                return

    async def store(self) -> bool:
        """Store the page if it has changed; return False if it could not."""
        page = self._counters.page()
        if page == self._stored:
            return True
        try:
            await self._put(page)
        except PlatformUnavailable as error:
            self._journal.record(USAGE_NOT_STORED, detail=error.detail)
            return False
        self._stored = page
        return True

    async def _put(self, page: UsagePage) -> None:
        key = f"{USAGE_PREFIX}{page.instance}/{page.incarnation}"
        try:
            self._version = await self._platform.put(key, page, self._version)
        except VersionConflict as conflict:
            self._version = await self._platform.put(
                key, page, conflict.current_version
            )

    async def _show(self, _: Request) -> Response:
        return json_response(self._counters.page())
