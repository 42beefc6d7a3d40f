"""Keeps quarantined requests in the platform's store.

An instance that starts learns from there which requests crash leafs, and
operators lift them there.
"""

import asyncio
import time
from collections.abc import Callable

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.gateway.events import STORE_LOST
from heatherdyke.gateway.quarantine import RETENTION_S
from heatherdyke.gateway.quarantine import Verdict
from heatherdyke.gateway.quarantine_sync import QuarantineSync
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.platform.quarantines import KIND
from heatherdyke.platform.quarantines import decode_quarantine
from heatherdyke.platform.quarantines import encode_quarantine

RETRY_S = 1.0
# A verdict that only instances know is written as soon as possible.
FIRST_WRITE_RETRY_S = 0.1
MAX_DOUBLINGS = 4
# A list may be some seconds old, so the second one follows early.
FIRST_LIST_INTERVAL_S = 3.0
LIST_INTERVAL_S = 20.0
# Bound of the objects in the store, against callers with many different
# requests; the instances' memory may hold more.
MAX_OBJECTS = 1024


class QuarantineStore:
    """Lists the quarantined requests regularly; writes new verdicts.

    ``on_unavailable`` is called each time that the store refuses a call.
    """

    __slots__ = (
        "on_unavailable",
        "_shared",
        "_sync",
        "_store",
        "_object_count",
        "_waiting_by_key",
        "_only_if_absent",
        "_failures",
        "_wake",
    )

    def __init__(self, shared: SharedState, sync: QuarantineSync) -> None:
        self.on_unavailable: Callable[[], None] = lambda: None
        self._shared = shared
        self._sync = sync
        self._store = shared.store_client()
        self._object_count = 0
        self._waiting_by_key: dict[str, Verdict] = {}
        # Keys of waiting verdicts that do not replace an object, which may
        # say that the request has been lifted.
        self._only_if_absent: set[str] = set()
        self._failures = 0
        self._wake = asyncio.Event()
        sync.persist = self.write
        sync.persist_if_absent = self.write_if_absent

    def write(self, verdict: Verdict) -> None:
        """Write a verdict soon."""
        if self._has_room:
            self._only_if_absent.discard(verdict.key)
            self._waiting_by_key[verdict.key] = verdict
            self._wake.set()

    def write_if_absent(self, verdict: Verdict) -> None:
        """Write a verdict soon, unless the store has the request."""
        if self._has_room:
            self._add_if_absent(verdict)
            self._wake.set()

    def has_unsaved(self) -> bool:
        """Return whether the store has not accepted a verdict yet."""
        return bool(self._waiting_by_key)

    def wake(self) -> None:
        """Write and list soon, as changes may have been missed."""
        self._wake.set()

    def close(self) -> None:
        """Close the connection to the store, as the process ends."""
        self._store.close()

    async def run(self) -> None:
        """List and write until cancelled."""
        interval_s = FIRST_LIST_INTERVAL_S
        while True:
            self._wake.clear()
            try:
                await self._write_waiting()
                await self._list()
            except PlatformUnavailable as error:
                self._shared.log.record(
                    STORE_LOST, kind=KIND, reason=error.detail
                )
                self._failures += 1
                self.on_unavailable()
                await self._wait(self._retry_s())
                continue
            self._failures = 0
            if not await self._wait(interval_s):
                interval_s = LIST_INTERVAL_S

    @property
    def _has_room(self) -> bool:
        return self._object_count + len(self._waiting_by_key) < MAX_OBJECTS

    def _add_if_absent(self, verdict: Verdict) -> None:
        if verdict.key not in self._waiting_by_key:
            self._only_if_absent.add(verdict.key)
            self._waiting_by_key[verdict.key] = verdict

    def _retry_s(self) -> float:
        """Return when to try again: soon at first if a verdict waits.

        It is soon until the end of a process that has been told to stop.
        """
        retry_s = RETRY_S
        if self._waiting_by_key:
            doublings = min(self._failures - 1, MAX_DOUBLINGS)
            if self._shared.shutdown.ends_at is not None:
                doublings = 0
            retry_s = min(RETRY_S, FIRST_WRITE_RETRY_S * 2**doublings)
        return retry_s * (1.0 + self._shared.random.random())

    async def _wait(self, wait_s: float) -> bool:
        """Wait this long; return early, with True, if there is work."""
        try:
            async with asyncio.timeout(wait_s):
                return await self._wake.wait()
        except TimeoutError:
            return False

    async def _write_waiting(self) -> None:
        while self._waiting_by_key:
            key, verdict = next(iter(self._waiting_by_key.items()))
            spec = encode_quarantine(verdict, time.time())
            if key in self._only_if_absent:
                await self._store.create(KIND, key, spec)
            else:
                await self._store.put(KIND, key, spec)
            if self._waiting_by_key.get(key) is verdict:
                del self._waiting_by_key[key]
                self._only_if_absent.discard(key)

    async def _list(self) -> None:
        listing = await self._store.list(KIND, allow_stale=True)
        shared = self._shared
        self._object_count = len(listing.objects)
        wall_s = time.time()
        for stored in listing.objects:
            verdict = decode_quarantine(stored.name, stored.spec, wall_s)
            if verdict is None:
                continue
            if verdict.age_s > RETENTION_S:
                if self._sync.rank_for(verdict.key) == 0:
                    await self._store.delete(KIND, stored.name)
                continue
            now = shared.loop.time()
            if shared.crash_guard.quarantine.apply_listed(verdict, now):
                self._sync.on_listed(verdict)
        self._sync.check_listed()
        names = {stored.name for stored in listing.objects}
        for verdict in self._sync.find_unlisted(names):
            # Written with the next list, as this one may be an old one.
            self._add_if_absent(verdict)
