"""Up-to-date reads of the store, each kind on its own."""

import asyncio
from collections import Counter
from collections import deque
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.gateway.freshness import UnchangedRange
from heatherdyke.gateway.freshness import last_change
from heatherdyke.gateway.offered_changes import OfferedChanges
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.store_watcher import StoreWatcher
from heatherdyke.platform.current_reads import CurrentReads
from heatherdyke.platform.store import HistoryGone

# A read that takes longer goes on beside that of the next kind.
TURN_S = 0.06
# How often a kind is read in one round, while others can be read, and the
# pause before each repetition.
MAX_TRIES = 3
RETRY_S = 0.05
# A store that refuses the first so many reads of a round refuses all.
MAX_REFUSALS = 2
# Pauses of a kind that the store refuses, which each instance then makes.
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 2.0


class ReadPauses:
    """When the kinds that the store refuses are read again (pure)."""

    __slots__ = ("_pause_by_kind", "_again_at_by_kind")

    def __init__(self) -> None:
        self._pause_by_kind: dict[str, float] = {}
        self._again_at_by_kind: dict[str, float] = {}

    def allows(self, kind: str, now: float) -> bool:
        """Return whether to read the kind now."""
        return now >= self._again_at_by_kind.get(kind, 0.0)

    def add(self, kind: str, now: float) -> None:
        """Pause after a round in which the kind could not be read."""
        pause_s = self._pause_by_kind.get(kind, FIRST_PAUSE_S)
        self._again_at_by_kind[kind] = now + pause_s
        self._pause_by_kind[kind] = min(MAX_PAUSE_S, 2.0 * pause_s)

    def reset(self, kind: str) -> None:
        """Record that the kind was read."""
        self._pause_by_kind.pop(kind, None)


class ReadRound:
    """Which kind to read next (pure).

    A kind that was refused is read again after the others, unless the store
    refuses these as well.
    """

    __slots__ = ("_waiting", "_tries", "_has_success")

    def __init__(self, kinds: Collection[str]) -> None:
        self._waiting = deque(kinds)
        self._tries: Counter[str] = Counter()
        self._has_success = False

    @property
    def is_refused(self) -> bool:
        """Return whether the store refuses all reads."""
        return not self._has_success and self._tries.total() >= MAX_REFUSALS

    def take(self) -> str | None:
        """Return the next kind, None at the end."""
        if self.is_refused or not self._waiting:
            return None
        return self._waiting.popleft()

    def was_refused(self, kind: str) -> bool:
        """Return whether the kind has been refused in this round."""
        return kind in self._tries

    def refused(self) -> list[str]:
        """Return the kinds that are not to be read for a while."""
        if self.is_refused:
            return [*self._tries, *self._waiting]
        return [k for k, tries in self._tries.items() if tries == MAX_TRIES]

    def add_success(self) -> None:
        """Record that a kind was read."""
        self._has_success = True

    def add_refusal(self, kind: str) -> None:
        """Record that a kind was refused."""
        self._tries[kind] += 1
        if self._tries[kind] < MAX_TRIES:
            self._waiting.append(kind)


class FreshnessReads:
    """Reads kinds up to date; calls ``on_learned`` after each that was read.

    Each kind has a connection of its own, so that an answer that is slow or
    lost holds up its kind alone.
    """

    __slots__ = (
        "_shared",
        "_watcher_by_kind",
        "_on_learned",
        "_reads_by_kind",
        "_task_by_kind",
        "_pauses",
        "_latest",
    )

    def __init__(
        self,
        shared: SharedState,
        watcher_by_kind: Mapping[str, StoreWatcher],
        on_learned: Callable[[], None],
    ) -> None:
        self._shared = shared
        self._watcher_by_kind = watcher_by_kind
        self._on_learned = on_learned
        self._reads_by_kind = {
            kind: CurrentReads(shared.store_client) for kind in watcher_by_kind
        }
        self._task_by_kind: dict[str, asyncio.Task[bool]] = {}
        self._pauses = ReadPauses()
        # The store's revision as of a time.
        self._latest = (0, float("-inf"))

    def close(self) -> None:
        """Close the connections to the store, as the process ends."""
        for reads in self._reads_by_kind.values():
            reads.close()

    async def read(self, kinds: Collection[str], limit_s: float) -> bool:
        """Read the kinds; return whether one was read within ``limit_s``.

        Reads that take longer go on.  A store that the watches cannot reach is
        left to them.
        """
        watchers = self._watcher_by_kind.values()
        if all(watcher.unavailable_for_s() for watcher in watchers):
            return False
        began_at = self._shared.loop.time()
        reads = ReadRound(kinds)
        learned = False
        while (kind := reads.take()) is not None:
            if self._is_busy(kind):
                continue
            if reads.was_refused(kind):
                await asyncio.sleep(RETRY_S)
            if self._learn_from_latest(kind, began_at):
                learned = True
                continue
            task = self._start(kind)
            await asyncio.wait((task,), timeout=TURN_S)
            if not task.done():
                continue
            if task.result():
                reads.add_success()
                learned = True
            else:
                reads.add_refusal(kind)
        for kind in reads.refused():
            self._pauses.add(kind, self._shared.loop.time())
        return await self._wait_for_running(limit_s) or learned

    def _is_busy(self, kind: str) -> bool:
        """Return whether the kind is being read, or not to be read yet."""
        task = self._task_by_kind.get(kind)
        if task is not None and not task.done():
            return True
        return not self._pauses.allows(kind, self._shared.loop.time())

    async def _wait_for_running(self, limit_s: float) -> bool:
        running = [
            task for task in self._task_by_kind.values() if not task.done()
        ]
        if not running:
            return False
        done, _ = await asyncio.wait(running, timeout=limit_s)
        return any(task.result() for task in done)

    def _learn_from_latest(self, kind: str, began_at: float) -> bool:
        """Learn from another kind's read that nothing at all has changed."""
        revision, as_of = self._latest
        freshness = self._shared.freshness.by_kind[kind]
        since = freshness.read_from
        if as_of < began_at or since < revision:
            return False
        freshness.learn(UnchangedRange(since, since), as_of)
        return True

    def _start(self, kind: str) -> asyncio.Task[bool]:
        task = self._shared.loop.create_task(self._read(kind))
        self._task_by_kind[kind] = task
        return task

    async def _read(self, kind: str) -> bool:
        """Read one kind; return whether the store has answered."""
        freshness = self._shared.freshness.by_kind[kind]
        since = freshness.read_from
        called_at = self._shared.loop.time()
        try:
            page = await self._reads_by_kind[kind].changes_since(kind, since)
        except HistoryGone:
            self._watcher_by_kind[kind].catch_up()
            return True
        except PlatformUnavailable:
            self._shared.metrics.count("freshness_read_failures", kind)
            return False
        self._pauses.reset(kind)
        self._watcher_by_kind[kind].offer(
            OfferedChanges(since, page, called_at)
        )
        changed = last_change(page.changes, since)
        if changed is None:
            changed = page.revision
        freshness.learn(UnchangedRange(changed, page.revision), called_at)
        self._latest = (page.revision, called_at)
        self._on_learned()
        return True
