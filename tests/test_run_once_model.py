"""Model check of the run-once state machine, using the production code.

Up to three attempts run one key: instance a, instance b (a load balancer's
retry), and instance a after a restart.  Between any two steps an attempt may
pause for any time, crash, lose the platform's reply before or after the write
takes effect, have its write delayed beyond all other steps, be disconnected
from the holder, or lose the connection to the leaf with a request in flight.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace

import pytest
from minicheck import Protocol
from minicheck import check_safety

from heatherdyke.config.model import RunOnceMode
from heatherdyke.run_once.state_machine import FINAL_PHASES
from heatherdyke.run_once.state_machine import RunEvent
from heatherdyke.run_once.state_machine import RunIntent
from heatherdyke.run_once.state_machine import RunPhase
from heatherdyke.run_once.state_machine import RunProgress
from heatherdyke.run_once.state_machine import resume
from heatherdyke.run_once.state_machine import step

MAX_STATES = 2_000_000
SENDING, DONE, NOT_RUN = "sending", "done", "not_run"
RESTARTED = 2


@dataclass(frozen=True, slots=True)
class Attempt:
    """The attempt of one incarnation; ``late_write`` is a delayed write."""

    progress: RunProgress | None = None
    dead: bool = False
    late_write: str = ""
    request: str = ""


@dataclass(frozen=True, slots=True)
class World:
    """The model's state.

    ``record`` is (state, holder) or None; ``reported`` are the outcomes that
    callers received.
    """

    attempts: tuple[Attempt, ...]
    record: tuple[str, int] | None = None
    runs: int = 0
    reported: frozenset[RunPhase] = frozenset()

    def with_attempt(self, index: int, attempt: Attempt, **changes) -> "World":
        attempts = list(self.attempts)
        attempts[index] = attempt
        return replace(self, attempts=tuple(attempts), **changes)


class Spec:
    """The transitions of the model around ``step``."""

    def __init__(self, mode: RunOnceMode, guarded: bool, crashes: int) -> None:
        self.mode = mode
        self.guarded = guarded
        self.crashes = crashes

    def protocol(self, attempts: int) -> Protocol:
        return Protocol(
            name="run-once",
            candidate=False,
            fields=("world",),
            initial=(World((Attempt(),) * attempts),),
            transitions=lambda state: [
                (label, (world,)) for label, world in self.moves(state[0])
            ],
            invariants={
                "runs at most once": lambda d: d["world"].runs <= 1,
                "not run is true": lambda d: (
                    not (
                        RunPhase.NOT_RUN in d["world"].reported
                        and d["world"].runs
                    )
                ),
                "an outcome never changes": lambda d: (
                    not (
                        {RunPhase.NOT_RUN, RunPhase.DONE}
                        <= d["world"].reported
                    )
                ),
                "a result implies a run": lambda d: (
                    RunPhase.DONE not in d["world"].reported or d["world"].runs
                ),
            },
        )

    def moves(self, world: World) -> Iterator[tuple[str, World]]:
        for index, attempt in enumerate(world.attempts):
            yield from self._environment(world, index, attempt)
            if attempt.dead:
                continue
            yield from self._requested(world, index, attempt)
            if attempt.progress and not attempt.progress.is_stopped:
                perform = getattr(self, f"_{attempt.progress.phase.value}")
                yield from perform(world, index, attempt)

    def _environment(self, world, index, attempt):
        if attempt.late_write:
            written = self._write(world, index, attempt.late_write)
            yield (
                "late write takes effect",
                written.with_attempt(index, replace(attempt, late_write="")),
            )
        if attempt.request == "in flight":
            yield (
                "leaf runs",
                world.with_attempt(
                    index,
                    replace(attempt, request="answered"),
                    runs=min(2, world.runs + 1),
                ),
            )
        dead = sum(a.dead for a in world.attempts)
        if attempt.progress and not attempt.dead and dead < self.crashes:
            answered = attempt.request == "answered"
            yield (
                "crash",
                world.with_attempt(
                    index,
                    replace(
                        attempt,
                        progress=None,
                        dead=True,
                        request="" if answered else attempt.request,
                    ),
                ),
            )

    def _requested(self, world, index, attempt):
        if index == RESTARTED and not world.attempts[0].dead:
            return
        intents = [RunIntent.RUN, RunIntent.WITHDRAW]
        for intent in intents[:1] if index == RESTARTED else intents:
            if attempt.progress is None:
                progress = RunProgress.begin(
                    intent, self.mode, index == 0, self.guarded
                )
            else:
                progress = resume(attempt.progress, intent)
            if progress != attempt.progress:
                yield (
                    f"requested {intent.value} {index}",
                    world.with_attempt(
                        index, replace(attempt, progress=progress)
                    ),
                )

    def _after(self, world, index, event, **changes):
        attempt = world.attempts[index]
        progress = step(attempt.progress, event)
        reported = world.reported
        if progress.phase in FINAL_PHASES:
            reported = reported | {progress.phase} - {RunPhase.MAY_HAVE_RUN}
            if attempt.request == "answered":
                changes.setdefault("request", "")
        if progress.is_stopped and not progress.must_be_retained:
            progress = None
        attempt = replace(attempt, progress=progress, **changes)
        return f"{event.value} {index}", world.with_attempt(
            index, attempt, reported=reported
        )

    def _write(self, world, index, state):
        """Create the record, or update it if this attempt created it."""
        creates = state in ("create " + SENDING, "create " + NOT_RUN)
        if creates and world.record is None:
            return replace(world, record=(state.split()[1], index))
        if not creates and world.record == (SENDING, index):
            return replace(world, record=(state, index))
        return world

    def _create(self, world, index, attempt):
        kind = NOT_RUN
        if attempt.progress.intent is RunIntent.RUN:
            kind = SENDING
        write = "create " + kind
        if not attempt.late_write:
            written = self._write(world, index, write)
            event = RunEvent.EXISTS if world.record else RunEvent.CREATED
            yield self._after(written, index, event)
            yield self._after(written, index, RunEvent.NO_REPLY)
            yield self._after(
                world, index, RunEvent.NO_REPLY, late_write=write
            )
        yield self._after(world, index, RunEvent.DEADLINE_EXCEEDED)

    def _read(self, world, index, attempt):
        yield self._after(world, index, RunEvent.DEADLINE_EXCEEDED)
        if world.record is None:
            yield self._after(world, index, RunEvent.FOUND_ABSENT)
            return
        state, holder = world.record
        event = {
            DONE: RunEvent.FOUND_DONE,
            NOT_RUN: RunEvent.FOUND_NOT_RUN,
            SENDING: RunEvent.FOUND_OTHER,
        }[state]
        if state == SENDING and holder == index:
            event = RunEvent.FOUND_OWN
        yield self._after(world, index, event)

    def _send(self, world, index, attempt):
        if not attempt.request:
            yield (
                "send",
                world.with_attempt(
                    index, replace(attempt, request="in flight")
                ),
            )
            yield self._after(world, index, RunEvent.NOT_SENT)
            yield self._after(world, index, RunEvent.DEADLINE_EXCEEDED)
            return
        if attempt.request == "answered":
            yield self._after(world, index, RunEvent.ANSWERED)
        if attempt.request == "in flight":
            yield self._after(world, index, RunEvent.REFUSED, request="")
        remaining_request = attempt.request if self.guarded else ""
        yield self._after(
            world, index, RunEvent.CONNECTION_BROKEN, request=remaining_request
        )

    def _store(self, world, index, attempt):
        yield from self._update(world, index, attempt, DONE)

    def _close(self, world, index, attempt):
        yield from self._update(world, index, attempt, NOT_RUN)

    def _update(self, world, index, attempt, state):
        written = self._write(world, index, state)
        yield self._after(written, index, RunEvent.STORED)
        yield self._after(written, index, RunEvent.NO_REPLY)
        if not attempt.late_write:
            yield self._after(
                world, index, RunEvent.NO_REPLY, late_write=state
            )

    def _ask(self, world, index, attempt):
        holder = 0 if self.mode is RunOnceMode.TICKET else world.record[1]
        holder_attempt = world.attempts[holder]
        yield self._after(world, index, RunEvent.HOLDER_UNREACHABLE)
        yield self._after(world, index, RunEvent.DEADLINE_EXCEEDED)
        if holder_attempt.dead or holder_attempt.progress is None:
            return
        event = {
            RunPhase.DONE: RunEvent.HOLDER_DONE,
            RunPhase.NOT_RUN: RunEvent.HOLDER_NOT_RUN,
            RunPhase.MAY_HAVE_RUN: RunEvent.HOLDER_MAY_HAVE_RUN,
        }.get(holder_attempt.progress.phase)
        if event:
            yield self._after(world, index, event)

    def _fetch(self, world, index, attempt):
        yield self._after(world, index, RunEvent.FETCHED)
        yield self._after(world, index, RunEvent.DEADLINE_EXCEEDED)


def _check(mode, guarded, attempts=3, crashes=2):
    spec = Spec(mode, guarded, crashes)
    return check_safety(spec.protocol(attempts), max_states=MAX_STATES)


class TestRunOnceModel:
    @pytest.mark.parametrize(
        ("mode", "attempts", "crashes", "states"),
        [
            (RunOnceMode.TICKET, 3, 1, 76),
            (RunOnceMode.RECORDED, 2, 2, 10368),
            (RunOnceMode.RECORDED, 3, 1, 35868),
        ],
    )
    def test_invariants_hold_in_every_state(
        self, mode, attempts, crashes, states
    ):
        report = _check(mode, True, attempts, crashes)
        for name, verdict in report["properties"].items():
            assert verdict["holds"] is True, (name, verdict)
        assert report["reachable_states"] == states

    @pytest.mark.parametrize(
        "mode", [RunOnceMode.TICKET, RunOnceMode.RECORDED]
    )
    def test_without_the_guard_a_key_runs_twice(self, mode):
        report = _check(mode, guarded=False, attempts=2, crashes=1)
        verdict = report["properties"]["runs at most once"]
        assert verdict["holds"] is False
        print(verdict["counterexample"])
