"""A stateful test of the run-once code of several instances.

Platform, leaf and the connections between instances are fakes.  The test
decides how each of their replies arrives: in time, lost, late, refused or
with a broken connection.
"""

import asyncio

import pytest
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from heatherdyke.clock import Clock
from heatherdyke.config.model import ConfigDocument
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import TransportError
from heatherdyke.errors import VersionConflict
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import PlatformObject
from heatherdyke.messages import RunRequest
from heatherdyke.observe.journal import Journal
from heatherdyke.run_once import driver as run_driver
from heatherdyke.run_once.driver import Identity
from heatherdyke.run_once.driver import RunDriver
from heatherdyke.run_once.driver import to_holder_query
from heatherdyke.run_once.registry import RunRegistry
from heatherdyke.run_once.server import RunOnceServer
from heatherdyke.run_once.state_machine import FINAL_PHASES
from heatherdyke.run_once.state_machine import RunIntent
from heatherdyke.run_once.state_machine import RunPhase
from heatherdyke.run_once.store import RunStore
from heatherdyke.run_once.tickets import TicketIssuer
from heatherdyke.search.request_tracker import RequestTracker

NAMES = ["a", "b", "c"]
REQUEST = RunRequest("archive", "pull", "dossier", "0")
SETTINGS = settings(
    max_examples=400,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    report_multiple_bugs=False,
    phases=[Phase.generate],
)
SETTLE_ROUNDS = 30
LONG_S = 1000.0


class Pending:
    """A call whose reply the test has not decided yet."""

    def __init__(self, caller, effect):
        self.caller = caller
        self.effect = effect
        self.reply = asyncio.get_running_loop().create_future()


class FakePlatform:
    """Stores objects; each instance accesses it by a PlatformLink."""

    def __init__(self):
        self.value_by_key = {}
        self.pending = []
        self.late = []

    def apply(self, key, value, if_version):
        version = self.value_by_key.get(key, (0, None))[0]
        if version != if_version:
            return VersionConflict(key, version)
        self.value_by_key[key] = (version + 1, value)
        return version + 1

    def read(self, key):
        if key not in self.value_by_key:
            return None
        return PlatformObject(key, *self.value_by_key[key])


class PlatformLink:
    def __init__(self, platform, caller):
        self.platform = platform
        self.caller = caller

    async def put(self, key, value, if_version):
        return await self._call(
            lambda: self.platform.apply(key, value, if_version)
        )

    async def get(self, key):
        return await self._call(lambda: self.platform.read(key))

    async def _call(self, effect):
        pending = Pending(self.caller, effect)
        self.platform.pending.append(pending)
        result = await pending.reply
        if isinstance(result, Exception):
            raise result
        return result


class FakeLeaf:
    """Counts the runs by key; the test decides the replies."""

    def __init__(self):
        self.runs_by_key = {}
        self.pending = []
        self.late = []

    def run(self, run):
        count = self.runs_by_key.get(run.key, 0) + 1
        self.runs_by_key[run.key] = count
        return LeafRunAnswer(
            run.request_id, run.key, run.shard, "leaf", "1", f"result {count}"
        )

    def sender(self, caller):
        async def send(leaf, run, priority):
            pending = Pending(caller, lambda: self.run(run))
            self.pending.append(pending)
            result = await pending.reply
            if isinstance(result, Exception):
                raise result
            return result

        return send


class FixedConfig:
    document = ConfigDocument()


