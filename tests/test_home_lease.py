"""The home lease under random event sequences and in a checked model."""

import pytest
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from heatherdyke.membership.core import ConfigVersions
from heatherdyke.membership.core import MembershipCore
from heatherdyke.membership.lease_timing import LeaseTiming
from heatherdyke.membership.messages import GoneProof
from heatherdyke.membership.messages import Heartbeat
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import Roster
from heatherdyke.membership.messages import VersionedRoster
from heatherdyke.membership.rendezvous import rank
from heatherdyke.membership.roster import replace_members
from heatherdyke_models.handover import Bounds
from heatherdyke_models.handover import check

ZONE = "brescia"
LEAVES = ("leaf0", "leaf1", "leaf2")
INSTANCES = 3
TIMING = LeaseTiming(max_work_s=2.0, transit_s=0.0)
VERSIONS = ConfigVersions()
NODES = st.integers(0, INSTANCES - 1)


class _Process:
    """One run of an instance with its membership state."""

    def __init__(self, number: int, run: int, enforce: bool) -> None:
        self.member = Member(
            f"i{number}", ZONE, f"127.0.0.1:{7000 + number}", f"{number}.{run}"
        )
        self.core = MembershipCore(self.member, 0.5, TIMING, enforce)

    def update_busy_leaves(
        self, ends_by_leaf: dict[str, list[float]], now: float
    ) -> None:
        busy = {leaf for leaf, ends in ends_by_leaf.items() if ends}
        self.core.update_busy_leaves(busy, now)


class HandoverMachine(RuleBasedStateMachine):
    """Instances, a platform and a network in memory with a fake clock.

    Messages are queued in lists and delivered late, twice or never.
    """

    enforce = True
    slots = 2

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.roster = VersionedRoster(0, Roster(ZONE))
        self.runs = 0
        self.processes = [self._new_process(n) for n in range(INSTANCES)]
        self.heartbeats_in_flight: list[tuple[int, Heartbeat]] = []
        self.responses_in_flight: list[
            tuple[str, int, VersionedRoster, float]
        ] = []
        self.work: dict[tuple[str, str], list[float]] = {}
        members = [process.member for process in self.processes[:-1]]
        self._put(0, replace_members(self.roster.roster, members, []))
        for node in range(1, INSTANCES):
            self.read_platform(node)

    @rule(seconds=st.sampled_from([0.3, 0.9, 2.1, 4.0]))
    def advance(self, seconds):
        self.now += seconds
        for key, ends in self.work.items():
            self.work[key] = [end for end in ends if end > self.now]

    @rule(node=NODES)
    def read_platform(self, node):
        """Read the roster with an immediate response."""
        core = self.processes[node].core
        core.apply_roster(self.roster, self.now)
        core.record_confirmation(ZONE, self.roster.roster.generation, self.now)

    @rule(node=NODES)
    def request_roster(self, node):
        requester = self.processes[node].member.incarnation
        self.responses_in_flight.append(
            (requester, node, self.roster, self.now)
        )

    @precondition(lambda self: self.responses_in_flight)
    @rule(data=st.data(), lose=st.booleans())
    def receive_roster(self, data, lose):
        index = data.draw(st.integers(0, len(self.responses_in_flight) - 1))
        requester, node, versioned, requested_at = (
            self.responses_in_flight.pop(index)
        )
        process = self.processes[node]
        if lose or process.member.incarnation != requester:
            return
        process.core.apply_roster(versioned, self.now)
        if versioned.version == process.core.lease(ZONE).version:
            generation = versioned.roster.generation
            process.core.record_confirmation(ZONE, generation, requested_at)

    @rule(node=NODES, victims=st.sets(NODES), join=st.booleans())
    def change_roster(self, node, victims, join):
        """Remove any members, as with a wrong instance list; maybe join."""
        process = self.processes[node]
        self.read_platform(node)
        lease = process.core.lease(ZONE)
        leaving = [self.processes[v].member.incarnation for v in victims]
        joining = [process.member] if join else []
        self._put(node, replace_members(lease.roster, joining, leaving))

    @rule(node=NODES)
    def apply_proposal(self, node):
        """Write the roster that the instance proposes."""
        process = self.processes[node]
        self._update_busy_leaves(node)
        proposed = process.core.membership(ZONE).propose(self.now)
        if process.core.lease(ZONE).version != self.roster.version:
            return
        if proposed is not None:
            self._put(node, proposed)

    @rule(sender=NODES, receiver=NODES)
    def send_heartbeat(self, sender, receiver):
        self._update_busy_leaves(sender)
        heartbeat = self.processes[sender].core.next_heartbeat(
            self.now, VERSIONS
        )
        self.heartbeats_in_flight.append((receiver, heartbeat))

    @precondition(lambda self: self.heartbeats_in_flight)
    @rule(data=st.data(), duplicate=st.booleans())
    def receive_heartbeat(self, data, duplicate):
        index = data.draw(st.integers(0, len(self.heartbeats_in_flight) - 1))
        receiver, heartbeat = self.heartbeats_in_flight[index]
        if not duplicate:
            del self.heartbeats_in_flight[index]
        self._update_busy_leaves(receiver)
        core = self.processes[receiver].core
        result = core.handle_heartbeat(heartbeat, self.now, VERSIONS)
        sender = self._find_node(heartbeat.sender.incarnation)
        if result.reply is not None and sender is not None:
            self.heartbeats_in_flight.append((sender, result.reply))

    @rule(node=NODES, other=NODES)
    def fetch_roster(self, node, other):
        lease = self.processes[other].core.lease(ZONE)
        versioned = VersionedRoster(lease.version, lease.roster)
        self.processes[node].core.apply_roster(versioned, self.now)

    @rule(node=NODES)
    def restart(self, node):
        """Kill the process; its work at leaves continues."""
        self.processes[node] = self._new_process(node)

    @rule(node=NODES)
    def probe_all(self, node):
        core = self.processes[node].core
        for previous in core.lease(ZONE).roster.history:
            for member in previous.members:
                self._probe(core, member)
        for member in core.lease(ZONE).roster.members:
            self._probe(core, member)

    @rule(node=NODES, leaf=st.sampled_from(LEAVES), long=st.booleans())
    def send_work(self, node, leaf, long):
        """Send as much work as the instance may."""
        process = self.processes[node]
        work_s = TIMING.max_work_s if long else TIMING.short_work_s
        key = (process.member.incarnation, leaf)
        ends = self.work.setdefault(key, [])
        allowed = process.core.slots_allowed(
            leaf, ZONE, self.slots, self.now, work_s
        )
        while len(ends) < allowed:
            process.core.record_send(leaf, ZONE)
            ends.append(self.now + work_s)

    @invariant()
    def no_leaf_exceeds_its_slots(self):
        for leaf in LEAVES:
            busy = sum(
                len(ends)
                for (_, busy_leaf), ends in self.work.items()
                if busy_leaf == leaf
            )
            assert busy <= self.slots

    def _new_process(self, number: int) -> _Process:
        self.runs += 1
        return _Process(number, self.runs, self.enforce)

    def _put(self, node: int, roster: Roster) -> None:
        self.roster = VersionedRoster(self.roster.version + 1, roster)
        core = self.processes[node].core
        core.apply_roster(self.roster, self.now)
        core.record_confirmation(ZONE, roster.generation, self.now)

    def _update_busy_leaves(self, node: int) -> None:
        process = self.processes[node]
        own = process.member.incarnation
        process.update_busy_leaves(
            {leaf: ends for (i, leaf), ends in self.work.items() if i == own},
            self.now,
        )

    def _probe(self, core: MembershipCore, member: Member) -> None:
        if self._find_node(member.incarnation) is None:
            core.record_gone(GoneProof(member.incarnation), self.now)

    def _find_node(self, incarnation: str) -> int | None:
        for node, process in enumerate(self.processes):
            if process.member.incarnation == incarnation:
                return node
        return None


