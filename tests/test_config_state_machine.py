"""Stateful test of the edit protocol and of merging configuration.

The state machine runs the real SectionEditor one platform call at a time and
merges deltas with the real ConfigState, under racing editors, lost replies,
lagging reads, restarts and stale peers.  An edit that is reported as
accepted must become active on all instances and never revert; an edit that
is reported as refused must never become active.
"""

from dataclasses import dataclass
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from heatherdyke.codec import decode
from heatherdyke.config.garbage_collection import MIN_AGE_S
from heatherdyke.config.garbage_collection import collect_garbage
from heatherdyke.config.model import HEAD_KEY
from heatherdyke.config.model import ConfigHead
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import StoredSection
from heatherdyke.config.model import section_key
from heatherdyke.config.section_editor import SectionEdit
from heatherdyke.config.section_editor import SectionEditor
from heatherdyke.config.source import read_platform
from heatherdyke.config.state import ConfigState
from heatherdyke.errors import ConfigError
from heatherdyke.errors import EditUnresolved
from heatherdyke.errors import PlatformError
from heatherdyke.mechanisms import Mechanism
from tests.memory_platform import ManualClock
from tests.memory_platform import MemoryPlatform
from tests.memory_platform import finish

TEAMS = ("billing", "permits")
INSTANCES = 3
MAX_ATTEMPTS = 6
SETTINGS = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)


@dataclass
class Editor:
    edit: SectionEdit
    steps: Any
    outcome: str = ""


