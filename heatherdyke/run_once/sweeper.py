"""Removes the records and results of runs after their retention period.

Callers must not send a key again after RETENTION_S.  A younger record is
never removed, because a late delivery of its key would then run again.
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
MAX_REMOVALS_PER_SWEEP = 200


class RunSweeper:
    """Sweeps every SWEEP_INTERVAL_S while ``is_active`` returns True.

    Two active sweepers do no harm, because deletes are conditional.
    """

    def __init__(
        self,
        platform: ObjectClient,
        config: ConfigView,
        is_active: Callable[[], bool],
        journal: Journal,
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._config = config
        self._is_active = is_active
        self._journal = journal
        self._clock = clock

    def add_routes(self, apps: Applications) -> None:
        """Add no routes."""

    async def run(self) -> None:
        """Sweep regularly until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if self._is_active():
                await self.sweep()

    async def stop(self) -> None:
        """Do nothing: no work outlasts ``run``."""

    async def sweep(self) -> int:
        """Remove up to MAX_REMOVALS_PER_SWEEP records; return the number."""
        removed = 0
        try:
            for team in sorted(self._config.document.section_by_team):
                for stored in await self._find_expired(team):
                    if removed >= MAX_REMOVALS_PER_SWEEP:
                        break
                    removed += await self._remove(stored)
        except PlatformUnavailable:
            return removed
        if removed:
            self._journal.record(RUN_RECORDS_REMOVED, count=removed)
        return removed

    async def _find_expired(self, team: str) -> list[PlatformObject]:
        expired_before_s = self._clock.wall() - RETENTION_S
        stored = await self._platform.list(f"{TICKET_PREFIX}{team}/")
        return [
            entry
            for entry in stored
            if convert_value(entry, RunRecord).created_at_s < expired_before_s
        ]

    async def _remove(self, stored: PlatformObject) -> int:
        """Remove the result, then the record."""
        name = stored.key.removeprefix(TICKET_PREFIX)
        for entry in await self._platform.list(f"{RESULT_PREFIX}{name}/"):
            await self._delete(entry)
        return await self._delete(stored)

    async def _delete(self, entry: PlatformObject) -> int:
        try:
            await self._platform.delete(entry.key, entry.version)
        except VersionConflict:
            return 0
        return 1