class _WithoutLease(HandoverMachine):
    enforce = False


class _OneSlot(HandoverMachine):
    slots = 1


class _ThreeSlots(HandoverMachine):
    slots = 3


SETTINGS = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    print_blob=False,
)


class TestRegainedLeaf:
    """Work of a previous generation stays unsettled when a leaf moves back.

    The model found this fault with three generations: the home lost the leaf
    and regained it while its work of the first generation was running.
    """

    def test_old_work_is_not_settled_when_the_leaf_moves_back(self):
        two = [_Process(number, 1, True) for number in range(2)]
        ranked = rank("leaf0", [process.member for process in two])
        first = next(p for p in two if p.member == ranked[0])
        other = next(p for p in two if p is not first)
        core = first.core
        roster = replace_members(Roster(ZONE), [p.member for p in two], [])
        core.apply_roster(VersionedRoster(1, roster), 0.0)
        assert core.slots_allowed("leaf0", ZONE, 2, 0.0) == 1
        core.record_send("leaf0", ZONE)
        without = replace_members(roster, [], [first.member.incarnation])
        back = replace_members(without, [first.member], [])
        core.apply_roster(VersionedRoster(3, back), 0.0)
        core.update_busy_leaves({"leaf0"}, 0.0)
        lease = core.lease(ZONE)
        assert lease.is_home("leaf0")
        assert first.member.incarnation not in lease.settled_by_incarnation
        other.core.apply_roster(VersionedRoster(2, without), 0.0)
        other.core.record_confirmation(ZONE, without.generation, 0.0)
        other.core.handle_heartbeat(
            core.next_heartbeat(0.0, VERSIONS), 0.0, VERSIONS
        )
        assert other.core.slots_allowed("leaf0", ZONE, 2, 0.0) == 0
        core.update_busy_leaves(set(), 1.0)
        other.core.handle_heartbeat(
            core.next_heartbeat(1.0, VERSIONS), 1.0, VERSIONS
        )
        assert other.core.slots_allowed("leaf0", ZONE, 2, 1.0) == 2


class TestHandoverMachine:
    def test_overloads_a_leaf_without_the_lease(self):
        with pytest.raises(AssertionError):
            run_state_machine_as_test(
                _WithoutLease,
                settings=settings(SETTINGS, phases=[Phase.generate]),
            )

    @pytest.mark.parametrize(
        "machine", [HandoverMachine, _OneSlot, _ThreeSlots]
    )
    def test_never_overloads_a_leaf(self, machine):
        run_state_machine_as_test(machine, settings=SETTINGS)


class TestHandoverModel:
    def test_no_state_exceeds_the_slots(self):
        verdict = check(Bounds(versions=2, crashes=0, long_work=False))
        assert verdict["exhaustive"]
        assert verdict["properties"]["within_slots"]["holds"] is True

    def test_has_a_counterexample_without_the_lease(self):
        verdict = check(Bounds(versions=2, crashes=0, guard=False), 20_000)
        found = verdict["properties"]["within_slots"]
        assert found["holds"] is False
        assert [step["label"] for step in found["counterexample"]]