class ConfigMachine(RuleBasedStateMachine):
    """Editors, instances and one platform, with faults at any step.

    ``seen`` holds the versions that each instance had by team, with the
    document's version under an empty name; ``delayed`` holds the responses
    of peers that may be delivered once more.
    """

    disabled: frozenset[Mechanism] = frozenset()

    def __init__(self) -> None:
        super().__init__()
        self.platform = MemoryPlatform()
        self.clock = ManualClock()
        self.editors: list[Editor] = []
        self.collector: Any = None
        self.states = [self.new_state() for _ in range(INSTANCES)]
        self.seen = [{} for _ in range(INSTANCES)]
        self.delayed = []

    def new_state(self) -> ConfigState:
        return ConfigState(Mechanism.CONFIG_MONOTONE not in self.disabled)

    def heads(self) -> list[ConfigHead]:
        versions = self.platform.versions_by_key.get(HEAD_KEY, [])
        return [decode(text, ConfigHead) for text in versions]

    def stored(self, team: str, edit: str) -> StoredSection:
        versions = self.platform.versions_by_key[section_key(team, edit)]
        return decode(versions[0], StoredSection)

    def accepted_version(self, team: str) -> int:
        pointers = [h.section_by_team.get(team) for h in self.heads()[-1:]]
        return pointers[0].version if pointers and pointers[0] else 0

    @rule(team=st.sampled_from(TEAMS), text=st.sampled_from("xyz"))
    def start_edit(self, team, text):
        section = SectionConfig(team, key_hashes=[f"{ord(text):064x}"])
        number = len(self.editors)
        edit = SectionEdit(
            team,
            section,
            f"e{number}",
            f"o{number}",
            self.clock.now(),
            self.accepted_version(team),
        )
        self.run_edit(edit)

    @rule(team=st.sampled_from(TEAMS), text=st.sampled_from("xyz"))
    def edit_without_interruption(self, team, text):
        self.start_edit(team, text)
        while not self.editors[-1].outcome:
            self.step(self.editors[-1], 1)

    @rule(number=st.integers(0, 20))
    def repeat_edit(self, number):
        running = {e.edit.edit for e in self.editors if not e.outcome}
        unresolved = [
            editor.edit
            for editor in self.editors
            if editor.outcome == "unresolved"
            and editor.edit.edit not in running
        ]
        if unresolved:
            edit = unresolved[number % len(unresolved)]
            self.run_edit(replace(edit, written_at=self.clock.now()))

    def run_edit(self, edit):
        retry = self.clock.retry(MAX_ATTEMPTS)
        steps = SectionEditor(self.platform, edit, retry).apply()
        self.editors.append(Editor(edit, steps))

    @rule(number=st.integers(0, 20), steps=st.integers(1, 8))
    def step_edit(self, number, steps):
        running = [e for e in self.editors if not e.outcome]
        if running:
            self.step(running[number % len(running)], steps)

    def step(self, editor, steps):
        for _ in range(steps):
            try:
                editor.steps.send(None)
            except StopIteration as stop:
                unchanged = stop.value.unchanged
                editor.outcome = "unchanged" if unchanged else "accepted"
            except EditUnresolved:
                editor.outcome = "unresolved"
            except ConfigError:
                editor.outcome = "refused"
            if editor.outcome:
                return

    @rule(
        lag=st.sampled_from([0, 0, 0, 1, 2]),
        lost_replies=st.sampled_from([0, 1, 2]),
        failures=st.sampled_from([0, 0, 1, 3]),
    )
    def set_faults(self, lag, lost_replies, failures):
        self.platform.lag = lag
        self.platform.lost_replies = lost_replies
        self.platform.failures = failures

    @rule(seconds=st.sampled_from([1.0, 300.0, 2 * MIN_AGE_S]))
    def pass_time(self, seconds):
        self.clock.seconds += seconds

    @rule(steps=st.integers(1, 4))
    def step_collection(self, steps):
        if self.collector is None:
            self.collector = collect_garbage(
                self.platform, MIN_AGE_S, self.clock.now()
            )
        for _ in range(steps):
            try:
                self.collector.send(None)
            except (StopIteration, PlatformError):
                self.collector = None
                return

    @rule(i=st.integers(0, INSTANCES - 1))
    def read_platform(self, i):
        try:
            delta = finish(read_platform(self.platform, self.states[i]))
        except PlatformError:
            return
        self.states[i].merge(delta)

    @rule(i=st.integers(0, INSTANCES - 1), j=st.integers(0, INSTANCES - 1))
    def query_peer(self, i, j):
        delta = self.states[j].delta_since(self.states[i].digest)
        if delta is not None:
            self.delayed.append(delta)
            self.states[i].merge(delta)

    @rule(i=st.integers(0, INSTANCES - 1), k=st.integers(0, 20))
    def deliver_late(self, i, k):
        if self.delayed:
            self.states[i].merge(self.delayed[k % len(self.delayed)])

    @rule(i=st.integers(0, INSTANCES - 1))
    def restart(self, i):
        self.states[i] = self.new_state()
        self.seen[i] = {}
        self.read_platform(i)
        for j in range(INSTANCES):
            self.query_peer(i, j)

    @invariant()
    def nothing_reverts(self):
        for state, seen in zip(self.states, self.seen, strict=True):
            versions = state.section_versions() | {"": state.version}
            for team, version in versions.items():
                assert version >= seen.get(team, 0), "a version reverted"
            seen.update(versions)

    @invariant()
    def active_version_contains_all_its_sections(self):
        head_by_version = {head.version: head for head in self.heads()}
        for state in self.states:
            if not state.version:
                continue
            sections = state.section_versions()
            for team, pointer in head_by_version[
                state.version
            ].section_by_team.items():
                assert sections[team] >= pointer.version

    @invariant()
    def reports_are_true(self):
        accepted = {
            pointer.edit
            for head in self.heads()
            for pointer in head.section_by_team.values()
        }
        for editor in self.editors:
            if editor.outcome == "accepted":
                assert editor.edit.edit in accepted
                stored = self.stored(editor.edit.team, editor.edit.edit)
                assert stored.base_version == editor.edit.base_version
            if editor.outcome in ("refused", "unchanged"):
                assert editor.edit.edit not in accepted

    @invariant()
    def no_edit_overwrites_an_unseen_edit(self):
        heads = [ConfigHead(), *self.heads()]
        for before, after in zip(heads, heads[1:], strict=False):
            for team, pointer in after.section_by_team.items():
                previous = before.section_by_team.get(team)
                if previous == pointer:
                    continue
                base = self.stored(team, pointer.edit).base_edit
                assert base == (previous.edit if previous else "")

    @invariant()
    def no_pointer_dangles(self):
        for head in self.heads()[-1:]:
            for pointer in head.section_by_team.values():
                assert pointer.object_key not in self.platform.deleted

    def teardown(self):
        if self.collector is not None:
            self.collector.close()
        self.platform.lag = 0
        self.platform.failures = 0
        self.platform.lost_replies = 0
        for editor in self.editors:
            while not editor.outcome:
                self.step(editor, 1)
        self.reports_are_true()
        for i in range(INSTANCES):
            self.read_platform(i)
        self.nothing_reverts()
        for head in self.heads()[-1:]:
            for state in self.states:
                assert state.version == head.version
                for team, pointer in head.section_by_team.items():
                    section = state.document.section_by_team[team]
                    text = self.stored(team, pointer.edit).section
                    assert section == decode(text, SectionConfig)


class UnguardedConfigMachine(ConfigMachine):
    """Applies older updates too: CONFIG_MONOTONE is disabled."""

    disabled = frozenset({Mechanism.CONFIG_MONOTONE})


class TestConfigMachine:
    def test_accepted_edits_become_active_and_never_revert(self):
        run_state_machine_as_test(ConfigMachine, settings=SETTINGS)

    def test_edits_revert_without_config_monotone(self):
        """Use a fixed sequence: hypothesis's vary with the loaded modules."""
        with pytest.raises(AssertionError, match="reverted"):
            deliver_older(UnguardedConfigMachine())
        deliver_older(ConfigMachine())


def deliver_older(machine: ConfigMachine) -> None:
    """Deliver a peer's delayed older response after a newer head."""
    machine.edit_without_interruption(TEAMS[0], "x")
    machine.read_platform(1)
    machine.query_peer(0, 1)
    machine.edit_without_interruption(TEAMS[0], "y")
    machine.read_platform(0)
    machine.nothing_reverts()
    machine.deliver_late(0, 0)
    machine.nothing_reverts()
