"""Follows one kind of objects in the platform's store."""

import asyncio
from collections.abc import Callable

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.gateway.core import Core
from heatherdyke.gateway.events import DEPENDENCY_LOST
from heatherdyke.gateway.events import DEPENDENCY_REGAINED
from heatherdyke.gateway.events import UNEXPECTED
from heatherdyke.gateway.settings import Bounds
from heatherdyke.platform.store import Change
from heatherdyke.platform.store import HistoryGone
from heatherdyke.platform.store import Listing
from heatherdyke.platform.store import StoreClient

# A watch's longest wait, and the shortest that is worth a call.
MOST_WAIT_S = 10.0
LEAST_WAIT_S = 1.0
# A call that was swallowed is noticed this much after its wait, by the
# store's timeout; then the store is called again.
NOTICED_S = 3.0
# After a loss a watch asks for what is there, so that another call that is
# swallowed is noticed soon.
PROBE_WAIT_S = 0.5
RETRY_FIRST_S = 0.2
RETRY_MAX_S = 1.0
# Spreads the instances' calls after an outage that all saw end at once.
RETRY_SPREAD = 0.5
# After a change the next watch waits, so that changes come in batches; longer
# while there are no requests to which they matter.
BATCH_S = 0.1
IDLE_BATCH_S = 0.5
IDLE_AFTER_S = 2.0
# A store serves some thousand calls a second, of all instances together.
MOST_CALLS_PER_S = 3000.0
# An outage shorter than this loses no entries.
SHORT_OUTAGE_S = 1.0


class Feed:
    """Lists a kind, then watches it; lists again when history is gone.

    ``on_listing`` hears all objects and whether the store was away so long
    that entries may be missing for a while; ``on_change`` one change.  The
    first list may be some seconds old where the watch that follows brings
    what it lacks; lists after a loss never are.
    """

    __slots__ = (
        "kind",
        "heard_at",
        "listed",
        "_core",
        "_store",
        "_on_listing",
        "_on_change",
        "_lost_at",
        "_lapsed_until",
        "_retry_s",
        "_in_batches",
        "_may_be_old",
        "_relist",
    )

    def __init__(
        self,
        kind: str,
        core: Core,
        on_listing: Callable[[Listing, bool], None],
        on_change: Callable[[Change, bool], None],
        in_batches: bool = True,
        first_may_be_old: bool = False,
    ) -> None:
        self.kind = kind
        self.heard_at = 0.0
        self.listed = asyncio.Event()
        self._core = core
        self._store = StoreClient(core.settings.store.address)
        self._on_listing = on_listing
        self._on_change = on_change
        self._lost_at: float | None = None
        self._lapsed_until = 0.0
        self._retry_s = RETRY_FIRST_S
        self._in_batches = in_batches
        self._may_be_old = first_may_be_old
        self._relist = False

    def lost_for_s(self) -> float:
        """Return for how long the store has not served, 0 if it does."""
        if self._lost_at is None:
            return 0.0
        return self._core.loop.time() - self._lost_at

    def refresh(self) -> None:
        """Drop the call under way and list again."""
        self._relist = True
        self._store.close()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        revision: int | None = None
        while True:
            try:
                if revision is None or self._relist:
                    self._relist = False
                    revision = await self._list()
                else:
                    revision = await self._watch(revision)
            except HistoryGone:
                revision = None
            except PlatformUnavailable as error:
                await self._lost(error)

    async def _list(self) -> int:
        listing = await self._store.list(self.kind, self._may_be_old)
        self._may_be_old = False
        self._heard()
        self._guard(lambda: self._on_listing(listing, self._may_lapse()))
        self.listed.set()
        return listing.revision

    async def _watch(self, revision: int) -> int:
        wait_s = PROBE_WAIT_S
        if self._lost_at is None:
            wait_s = watch_wait(self._core.settings.bounds)
        page = await self._store.watch(self.kind, revision, wait_s)
        self._heard()
        for change in page.changes:
            self._guard(
                lambda change=change: self._on_change(
                    change, self._may_lapse()
                )
            )
        if page.changes and self._in_batches:
            core = self._core
            idle_s = core.loop.time() - core.asked_at
            instances = len(core.instances)
            await asyncio.sleep(batch_wait(idle_s, instances))
        return max(revision, page.revision)

    def _heard(self) -> None:
        now = self._core.loop.time()
        self.heard_at = now
        self._retry_s = RETRY_FIRST_S
        if self._lost_at is None:
            return
        lost_s = now - self._lost_at
        self._lost_at = None
        if lost_s >= SHORT_OUTAGE_S:
            self._lapsed_until = now + self._core.settings.heartbeat_s
        self._core.log.record(
            DEPENDENCY_REGAINED, kind=self.kind, lost_s=round(lost_s, 3)
        )

    def _may_lapse(self) -> bool:
        return self._core.loop.time() < self._lapsed_until

    async def _lost(self, error: PlatformUnavailable) -> None:
        if self._lost_at is None:
            self._lost_at = self._core.loop.time()
            self._core.log.record(
                DEPENDENCY_LOST, kind=self.kind, reason=error.detail
            )
        spread = 1.0 + RETRY_SPREAD * self._core.random.random()
        await asyncio.sleep(self._retry_s * spread)
        self._retry_s = min(RETRY_MAX_S, 2.0 * self._retry_s)

    def _guard(self, call: Callable[[], None]) -> None:
        """Keep following when taking in one message fails."""
        try:
            call()
        except Exception as error:
            self._core.log.record(
                UNEXPECTED, where=f"feed {self.kind}", error=repr(error)
            )


def batch_wait(idle_s: float, instances: int) -> float:
    """Return how long changes are gathered, among so many instances.

    ``idle_s`` is the time since the last request.
    """
    batch_s = IDLE_BATCH_S if idle_s > IDLE_AFTER_S else BATCH_S
    return max(batch_s, instances / MOST_CALLS_PER_S)


def watch_wait(bounds: Bounds) -> float:
    """Return how long a watch waits for a change.

    A store that swallowed the call may serve again at once.  The call is
    noticed before instances count as in touch and have to have heard.
    """
    heard_s = bounds.stable_s + min(bounds.config_s, bounds.drain_s)
    return max(LEAST_WAIT_S, min(MOST_WAIT_S, heard_s - NOTICED_S))
