"""The runs that one instance has in memory, and their driver tasks."""

import asyncio
from collections.abc import Iterator

from heatherdyke.clock import Clock
from heatherdyke.config.model import RunOnceMode
from heatherdyke.messages import RunRequest
from heatherdyke.observe.events import RUN_ENDED
from heatherdyke.observe.events import RUN_RESULT_PARKED
from heatherdyke.observe.journal import Journal
from heatherdyke.run_once.driver import HeldRun
from heatherdyke.run_once.driver import RunDriver
from heatherdyke.run_once.state_machine import RunIntent
from heatherdyke.run_once.state_machine import RunPhase
from heatherdyke.run_once.state_machine import RunProgress
from heatherdyke.run_once.state_machine import resume
from heatherdyke.run_once.tickets import Ticket
from heatherdyke.run_once.tickets import TicketIssuer

MAX_TICKET_RUNS = 20_000
MAX_RECORDED_RUNS = 20_000


class RunRegistry:
    """Finds or creates the run of a key and drives it in a task.

    If not ``guarded``, the mechanism is switched off: no run is retained, and
    every request is sent.
    """

    def __init__(
        self,
        tickets: TicketIssuer,
        driver: RunDriver,
        journal: Journal,
        clock: Clock,
        guarded: bool,
    ) -> None:
        self.tickets = tickets
        self._driver = driver
        self._journal = journal
        self._clock = clock
        self._guarded = guarded
        self._held_by_name: dict[str, HeldRun] = {}
        self._tasks: set[asyncio.Task] = set()
        self._attempt_count = 0

    @property
    def running(self) -> int:
        """Return the number of runs that are being driven."""
        return len(self._tasks)

    def find(self, team: str, key: str) -> HeldRun | None:
        """Return the run of a key, or None if it is not in memory."""
        return self._held_by_name.get(f"{team}/{key}")

    def unstored_runs(self) -> list[HeldRun]:
        """Return the runs whose outcome is not yet stored in the platform."""
        return [
            held for held in self._held_by_name.values() if not held.stored
        ]

    def find_or_create(
        self,
        team: str,
        key: str,
        intent: RunIntent,
        expires_at: float,
        fingerprint: str = "",
    ) -> HeldRun:
        """Return the run of a key; create it if it is not in memory.

        The caller then drives it with ``start``.
        """
        held = self.find(team, key)
        if held is None or not self._guarded:
            held = self._create(team, key, intent, expires_at)
            held.fingerprint = fingerprint
            return held
        if held.task is None:
            held.progress = resume(held.progress, intent)
            held.expires_at = expires_at
        return held

    def start(
        self,
        held: HeldRun,
        request: RunRequest | None = None,
        priority: int = 0,
    ) -> None:
        """Drive the run unless it is stopped or already driven."""
        self._retain(held)
        if held.task is not None or held.progress.is_stopped:
            return
        if request is not None:
            held.request = request
            held.priority = priority
        held.task = asyncio.create_task(self._drive(held))
        self._tasks.add(held.task)
        held.task.add_done_callback(self._tasks.discard)

    async def wait(self, held: HeldRun, until: float) -> None:
        """Wait until the run stops, at most until monotonic ``until``."""
        if held.task is not None:
            timeout_s = max(0.0, until - self._clock.now())
            await asyncio.wait({held.task}, timeout=timeout_s)

    async def retry_unstored(self) -> None:
        """Retry to store the outcomes that the platform did not accept."""
        for held in self.unstored_runs():
            await self._driver.retry_store(held)
            self._evict_if_safe(held)

    async def wait_until_stored(self, until: float) -> None:
        """Wait for running tasks and unstored outcomes until ``until``."""
        while self._tasks or self.unstored_runs():
            if self._clock.now() >= until:
                return
            await self.retry_unstored()
            await asyncio.sleep(0.05)

    def _retain(self, held: HeldRun) -> None:
        """Retain a run that is driven or must not be evicted.

        Lookups are not retained.
        """
        if held.progress.intent is RunIntent.LOOKUP:
            return
        if held.progress.must_be_retained or not held.progress.is_stopped:
            self._held_by_name[held.name] = held

    def _create(
        self, team: str, key: str, intent: RunIntent, expires_at: float
    ) -> HeldRun:
        self._attempt_count += 1
        tickets = self.tickets
        attempt = (
            f"{tickets.instance}:{tickets.incarnation}:{self._attempt_count}"
        )
        progress = self._first_progress(key, intent)
        return HeldRun(team, key, attempt, progress, expires_at)

    def _first_progress(self, key: str, intent: RunIntent) -> RunProgress:
        ticket = Ticket.from_key(key)
        if ticket is None:
            return RunProgress.begin(
                intent, RunOnceMode.RECORDED, guarded=self._guarded
            )
        owns = self.tickets.is_own(ticket)
        if owns and not self.tickets.is_unused(ticket):
            return RunProgress(
                intent, RunPhase.MAY_HAVE_RUN, RunOnceMode.TICKET
            )
        return RunProgress.begin(
            intent, RunOnceMode.TICKET, owns, self._guarded
        )

    async def _drive(self, held: HeldRun) -> None:
        try:
            await self._driver.drive(held)
        finally:
            held.task = None
        self._journal.record(
            RUN_ENDED,
            team=held.team,
            key=held.key,
            attempt=held.attempt,
            phase=held.progress.phase.value,
            detail=held.detail,
        )
        if not held.stored:
            self._journal.record(
                RUN_RESULT_PARKED,
                team=held.team,
                key=held.key,
                attempt=held.attempt,
            )
        self._evict_if_safe(held)
        self._evict_oldest()

    def _evict_if_safe(self, held: HeldRun) -> None:
        """Evict a run whose outcome the platform or its holder knows."""
        is_ticket = Ticket.from_key(held.key) is not None
        known_elsewhere = held.stored and held.progress.is_stopped
        if held.progress.phase is RunPhase.UNKNOWN:
            known_elsewhere = not held.progress.must_be_retained
        elif is_ticket:
            known_elsewhere = not held.progress.is_holder
        if known_elsewhere or not self._guarded:
            if self._held_by_name.get(held.name) is held:
                del self._held_by_name[held.name]

    def _evict_oldest(self) -> None:
        if len(self._held_by_name) <= MAX_TICKET_RUNS + MAX_RECORDED_RUNS:
            return
        for held in list(self._evictable_runs())[: MAX_TICKET_RUNS // 10]:
            ticket = Ticket.from_key(held.key)
            if ticket is not None:
                self.tickets.mark_evicted(ticket)
            del self._held_by_name[held.name]

    def _evictable_runs(self) -> Iterator[HeldRun]:
        for held in self._held_by_name.values():
            if held.progress.is_stopped and held.stored:
                yield held
