"""Performs the actions that ``run_once`` allows, one key at a time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from heatherdyke.clock import Clock
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import TransportError
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRun
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import PeerRunOnce
from heatherdyke.messages import PeerRunOnceOutcome
from heatherdyke.messages import RunRequest
from heatherdyke.run_once.state_machine import RunEvent
from heatherdyke.run_once.state_machine import RunIntent
from heatherdyke.run_once.state_machine import RunPhase
from heatherdyke.run_once.state_machine import RunProgress
from heatherdyke.run_once.state_machine import step
from heatherdyke.run_once.store import RecordState
from heatherdyke.run_once.store import RunRecord
from heatherdyke.run_once.store import RunStore
from heatherdyke.run_once.store import StoredRecord

FIRST_PAUSE_S = 0.02
LAST_PAUSE_S = 0.5
MAX_READ_TRIES = 4
REFUSED_UNSTARTED = frozenset(
    {
        "shed",
        "draining",
        "not_home",
        "unknown_shard",
        "shard_split",
        "snapshot_gone",
    }
)
HOLDER_EVENTS = {
    RunPhase.DONE: RunEvent.HOLDER_DONE,
    RunPhase.NOT_RUN: RunEvent.HOLDER_NOT_RUN,
    RunPhase.MAY_HAVE_RUN: RunEvent.HOLDER_UNSURE,
    RunPhase.REUSED: RunEvent.FOUND_REUSED,
}

Send = Callable[[str, LeafRun, int], Awaitable[LeafRunAnswer | LeafRefusal]]
Ask = Callable[["HeldRun"], Awaitable[PeerRunOnceOutcome]]
ChooseLeaves = Callable[[str, str], list[str]]


@dataclass(slots=True)
class HeldRun:
    """What an instance has in memory of one key.

    ``record`` is the platform's as last seen; ``stored`` is False while a
    result or a closing waits for the platform.  ``expires_at`` is
    monotonic.
    """

    team: str
    key: str
    attempt: str
    progress: RunProgress
    expires_at: float
    priority: int = 0
    request: RunRequest | None = None
    fingerprint: str = ""
    record: StoredRecord | None = None
    result: str | None = None
    leaf: str = ""
    detail: str = ""
    tries: int = 0
    stored: bool = True
    holder_runs: bool = False
    task: asyncio.Task | None = field(default=None, repr=False)

    @property
    def name(self) -> str:
        """Return the name under which the platform and leaves know it."""
        return f"{self.team}/{self.key}"


@dataclass(frozen=True, slots=True)
class Identity:
    """Which instance drives."""

    name: str
    address: str


class RunDriver:
    """Takes a held run from phase to phase until it rests.

    ``send`` brings a run to a leaf through its home and raises
    TransportError; ``ask`` asks the holder and raises it too;
    ``choose_leaves`` names the leaves of a service's shard, best first.
    """

    def __init__(
        self,
        identity: Identity,
        store: RunStore,
        send: Send,
        ask: Ask,
        choose_leaves: ChooseLeaves,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._store = store
        self._send = send
        self._ask = ask
        self._choose_leaves = choose_leaves
        self._clock = clock
        self._action_by_phase = {
            RunPhase.CREATE: self._create_record,
            RunPhase.READ: self._read_record,
            RunPhase.SEND: self._send_to_leaf,
            RunPhase.CLOSE: self._close_record,
            RunPhase.STORE: self._store_result,
            RunPhase.ASK: self._ask_holder,
            RunPhase.FETCH: self._fetch_result,
        }

    async def drive(self, held: HeldRun) -> None:
        """Perform actions until the held run rests."""
        held.tries = 0
        held.holder_runs = False
        while not held.progress.resting:
            action = self._action_by_phase[held.progress.phase]
            event = await action(held)
            held.progress = step(held.progress, event)

    async def store_again(self, held: HeldRun) -> None:
        """Try once more to store what the platform did not take."""
        if held.result is not None:
            event = await self._store_result(held)
        else:
            event = await self._close_record(held)
        held.stored = event is RunEvent.STORED

    async def _create_record(self, held: HeldRun) -> RunEvent:
        runs = held.progress.intent is RunIntent.RUN
        record = RunRecord(
            RecordState.SENDING if runs else RecordState.NOT_RUN,
            held.fingerprint,
            held.attempt,
            self._identity.name,
            self._identity.address,
            self._clock.wall(),
        )
        event, version = await self._store.create(held.name, record)
        if event is RunEvent.CREATED:
            held.record = StoredRecord(record, version)
        return event

    async def _read_record(self, held: HeldRun) -> RunEvent:
        try:
            held.record = await self._store.read(held.name)
        except PlatformUnavailable as error:
            held.detail = error.detail
            if await self._pause(held, MAX_READ_TRIES):
                return RunEvent.LOST
            return RunEvent.OUT_OF_TIME
        if held.record is None:
            return RunEvent.FOUND_ABSENT
        return self._judge_record(held, held.record.record)

    def _judge_record(self, held: HeldRun, record: RunRecord) -> RunEvent:
        if held.fingerprint and record.fingerprint:
            if held.fingerprint != record.fingerprint:
                return RunEvent.FOUND_REUSED
        if record.state is RecordState.DONE:
            return RunEvent.FOUND_DONE
        if record.state is RecordState.NOT_RUN:
            return RunEvent.FOUND_NOT_RUN
        if record.attempt == held.attempt:
            return RunEvent.FOUND_OWN
        return RunEvent.FOUND_OTHER

    async def _send_to_leaf(self, held: HeldRun) -> RunEvent:
        remaining_ms = (held.expires_at - self._clock.now()) * 1000
        if remaining_ms <= 0:
            return RunEvent.OUT_OF_TIME
        request = held.request
        leaves = self._choose_leaves(request.service, request.shard)
        if not leaves:
            held.detail = f"no leaf of shard {request.shard!r} is in use"
            return await self._after_refusal(held)
        held.leaf = leaves[held.tries % len(leaves)]
        run = LeafRun(
            held.attempt,
            held.name,
            f"{request.service}/{request.shard}",
            request.operation,
            request.argument,
            remaining_ms,
            self._identity.name,
        )
        try:
            outcome = await self._send(held.leaf, run, held.priority)
        except TransportError as error:
            held.detail = error.detail
            if error.sent:
                return RunEvent.BROKEN
            return await self._after_refusal(held)
        except BaseException:
            held.progress = step(held.progress, RunEvent.BROKEN)
            raise
        if isinstance(outcome, LeafRunAnswer):
            held.result = outcome.result
            return RunEvent.ANSWERED
        held.detail = f"leaf {held.leaf} refused: {outcome.kind}"
        if outcome.kind not in REFUSED_UNSTARTED:
            return RunEvent.BROKEN
        return await self._after_refusal(held)

    async def _after_refusal(self, held: HeldRun) -> RunEvent:
        if await self._pause(held):
            return RunEvent.REFUSED
        return RunEvent.OUT_OF_TIME

    async def _close_record(self, held: HeldRun) -> RunEvent:
        event = await self._store.close(held.name, held.record)
        held.stored = event is RunEvent.STORED
        return event

    async def _store_result(self, held: HeldRun) -> RunEvent:
        event = await self._store.finish(
            held.name, held.record, held.leaf, held.result
        )
        held.stored = event is RunEvent.STORED
        return event

    async def _ask_holder(self, held: HeldRun) -> RunEvent:
        if held.expires_at <= self._clock.now():
            return RunEvent.OUT_OF_TIME
        try:
            outcome = await self._ask(held)
        except TransportError as error:
            held.detail = f"the holder cannot be asked: {error.detail}"
            return RunEvent.HOLDER_GONE
        held.detail = outcome.detail
        if not outcome.phase:
            return RunEvent.HOLDER_GONE
        held.result = outcome.result
        phase = RunPhase(outcome.phase)
        if phase in HOLDER_EVENTS:
            return HOLDER_EVENTS[phase]
        held.holder_runs = phase is not RunPhase.UNKNOWN
        return RunEvent.OUT_OF_TIME

    async def _fetch_result(self, held: HeldRun) -> RunEvent:
        try:
            held.result = await self._store.fetch(
                held.name, held.record.record.chunks
            )
        except PlatformUnavailable as error:
            held.detail = error.detail
            if await self._pause(held, MAX_READ_TRIES):
                return RunEvent.LOST
            return RunEvent.OUT_OF_TIME
        return RunEvent.FETCHED

    async def _pause(
        self, held: HeldRun, max_tries: int | None = None
    ) -> bool:
        """Wait before a further try; return False if there is none."""
        held.tries += 1
        if max_tries is not None and held.tries >= max_tries:
            return False
        pause_s = min(LAST_PAUSE_S, FIRST_PAUSE_S * 2 ** min(held.tries, 10))
        if self._clock.now() + pause_s >= held.expires_at:
            return False
        await asyncio.sleep(pause_s)
        return True


def to_question(held: HeldRun, now: float) -> PeerRunOnce:
    """Return what to ask the holder of a held run's key."""
    record = held.record
    return PeerRunOnce(
        held.team,
        held.key,
        record.record.attempt if record is not None else "",
        held.progress.intent.value,
        held.priority,
        max(0.0, held.expires_at - now) * 1000,
        held.fingerprint,
        held.request,
    )
