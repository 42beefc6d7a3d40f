"""Keeps known up to which revision the store's objects have not changed.

One instance reads the store; the others ask it, or one that has asked it.  An
instance that gets no recent answer reads the store itself.
"""

import asyncio
from collections.abc import Mapping
from contextlib import suppress

import msgspec

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.freshness import CheckTiming
from heatherdyke.gateway.freshness import KindFreshness
from heatherdyke.gateway.freshness import QuietRange
from heatherdyke.gateway.freshness import instance_to_ask
from heatherdyke.gateway.freshness import last_change
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.peer_messages import FRESHNESS_PATH
from heatherdyke.gateway.peer_messages import FreshnessReport
from heatherdyke.gateway.peer_messages import KindReport
from heatherdyke.gateway.peer_messages import decode_message
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_send import PeerSend
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.store_watcher import StoreWatcher
from heatherdyke.platform.store import HistoryGone
from heatherdyke.platform.store import StoreClient

# Instances that start together check at different times.
INTERVAL_SPREAD = 0.1
# How long an instance is not asked again that has not answered, or that knew
# less than the store, as it may be the last to reach the store again.
NO_ANSWER_PAUSE_S = 10.0
OLD_ANSWER_PAUSE_S = 2.0
# Pauses after reads that the store refuses, which each instance then makes.
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 2.0
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
        "_store",
        "_failed_until",
        "_pause_s",
        "_read_again_at",
        "_refresh",
        "_answers",
    )

    def __init__(
        self,
        shared: SharedState,
        watcher_by_kind: Mapping[str, StoreWatcher],
    ) -> None:
        self.started = asyncio.Event()
        self._shared = shared
        self._watcher_by_kind = watcher_by_kind
        self._store = StoreClient(shared.settings.store.address, shared.memory)
        self._failed_until: dict[str, float] = {}
        self._pause_s = FIRST_PAUSE_S
        self._read_again_at = 0.0
        self._refresh: asyncio.Task[None] | None = None
        self._answers: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Close the connection to the store, as the process ends."""
        self._store.close()

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
                    kind.quiet.changed,
                    kind.quiet.until,
                    now - kind.known_at,
                )
                for name, kind in self._by_kind.items()
                if kind.quiet is not None
            ]
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

        Callers at the same time wait for the same read.
        """
        age_s = self._shared.loop.time() - self._shared.freshness.known_at
        if age_s <= self._timing.max_age_s:
            return
        if self._refresh is None or self._refresh.done():
            self._refresh = self._shared.loop.create_task(self._learn())
        await asyncio.shield(self._refresh)

    async def _learn(self) -> None:
        how = await self._ask_or_read()
        self._shared.metrics.count("freshness_checks", how)
        behind = self._shared.freshness.behind()
        if behind:
            arrival_s = self._timing.arrival_s if self.started.is_set() else 0
            self._shared.loop.call_later(arrival_s, self._catch_up)
        elif how != "failed":
            self.started.set()

    async def _ask_or_read(self) -> str:
        """Ask an instance, or else read; return which of them succeeded."""
        asked = self._instance_to_ask()
        report = None
        if asked is not None:
            report = await self._request_report(asked)
            if report is not None and self._is_recent():
                return "instance"
        if not await self._try_to_read():
            return "failed"
        if asked is not None:
            pause_s = OLD_ANSWER_PAUSE_S if report else NO_ANSWER_PAUSE_S
            now = self._shared.loop.time()
            self._failed_until[asked.leaf_id] = now + pause_s
        return "store"

    def _is_recent(self) -> bool:
        """Return whether the latest changes are known well enough."""
        max_age_s = self._timing.max_age_s + self._timing.ask_timeout_s
        known_at = self._shared.freshness.known_at
        return self._shared.loop.time() - known_at <= max_age_s

    async def _try_to_read(self) -> bool:
        """Read the store unless it has just refused that."""
        if self._shared.loop.time() < self._read_again_at:
            return False
        if await self._read_store():
            self._pause_s = FIRST_PAUSE_S
            return True
        self._read_again_at = self._shared.loop.time() + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2.0 * self._pause_s)
        return False

    def _catch_up(self) -> None:
        """Have the changes read that the watches have not shown."""
        for kind in self._shared.freshness.behind():
            self._shared.metrics.count("catch_ups", kind)
            self._watcher_by_kind[kind].catch_up()
        if not self.started.is_set():
            self._shared.loop.call_later(
                self._timing.ask_timeout_s, self._check_started
            )

    def _check_started(self) -> None:
        if not self._shared.freshness.behind():
            self.started.set()

    def _instance_to_ask(self) -> Leaf | None:
        shared = self._shared
        silent_zones = shared.isolation.zones.silent_zones()
        found = (shared.peers.find(name) for name in shared.peers.names())
        names = [
            peer.leaf_id
            for peer in found
            if peer.entry.zone not in silent_zones
        ]
        name = instance_to_ask(
            shared.settings.name,
            names,
            self._failed_until,
            shared.loop.time(),
        )
        return None if name is None else shared.peers.find(name)

    async def _request_report(self, peer: Leaf) -> FreshnessReport | None:
        """Ask another instance and learn from its answer, None without one."""
        answered = self._shared.loop.create_future()

        def on_end(response: LeafResponse | None, reason: str) -> None:
            if not answered.done():
                answered.set_result(response)

        body = encode_message(FreshnessReport([]))
        send = PeerSend(self._shared, peer, lambda: body, on_end)
        send.start_at_once(FRESHNESS_PATH, self._timing.ask_timeout_s)
        asked_at = self._shared.loop.time()
        response = await answered
        if response is None:
            return None
        try:
            report = decode_message(response.body, FreshnessReport)
        except msgspec.MsgspecError:
            return None
        self._learn_report(report, asked_at)
        return report

    def _learn_report(self, report: FreshnessReport, asked_at: float) -> None:
        """Learn what was known when the question was sent.

        The answer may have been delayed on its way.
        """
        for item in report.kinds:
            kind = self._by_kind.get(item.kind)
            if kind is not None:
                quiet = QuietRange(item.changed, item.until)
                kind.learn(quiet, asked_at - item.age_s)

    async def _read_store(self) -> bool:
        """Read the store up to date; return whether that succeeded.

        A store that the watches cannot reach is left to them, and a kind whose
        history is gone is listed.
        """
        watchers = self._watcher_by_kind.values()
        if all(watcher.unavailable_for_s() for watcher in watchers):
            return False
        latest = 0
        called_at = self._shared.loop.time()
        for name, kind in self._by_kind.items():
            since = kind.read_from
            if latest and since >= latest:
                kind.learn(QuietRange(since, since), called_at)
                continue
            called_at = self._shared.loop.time()
            try:
                page = await self._store.changes_since(name, since)
            except HistoryGone:
                self._watcher_by_kind[name].relist()
                continue
            except PlatformUnavailable:
                return False
            changed = last_change(page.changes, since, page.revision)
            kind.learn(QuietRange(changed, page.revision), called_at)
            latest = page.revision
        return True