class RunOnceMachine(RuleBasedStateMachine):
    guarded = True

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = Clock()
        self.platform = FakePlatform()
        self.leaf = FakeLeaf()
        self.cut = set()
        self.starts = 0
        self.requested_runs = []
        self.outcomes_by_key = {}
        self.instance_by_name = {name: self.build(name) for name in NAMES}
        tickets = self.instance_by_name["a"]._runs.tickets.issue(1)
        self.keys = ["pull", tickets[0].key]

    def teardown(self):
        for instance in self.instance_by_name.values():
            for task in instance._runs._tasks:
                task.cancel()
        self.settle()
        self.loop.close()

    def build(self, name):
        self.starts += 1
        journal = Journal(name)
        driver = RunDriver(
            Identity(name, name),
            RunStore(PlatformLink(self.platform, name)),
            self.leaf.sender(name),
            self.holder_query_to(name),
            lambda service, shard: ["leaf"],
            self.clock,
        )
        runs = RunRegistry(
            TicketIssuer(name, f"{self.starts}"),
            driver,
            journal,
            self.clock,
            self.guarded,
        )
        return RunOnceServer(
            runs, FixedConfig(), RequestTracker(), self.clock, 1.0
        )

    def holder_query_to(self, caller):
        async def query_holder(run):
            if run.record is not None:
                holder = run.record.record.address
            else:
                holder = run.key.split(":")[1]
            if caller in self.cut or holder in self.cut:
                raise TransportError("cut off", sent=False)
            holder_query = to_holder_query(run, self.clock.now())
            return await self.instance_by_name[holder].answer_as_holder(
                holder_query
            )

        return query_holder

    def settle(self):
        async def rounds():
            for _ in range(SETTLE_ROUNDS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(rounds())
        for run in self.requested_runs:
            if run.progress.phase in FINAL_PHASES:
                outcomes = self.outcomes_by_key.setdefault(run.key, set())
                outcomes.add((run.progress.phase, run.result))

    def begin_run(self, name, key, intent):
        runs = self.instance_by_name[name]._runs

        async def begin():
            until = self.clock.now() + LONG_S
            run = runs.find_or_create("team", key, intent, until, "same")
            runs.start(run, REQUEST)
            self.requested_runs.append(run)

        self.loop.run_until_complete(begin())
        self.settle()

    @rule(name=st.sampled_from(NAMES), which=st.integers(0, 1))
    def run(self, name, which):
        self.begin_run(name, self.keys[which], RunIntent.RUN)

    @rule(name=st.sampled_from(NAMES), which=st.integers(0, 1))
    def withdraw(self, name, which):
        self.begin_run(name, self.keys[which], RunIntent.WITHDRAW)

    @rule(name=st.sampled_from(NAMES), which=st.integers(0, 1))
    def lookup(self, name, which):
        self.begin_run(name, self.keys[which], RunIntent.LOOKUP)

    @rule(
        first=st.booleans(),
        how=st.sampled_from(["ok", "ok", "ok", "lost after", "lost", "late"]),
    )
    def platform_replies(self, first, how):
        self.reply(self.platform, first, how, _lost)

    @rule(
        first=st.booleans(),
        how=st.sampled_from(["ok", "ok", "refuse", "lost after", "late"]),
    )
    def leaf_replies(self, first, how):
        self.reply(self.leaf, first, how, _broken)

    def reply(self, fake, first, how, failure):
        if not fake.pending:
            return
        pending = fake.pending.pop(0 if first else -1)
        if pending.reply.done():
            return
        result = failure()
        if how == "refuse":
            result = LeafRefusal("", "", "shed")
        if how in ("ok", "lost after"):
            done = pending.effect()
            result = done if how == "ok" else result
        if how == "late":
            fake.late.append(pending.effect)
        pending.reply.set_result(result)
        self.settle()

    @rule()
    def late_calls_land(self):
        for fake in (self.platform, self.leaf):
            late, fake.late = fake.late, []
            for effect in late:
                effect()

    @rule(name=st.sampled_from(NAMES))
    def cut_or_heal(self, name):
        self.cut ^= {name}

    @rule(name=st.sampled_from(NAMES), lands=st.booleans())
    def restart(self, name, lands):
        for task in list(self.instance_by_name[name]._runs._tasks):
            task.cancel()
        for fake in (self.platform, self.leaf):
            mine = [p for p in fake.pending if p.caller == name]
            fake.pending = [p for p in fake.pending if p.caller != name]
            if lands:
                fake.late.extend(p.effect for p in mine)
        self.settle()
        self.requested_runs = [
            run
            for run in self.requested_runs
            if run.attempt.split(":")[0] != name
        ]
        self.instance_by_name[name] = self.build(name)

    @invariant()
    def runs_at_most_once(self):
        assert all(n <= 1 for n in self.leaf.runs_by_key.values())

    @invariant()
    def reported_outcomes_are_true(self):
        for key, outcomes in self.outcomes_by_key.items():
            phases = {phase for phase, _ in outcomes}
            results = {r for p, r in outcomes if p is RunPhase.DONE}
            assert len(results) <= 1
            assert not {RunPhase.NOT_RUN, RunPhase.DONE} <= phases
            if RunPhase.NOT_RUN in phases:
                assert not self.leaf.runs_by_key.get(f"team/{key}")


class UnguardedMachine(RunOnceMachine):
    guarded = False


def _lost():
    return PlatformUnavailable("lost", "try again")


def _broken():
    return TransportError("broken", sent=True)


class TestRunOnceStates:
    @pytest.fixture(autouse=True)
    def no_pauses(self, monkeypatch):
        monkeypatch.setattr(run_driver, "BASE_BACKOFF_S", 0.0)

    def test_each_key_runs_once_and_reported_outcomes_are_true(self):
        run_state_machine_as_test(RunOnceMachine, settings=SETTINGS)

    def test_without_the_mechanism_a_key_runs_twice(self):
        with pytest.raises(AssertionError):
            run_state_machine_as_test(UnguardedMachine, settings=SETTINGS)
