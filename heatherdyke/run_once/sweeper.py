"""Removes records and results of runs that nobody may ask for any more.

A key must not be sent again after RETENTION_S; a record that is younger is
never removed, because a late delivery of its key would run again.
"""

import asyncio
from collections.abc import Callable

from heatherdyke.clock import Clock
from heatherdyke.component import ConfigView
from heatherdyke.config.model import RESULT_PREFIX
from heatherdyke.config.model import TICKET_PREFIX
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import VersionConflict
from heatherdyke.messages import PlatformObject
from heatherdyke.net.http_routes import Applications
from heatherdyke.objects.client import ObjectClient
from heatherdyke.objects.client import convert_value
from heatherdyke.observe.events import RUN_RECORDS_REMOVED
from heatherdyke.observe.journal import Journal
from heatherdyke.run_once.store import RunRecord

RETENTION_S = 7 * 86400.0
SWEEP_INTERVAL_S = 600.0
MAX_REMOVALS = 200


class RunSweeper:
    """Sweeps every SWEEP_INTERVAL_S while ``is_chosen`` says so.

    Two sweepers at once do no harm: removals are conditional.
    """

    def __init__(
        self,
        platform: ObjectClient,
        config: ConfigView,
        is_chosen: Callable[[], bool],
        journal: Journal,
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._config = config
        self._is_chosen = is_chosen
        self._journal = journal
        self._clock = clock

    def add_routes(self, apps: Applications) -> None:
        """Add no routes."""

    async def run(self) -> None:
        """Sweep regularly until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if self._is_chosen():
                await self.sweep()

    async def stop(self) -> None:
        """Have nothing to finish."""

    async def sweep(self) -> int:
        """Remove at most MAX_REMOVALS old records; return how many."""
        removed = 0
        try:
            for team in sorted(self._config.document.section_by_team):
                for stored in await self._find_old(team):
                    if removed >= MAX_REMOVALS:
                        break
                    removed += await self._remove(stored)
        except PlatformUnavailable:
            return removed
        if removed:
            self._journal.record(RUN_RECORDS_REMOVED, count=removed)
        return removed

    async def _find_old(self, team: str) -> list[PlatformObject]:
        before_s = self._clock.wall() - RETENTION_S
        stored = await self._platform.list(f"{TICKET_PREFIX}{team}/")
        return [
            row
            for row in stored
            if convert_value(row, RunRecord).created_at_s < before_s
        ]

    async def _remove(self, stored: PlatformObject) -> int:
        """Remove the result, then the record."""
        name = stored.key.removeprefix(TICKET_PREFIX)
        for row in await self._platform.list(f"{RESULT_PREFIX}{name}/"):
            await self._delete(row)
        return await self._delete(stored)

    async def _delete(self, row: PlatformObject) -> int:
        try:
            await self._platform.delete(row.key, row.version)
        except VersionConflict:
            return 0
        return 1
