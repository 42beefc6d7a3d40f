"""Lists and watches one kind of objects in the platform's store."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from contextlib import suppress

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.gateway.events import STORE_LOST
from heatherdyke.gateway.events import STORE_OBJECTS_UNREADABLE
from heatherdyke.gateway.events import STORE_READS_BEHIND
from heatherdyke.gateway.events import STORE_REGAINED
from heatherdyke.gateway.events import UNEXPECTED_ERROR
from heatherdyke.gateway.freshness import KindFreshness
from heatherdyke.gateway.freshness import last_change
from heatherdyke.gateway.freshness import next_revision
from heatherdyke.gateway.leaf_table import Removal
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.offered_changes import OfferedChanges
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.watch_timing import EARLY_SHARE
from heatherdyke.gateway.watch_timing import CallPauses
from heatherdyke.gateway.watch_timing import WatchTiming
from heatherdyke.platform.current_reads import CurrentReads
from heatherdyke.platform.store import HistoryGone
from heatherdyke.platform.store import Listing
from heatherdyke.platform.store_pages import Change
from heatherdyke.platform.store_pages import Changes

RETRY_FIRST_S = 0.2
RETRY_MAX_S = 1.0
# Of reads that changes due in a known time wait for.
RETRY_CURRENT_S = 0.05
RETRY_CURRENT_MAX_S = 0.25
# Jitter, so that instances do not call in step after an outage.
RETRY_SPREAD = 0.5
# Delay of the next watch after a change, so that changes arrive in batches;
# longer on an instance that has received no requests for IDLE_AFTER_S.
BATCH_DELAY_S = 0.1
IDLE_BATCH_DELAY_S = 0.5
IDLE_AFTER_S = 2.0
# Calls per second that all instances together may make to the store.
MAX_STORE_CALLS_PER_S = 3000.0
# More is read again rather than kept.
MAX_OFFERED_BYTES = 262_144
# No entry expires in the store during an outage shorter than this.
SHORT_OUTAGE_S = 1.0


class StoreWatcher:
    """Lists a kind, then watches it; relists when the watch cannot resume.

    ``on_listing`` is called with all objects, ``on_change`` with one change.
    Their second argument states what is known about a missing entry.  The
    first list may be some seconds old if ``first_may_be_stale``, as the watch
    that follows delivers later changes; all further lists are current.
    ``last_response_at`` is the time of the store's last response, ``listed``
    is set after the first list.
    """

    __slots__ = (
        "kind",
        "last_response_at",
        "listed",
        "_shared",
        "_store",
        "_on_listing",
        "_on_change",
        "_unavailable_since",
        "_entries_may_reappear_until",
        "_retry_s",
        "_batch_changes",
        "_list_may_be_stale",
        "_has_stale_list",
        "_relist_requested",
        "_catch_up_requested",
        "_listed_at",
        "_skipped_until",
        "_reading",
        "_read_due_at",
        "_wake",
        "_is_interrupted",
        "_is_restored",
        "_current_reads",
        "_offered",
        "_freshness",
        "_timing",
        "_pauses",
    )

    def __init__(
        self,
        kind: str,
        shared: SharedState,
        on_listing: Callable[[Listing, Removal], None],
        on_change: Callable[[Change, Removal], None],
        batch_changes: bool = True,
        first_may_be_stale: bool = True,
    ) -> None:
        self.kind = kind
        self.last_response_at = 0.0
        self.listed = asyncio.Event()
        self._shared = shared
        self._store = shared.store_client()
        self._on_listing = on_listing
        self._on_change = on_change
        self._unavailable_since: float | None = None
        self._entries_may_reappear_until = 0.0
        self._retry_s = RETRY_FIRST_S
        self._batch_changes = batch_changes
        self._list_may_be_stale = first_may_be_stale
        self._has_stale_list = False
        self._relist_requested = False
        self._catch_up_requested = False
        self._listed_at = 0.0
        # The watch has gone on from this revision without a proof that it has
        # all changes before it.
        self._skipped_until = 0
        self._reading: asyncio.Task[int] | None = None
        # When the changes that a requested read is to show are due.
        self._read_due_at = 0.0
        self._wake = asyncio.Event()
        self._is_interrupted = False
        self._is_restored = False
        self._current_reads = CurrentReads(shared.store_client)
        self._offered: OfferedChanges | None = None
        self._freshness = shared.freshness.by_kind.get(kind, KindFreshness())
        self._timing = WatchTiming()
        self._pauses = CallPauses()

    def unavailable_for_s(self) -> float:
        """Return how long the store has been unavailable, 0 if it serves."""
        if self._unavailable_since is None:
            return 0.0
        return self._shared.loop.time() - self._unavailable_since

    def relist(self) -> None:
        """Cancel the call in flight and list again."""
        self._relist_requested = True
        self._begin_current_read()

    def restart(self) -> None:
        """Cancel the call in flight and list what a restored store has."""
        self._is_restored = True
        self._skipped_until = 0
        self._offered = None
        self.relist()

    def catch_up(self) -> None:
        """Cancel the call in flight and read all changes up to date."""
        if not self._catch_up_requested:
            self._catch_up_requested = True
            self._begin_current_read()

    def offer(self, offered: OfferedChanges) -> None:
        """Take changes that a check has read, in case the watch is behind."""
        if offered.page.changes and offered.size <= MAX_OFFERED_BYTES:
            self._offered = offered

    def close(self) -> None:
        """Close the connections to the store, as the process ends."""
        self._store.close()
        self._current_reads.close()

    async def run(self) -> None:
        """List and watch until cancelled."""
        revision: int | None = None
        while True:
            began_at = self._shared.loop.time()
            self._is_interrupted = False
            self._wake.clear()
            self._reading = self._shared.loop.create_task(self._read(revision))
            try:
                revision = await self._reading
            except asyncio.CancelledError:
                if not self._is_interrupted:
                    raise
            except HistoryGone:
                revision = None
                self._relist_requested = True
                self._expect_changes()
                await self._pause()
            except PlatformUnavailable as error:
                took_s = self._shared.loop.time() - began_at
                await self._on_unavailable(error, took_s)

    def _begin_current_read(self) -> None:
        """Have what was requested read at once."""
        self._expect_changes()
        self._is_interrupted = True
        self._wake.set()
        if self._reading is not None:
            self._reading.cancel()
        self._store.close()

    def _expect_changes(self) -> None:
        """Repeat what was requested soon if it fails, until it is due."""
        self._retry_s = RETRY_CURRENT_S
        bounds = self._shared.settings.bounds
        self._read_due_at = self._shared.loop.time() + bounds.config_s

    async def _read(self, revision: int | None) -> int:
        """Make the next call; return the revision to watch from."""
        if revision is None or self._relist_requested:
            return await self._list()
        if self._catch_up_requested:
            return await self._read_current_changes(revision)
        return await self._watch(revision)

    async def _list(self) -> int:
        began_at = self._shared.loop.time()
        if self._list_may_be_stale:
            listing = await self._store.list(self.kind, allow_stale=True)
        else:
            listing = await self._current_reads.list(self.kind)
        self._relist_requested = False
        self._timing.add_delay(self._shared.loop.time() - began_at)
        self._listed_at = began_at
        self._has_stale_list = self._list_may_be_stale
        self._list_may_be_stale = False
        self._on_response()
        self._count_unreadable(listing.nameless)
        removal = self._removal(was_interrupted=True)
        if self._is_restored:
            removal = Removal.RESTORED
            self._is_restored = False
        self._guard(lambda: self._on_listing(listing, removal))
        if self._has_stale_list:
            self._freshness.apply_stale(listing.revision)
        else:
            self._catch_up_requested = False
            self._freshness.apply_current(listing.revision, began_at)
        self.listed.set()
        return listing.revision

    async def _watch(self, revision: int) -> int:
        duration = self._timing.probe()
        if self._unavailable_since is None:
            bounds = self._shared.settings.bounds
            duration = self._timing.next_watch(bounds)
        began_at = self._shared.loop.time()
        page = await self._store.watch(
            self.kind, revision, duration.wait_s, duration.timeout_s
        )
        elapsed_s = self._shared.loop.time() - began_at
        if not page.changes:
            self._timing.add_delay(elapsed_s - duration.wait_s)
        # What a stale list lacks may have changed some time ago.
        was_interrupted = (
            self._unavailable_since is not None or self._has_stale_list
        )
        self._has_stale_list = False
        self._on_response()
        self._count_unreadable(page.nameless)
        self._apply(page, was_interrupted)
        has_news = bool(page.changes) and page.revision > revision
        revision = self._next_revision(page, revision)
        if not has_news and elapsed_s < EARLY_SHARE * duration.wait_s:
            await self._pause()
        else:
            self._pauses.reset()
        if page.changes and self._batch_changes:
            shared = self._shared
            idle_s = shared.loop.time() - shared.last_request_at
            instances = len(shared.instances)
            await asyncio.sleep(batch_delay_s(idle_s, instances))
        return revision

    def _next_revision(self, page: Changes, since: int) -> int:
        """Return where the next watch starts, and note what was applied.

        What a page does not tell is read up to date.
        """
        changed = last_change(page.changes, since)
        if changed is None:
            self._catch_up_requested = True
            return max(since, page.revision)
        freshness = self._freshness
        if freshness.applied >= self._skipped_until:
            freshness.apply_stale(changed)
        known_at = max(self._listed_at, freshness.complete_at)
        unknown_s = self._shared.loop.time() - known_at
        following = next_revision(
            changed, page.revision, freshness.applied, unknown_s
        )
        if following > max(changed, freshness.applied):
            self._skipped_until = following
        return following

    async def _read_current_changes(self, revision: int) -> int:
        """Read what the watch from this revision has not shown."""
        applied = self._freshness.applied
        current = self._take_offered()
        if current is None:
            called_at = self._shared.loop.time()
            page = await self._current_reads.changes_since(self.kind, applied)
            current = OfferedChanges(applied, page, called_at)
            self._on_response()
        page = current.page
        self._catch_up_requested = False
        self._count_unreadable(page.nameless)
        self._apply(page, was_interrupted=True)
        self._freshness.apply_current(page.revision, current.called_at)
        if page.changes:
            self._shared.log.record(
                STORE_READS_BEHIND,
                kind=self.kind,
                changes=len(page.changes),
                applied=applied,
                revision=page.revision,
            )
        return max(revision, page.revision)

    def _take_offered(self) -> OfferedChanges | None:
        """Return the offered changes if they have all that is missing."""
        offered, self._offered = self._offered, None
        freshness = self._freshness
        if offered is None or freshness.unchanged is None:
            return None
        continues = offered.since <= freshness.applied
        reaches = offered.page.revision >= freshness.unchanged.after
        return offered if continues and reaches else None

    def _apply(self, page: Changes, was_interrupted: bool) -> None:
        removal = self._removal(was_interrupted)
        for change in latest_changes(page.changes):
            self._guard(lambda change=change: self._on_change(change, removal))

    def _on_response(self) -> None:
        now = self._shared.loop.time()
        self.last_response_at = now
        self._retry_s = self._first_retry_s
        if self._unavailable_since is None:
            return
        outage_s = now - self._unavailable_since
        self._unavailable_since = None
        if outage_s >= SHORT_OUTAGE_S:
            self._entries_may_reappear_until = (
                now + self._shared.settings.heartbeat_s
            )
        self._shared.log.record(
            STORE_REGAINED, kind=self.kind, lost_s=round(outage_s, 3)
        )

    def _count_unreadable(self, nameless: int) -> None:
        if nameless:
            shared = self._shared
            shared.metrics.count("unreadable_objects", self.kind, nameless)
            shared.log.record(
                STORE_OBJECTS_UNREADABLE, kind=self.kind, count=nameless
            )

    def _removal(self, was_interrupted: bool) -> Removal:
        is_after_outage = (
            self._shared.loop.time() < self._entries_may_reappear_until
        )
        if is_after_outage and self._shared.has(Mechanism.OUTAGE_GRACE):
            return Removal.AFTER_OUTAGE
        return Removal.LATE if was_interrupted else Removal.TIMELY

    async def _pause(self) -> None:
        """Wait before the next call, unless this is the first for a while."""
        await self._sleep(self._pauses.next_s())

    async def _sleep(self, pause_s: float) -> None:
        """Wait with jitter, until a read is requested at most."""
        spread = 1.0 + RETRY_SPREAD * self._shared.random.random()
        with suppress(TimeoutError):
            async with asyncio.timeout(pause_s * spread):
                await self._wake.wait()

    @property
    def _is_current_read_due(self) -> bool:
        is_requested = self._relist_requested or self._catch_up_requested
        return is_requested and self._shared.loop.time() < self._read_due_at

    @property
    def _first_retry_s(self) -> float:
        return RETRY_CURRENT_S if self._is_current_read_due else RETRY_FIRST_S

    @property
    def _max_retry_s(self) -> float:
        if self._is_current_read_due:
            return RETRY_CURRENT_MAX_S
        return RETRY_MAX_S

    async def _on_unavailable(
        self, error: PlatformUnavailable, took_s: float
    ) -> None:
        """Wait before the next call, longer after each one that ends soon."""
        if self._unavailable_since is None:
            self._unavailable_since = self._shared.loop.time()
            self._shared.log.record(
                STORE_LOST, kind=self.kind, reason=error.detail
            )
        if took_s > RETRY_MAX_S:
            self._retry_s = self._first_retry_s
        retry_s = min(self._max_retry_s, self._retry_s)
        self._retry_s = min(self._max_retry_s, 2.0 * retry_s)
        await self._sleep(retry_s)

    def _guard(self, call: Callable[[], None]) -> None:
        """Keep watching when a callback raises."""
        try:
            call()
        except Exception as error:
            self._shared.log.record(
                UNEXPECTED_ERROR,
                where=f"store watcher {self.kind}",
                error=repr(error),
            )


def latest_changes(changes: Iterable[Change]) -> list[Change]:
    """Return the latest change of each object, in order.

    An entry that was lost and is back has not changed.
    """
    latest_by_name: dict[str, Change] = {}
    for change in changes:
        latest_by_name.pop(change.object.name, None)
        latest_by_name[change.object.name] = change
    return list(latest_by_name.values())


def batch_delay_s(idle_s: float, instances: int) -> float:
    """Return how long to collect changes before the next watch.

    ``idle_s`` is the time since the last request.  With many instances the
    delay grows, so that the store's call rate stays within its limit.
    """
    batch_s = IDLE_BATCH_DELAY_S if idle_s > IDLE_AFTER_S else BATCH_DELAY_S
    return max(batch_s, instances / MAX_STORE_CALLS_PER_S)
