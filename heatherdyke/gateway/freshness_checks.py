"""Keeps known up to which revision the store's objects have not changed."""

import asyncio
from collections.abc import Mapping
from contextlib import suppress

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.freshness import CheckTiming
from heatherdyke.gateway.freshness import KindFreshness
from heatherdyke.gateway.freshness_sources import FreshnessSource
from heatherdyke.gateway.freshness_sources import FreshnessSources
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.peer_messages import FreshnessReport
from heatherdyke.gateway.peer_messages import KindReport
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.store_watcher import StoreWatcher

# Instances that start together check at different times.
INTERVAL_SPREAD = 0.1
# How long the first check waits for the list of instances.
INSTANCES_WAIT_S = 0.2
# An instance that starts serves after this time although the store refuses
# all up-to-date reads: old state is better for its clients than none.
MAX_START_S = 2.0


class FreshnessChecks:
    """Checks regularly; has watchers read what they have not shown in time.

    ``started`` is set once the state of all kinds has been complete, or
    MAX_START_S after their first lists.
    """

    __slots__ = (
        "started",
        "_shared",
        "_watcher_by_kind",
        "_sources",
        "_refresh",
        "_answers",
        "_due_kinds",
    )

    def __init__(
        self,
        shared: SharedState,
        watcher_by_kind: Mapping[str, StoreWatcher],
    ) -> None:
        self.started = asyncio.Event()
        self._shared = shared
        self._watcher_by_kind = watcher_by_kind
        self._sources = FreshnessSources(
            shared, watcher_by_kind, self._on_learned
        )
        self._refresh: asyncio.Task[None] | None = None
        self._answers: set[asyncio.Task[None]] = set()
        # Kinds whose changes are read up to date soon.
        self._due_kinds: set[str] = set()

    def close(self) -> None:
        """Close the connection to the store, as the process ends."""
        self._sources.close()

    async def run(self) -> None:
        """Check until cancelled."""
        for watcher in self._watcher_by_kind.values():
            await watcher.listed.wait()
        self._shared.loop.call_later(MAX_START_S, self.started.set)
        await self._wait_for_instances()
        while True:
            await self._update()
            spread = INTERVAL_SPREAD * self._shared.random.random()
            await asyncio.sleep(self._timing.interval_s * (1.0 - spread))

    def answer(self, exchange: Exchange) -> None:
        """Answer another instance that asks for the latest changes."""
        task = self._shared.loop.create_task(self._answer(exchange))
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)

    async def _answer(self, exchange: Exchange) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(self._timing.answer_timeout_s):
                await self._update()
        if not exchange.answered:
            body = encode_message(self._report())
            exchange.answer(ClientResponse(200, [], body))

    def _report(self) -> FreshnessReport:
        now = self._shared.loop.time()
        return FreshnessReport(
            [
                KindReport(
                    name,
                    kind.unchanged.after,
                    kind.unchanged.until,
                    now - kind.known_at,
                )
                for name, kind in self._by_kind.items()
                if kind.unchanged is not None
            ],
            self._shared.store_era.number,
        )

    @property
    def _timing(self) -> CheckTiming:
        return CheckTiming.from_bounds(self._shared.settings.bounds)

    @property
    def _by_kind(self) -> dict[str, KindFreshness]:
        return self._shared.freshness.by_kind

    async def _wait_for_instances(self) -> None:
        wait_until = self._shared.loop.time() + INSTANCES_WAIT_S
        while not self._shared.instances:
            if self._shared.loop.time() > wait_until:
                return
            await asyncio.sleep(INSTANCES_WAIT_S / 20)

    async def _update(self) -> None:
        """Learn of the latest changes unless they are known as of recently.

        Callers at the same time wait for the same read.  Before the first
        lists there is no revision to read from.
        """
        watchers = self._watcher_by_kind.values()
        if not all(watcher.listed.is_set() for watcher in watchers):
            return
        age_s = self._shared.loop.time() - self._shared.freshness.known_at
        if age_s <= self._timing.max_age_s:
            return
        if self._refresh is None or self._refresh.done():
            self._refresh = self._shared.loop.create_task(self._learn())
        await asyncio.shield(self._refresh)

    async def _learn(self) -> None:
        source = await self._sources.learn()
        self._shared.metrics.count("freshness_checks", source.value)
        is_behind = bool(self._shared.freshness.behind())
        if not is_behind and source is not FreshnessSource.NONE:
            self.started.set()

    def _on_learned(self) -> None:
        """Give the watches some time, from the check on, to show changes."""
        loop = self._shared.loop
        for name in self._shared.freshness.behind():
            if name in self._due_kinds:
                continue
            self._due_kinds.add(name)
            due_at = loop.time()
            if self.started.is_set():
                due_at = self._by_kind[name].known_at + self._timing.arrival_s
            loop.call_at(due_at, self._catch_up, name)

    def _catch_up(self, name: str) -> None:
        """Have the changes read that the watch has not shown."""
        self._due_kinds.discard(name)
        if self._by_kind[name].is_behind:
            self._shared.metrics.count("catch_ups", name)
            self._watcher_by_kind[name].catch_up()
        if not self.started.is_set():
            self._shared.loop.call_later(
                self._timing.ask_timeout_s, self._check_started
            )

    def _check_started(self) -> None:
        if not self._shared.freshness.behind():
            self.started.set()
