"""The runs that one instance has in memory, and their driver tasks."""

import asyncio
from collections.abc import Iterator

from heatherdyke.clock import Clock
from heatherdyke.config.model import RunOnceMode
from heatherdyke.messages import RunRequest
from heatherdyke.observe.events import RUN_ENDED
from heatherdyke.observe.events import RUN_RESULT_PARKED
from heatherdyke.observe.journal import Journal
from heatherdyke.run_once.driver import LocalRun
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

    If not ``guarded``, the mechanism is switched off: runs in memory are not
    reused, and every request to run is sent.
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
        self._run_by_name: dict[str, LocalRun] = {}
        self._tasks: set[asyncio.Task] = set()
        self._attempt_count = 0

    @property
    def running(self) -> int:
        """Return the number of runs that are being driven."""
        return len(self._tasks)

    def find(self, team: str, key: str) -> LocalRun | None:
        """Return the run of a key, or None if it is not in memory."""
        return self._run_by_name.get(f"{team}/{key}")

    def unstored_runs(self) -> list[LocalRun]:
        """Return the runs whose outcome is not yet stored in the platform."""
        return [run for run in self._run_by_name.values() if not run.stored]

    def find_or_create(
        self,
        team: str,
        key: str,
        intent: RunIntent,
        expires_at: float,
        fingerprint: str = "",
    ) -> LocalRun:
        """Return the run of a key; create it if it is not in memory.

        The caller then drives it with ``start``.
        """
        run = self.find(team, key)
        if run is None or not self._guarded:
            run = self._create(team, key, intent, expires_at)
            run.fingerprint = fingerprint
            return run
        if run.task is None:
            run.progress = resume(run.progress, intent)
            run.expires_at = expires_at
        return run

    def start(
        self,
        run: LocalRun,
        request: RunRequest | None = None,
        priority: int = 0,
    ) -> None:
        """Drive the run unless it is stopped or already driven."""
        self._retain(run)
        if run.task is not None or run.progress.is_stopped:
            return
        if request is not None:
            run.request = request
            run.priority = priority
        run.task = asyncio.create_task(self._drive(run))
        self._tasks.add(run.task)
        run.task.add_done_callback(self._tasks.discard)

    async def wait(self, run: LocalRun, until: float) -> None:
        """Wait until the run stops, at most until monotonic ``until``."""
        if run.task is not None:
            timeout_s = max(0.0, until - self._clock.now())
            await asyncio.wait({run.task}, timeout=timeout_s)

    async def retry_unstored(self) -> None:
        """Retry to store the outcomes that the platform did not accept."""
        for run in self.unstored_runs():
            await self._driver.retry_store(run)
            self._evict_if_safe(run)

    async def wait_until_stored(self, until: float) -> None:
        """Wait for running tasks and unstored outcomes until ``until``."""
        while self._tasks or self.unstored_runs():
            if self._clock.now() >= until:
                return
            await self.retry_unstored()
            await asyncio.sleep(0.05)

    def _retain(self, run: LocalRun) -> None:
        """Retain a run that is driven or must not be evicted.

        Lookups are not retained.
        """
        if run.progress.intent is RunIntent.LOOKUP:
            return
        if run.progress.must_be_retained or not run.progress.is_stopped:
            self._run_by_name[run.name] = run

    def _create(
        self, team: str, key: str, intent: RunIntent, expires_at: float
    ) -> LocalRun:
        self._attempt_count += 1
        tickets = self.tickets
        attempt = (
            f"{tickets.instance}:{tickets.incarnation}:{self._attempt_count}"
        )
        progress = self._first_progress(key, intent)
        return LocalRun(team, key, attempt, progress, expires_at)

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

    async def _drive(self, run: LocalRun) -> None:
        try:
            await self._driver.drive(run)
        finally:
            run.task = None
        self._journal.record(
            RUN_ENDED,
            team=run.team,
            key=run.key,
            attempt=run.attempt,
            phase=run.progress.phase.value,
            detail=run.detail,
        )
        if not run.stored:
            self._journal.record(
                RUN_RESULT_PARKED,
                team=run.team,
                key=run.key,
                attempt=run.attempt,
            )
        self._evict_if_safe(run)
        self._evict_oldest()

    def _evict_if_safe(self, run: LocalRun) -> None:
        """Evict a run whose outcome the platform or its holder knows."""
        is_ticket = Ticket.from_key(run.key) is not None
        known_elsewhere = run.stored and run.progress.is_stopped
        if run.progress.phase is RunPhase.UNKNOWN:
            known_elsewhere = not run.progress.must_be_retained
        elif is_ticket:
            known_elsewhere = not run.progress.is_holder
        if known_elsewhere or not self._guarded:
            if self._run_by_name.get(run.name) is run:
                del self._run_by_name[run.name]

    def _evict_oldest(self) -> None:
        if len(self._run_by_name) <= MAX_TICKET_RUNS + MAX_RECORDED_RUNS:
            return
        for run in list(self._evictable_runs())[: MAX_TICKET_RUNS // 10]:
            ticket = Ticket.from_key(run.key)
            if ticket is not None:
                self.tickets.mark_evicted(ticket)
            del self._run_by_name[run.name]

    def _evictable_runs(self) -> Iterator[LocalRun]:
        for run in self._run_by_name.values():
            if run.progress.is_stopped and run.stored:
                yield run
