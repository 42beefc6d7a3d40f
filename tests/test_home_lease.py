"""Who may send to a leaf: the decisions, driven at random and modelled."""

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
TERMS = LeaseTiming(max_work_s=2.0, transit_s=0.0)
VERSIONS = ConfigVersions()
PLACES = st.integers(0, INSTANCES - 1)


class _Process:
    """One run of an instance, with its work by leaf until when."""

    def __init__(self, number: int, run: int, guard: bool) -> None:
        self.member = Member(
            f"i{number}", ZONE, f"127.0.0.1:{7000 + number}", f"{number}.{run}"
        )
        self.core = MembershipCore(self.member, 0.5, TERMS, guard)

    def settle(self, ends_by_leaf: dict[str, list[float]], now: float) -> None:
        at_work = {leaf for leaf, ends in ends_by_leaf.items() if ends}
        self.core.update_busy_leaves(at_work, now)


class HandoverMachine(RuleBasedStateMachine):
    """Instances, a platform and a network in memory under a fake clock.

    Messages wait in lists and are delivered late, twice or never.
    """

    guard = True
    slots = 2

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.roster = VersionedRoster(0, Roster(ZONE))
        self.runs = 0
        self.processes = [self._new_process(n) for n in range(INSTANCES)]
        self.mail: list[tuple[int, Heartbeat]] = []
        self.replies: list[tuple[str, int, VersionedRoster, float]] = []
        self.work: dict[tuple[str, str], list[float]] = {}
        members = [process.member for process in self.processes[:-1]]
        self._put(0, replace_members(self.roster.roster, members, []))
        for place in range(1, INSTANCES):
            self.read_platform(place)

    @rule(seconds=st.sampled_from([0.3, 0.9, 2.1, 4.0]))
    def advance(self, seconds):
        self.now += seconds
        for key, ends in self.work.items():
            self.work[key] = [end for end in ends if end > self.now]

    @rule(place=PLACES)
    def read_platform(self, place):
        """Read the roster with an answer at once."""
        core = self.processes[place].core
        core.apply_roster(self.roster, self.now)
        core.record_confirmation(ZONE, self.roster.roster.generation, self.now)

    @rule(place=PLACES)
    def ask_platform(self, place):
        asked = self.processes[place].member.incarnation
        self.replies.append((asked, place, self.roster, self.now))

    @precondition(lambda self: self.replies)
    @rule(data=st.data(), lose=st.booleans())
    def hear_platform(self, data, lose):
        index = data.draw(st.integers(0, len(self.replies) - 1))
        asked, place, versioned, asked_at = self.replies.pop(index)
        process = self.processes[place]
        if lose or process.member.incarnation != asked:
            return
        process.core.apply_roster(versioned, self.now)
        if versioned.version == process.core.lease(ZONE).version:
            generation = versioned.roster.generation
            process.core.record_confirmation(ZONE, generation, asked_at)

    @rule(place=PLACES, victims=st.sets(PLACES), join=st.booleans())
    def change_roster(self, place, victims, join):
        """Put any members out, as on a wrong list, and perhaps join."""
        process = self.processes[place]
        self.read_platform(place)
        lease = process.core.lease(ZONE)
        leaving = [self.processes[v].member.incarnation for v in victims]
        joining = [process.member] if join else []
        self._put(place, replace_members(lease.roster, joining, leaving))

    @rule(place=PLACES)
    def tidy_roster(self, place):
        """Change the roster as the instance itself proposes."""
        process = self.processes[place]
        self._settle(place)
        proposed = process.core.membership(ZONE).propose(self.now)
        if process.core.lease(ZONE).version != self.roster.version:
            return
        if proposed is not None:
            self._put(place, proposed)

    @rule(sender=PLACES, receiver=PLACES)
    def send_heartbeat(self, sender, receiver):
        self._settle(sender)
        heartbeat = self.processes[sender].core.next_heartbeat(
            self.now, VERSIONS
        )
        self.mail.append((receiver, heartbeat))

    @precondition(lambda self: self.mail)
    @rule(data=st.data(), keep=st.booleans())
    def hear_heartbeat(self, data, keep):
        index = data.draw(st.integers(0, len(self.mail) - 1))
        receiver, heartbeat = self.mail[index]
        if not keep:
            del self.mail[index]
        self._settle(receiver)
        core = self.processes[receiver].core
        heard = core.handle_heartbeat(heartbeat, self.now, VERSIONS)
        sender = self._place(heartbeat.sender.incarnation)
        if heard.reply is not None and sender is not None:
            self.mail.append((sender, heard.reply))

    @rule(place=PLACES, other=PLACES)
    def fetch_roster(self, place, other):
        lease = self.processes[other].core.lease(ZONE)
        versioned = VersionedRoster(lease.version, lease.roster)
        self.processes[place].core.apply_roster(versioned, self.now)

    @rule(place=PLACES)
    def restart(self, place):
        """Kill the process; its work at leaves runs on."""
        self.processes[place] = self._new_process(place)

    @rule(place=PLACES)
    def probe_all(self, place):
        core = self.processes[place].core
        for former in core.lease(ZONE).roster.history:
            for member in former.members:
                self._probe(core, member)
        for member in core.lease(ZONE).roster.members:
            self._probe(core, member)

    @rule(place=PLACES, leaf=st.sampled_from(LEAVES), long=st.booleans())
    def send_work(self, place, leaf, long):
        """Send all that the instance may."""
        process = self.processes[place]
        work_s = TERMS.max_work_s if long else TERMS.short_work_s
        key = (process.member.incarnation, leaf)
        ends = self.work.setdefault(key, [])
        allowed = process.core.slots_allowed(
            leaf, ZONE, self.slots, self.now, work_s
        )
        while len(ends) < allowed:
            process.core.record_send(leaf, ZONE)
            ends.append(self.now + work_s)

    @invariant()
    def no_leaf_has_more_than_it_bears(self):
        for leaf in LEAVES:
            at_work = sum(
                len(ends)
                for (_, worked), ends in self.work.items()
                if worked == leaf
            )
            assert at_work <= self.slots

    def _new_process(self, number: int) -> _Process:
        self.runs += 1
        return _Process(number, self.runs, self.guard)

    def _put(self, place: int, roster: Roster) -> None:
        self.roster = VersionedRoster(self.roster.version + 1, roster)
        core = self.processes[place].core
        core.apply_roster(self.roster, self.now)
        core.record_confirmation(ZONE, roster.generation, self.now)

    def _settle(self, place: int) -> None:
        process = self.processes[place]
        own = process.member.incarnation
        process.settle(
            {leaf: ends for (i, leaf), ends in self.work.items() if i == own},
            self.now,
        )

    def _probe(self, core: MembershipCore, member: Member) -> None:
        if self._place(member.incarnation) is None:
            core.record_gone(GoneProof(member.incarnation), self.now)

    def _place(self, incarnation: str) -> int | None:
        for place, process in enumerate(self.processes):
            if process.member.incarnation == incarnation:
                return place
        return None


class _Unguarded(HandoverMachine):
    guard = False


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
    """The counterexample that a model of three generations found."""

    def test_old_work_is_not_settled_by_a_return(self):
        two = [_Process(number, 1, True) for number in range(2)]
        rank_by_place = rank("leaf0", [process.member for process in two])
        first = next(p for p in two if p.member == rank_by_place[0])
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
    def test_overloads_a_leaf_without_the_guard(self):
        with pytest.raises(AssertionError):
            run_state_machine_as_test(
                _Unguarded,
                settings=settings(SETTINGS, phases=[Phase.generate]),
            )

    @pytest.mark.parametrize(
        "machine", [HandoverMachine, _OneSlot, _ThreeSlots]
    )
    def test_never_overloads_a_leaf(self, machine):
        run_state_machine_as_test(machine, settings=SETTINGS)


class TestHandoverModel:
    def test_every_state_is_within_the_slots(self):
        verdict = check(Bounds(versions=2, crashes=0, long_work=False))
        assert verdict["exhaustive"]
        assert verdict["properties"]["within_slots"]["holds"] is True

    def test_has_a_counterexample_without_the_guard(self):
        verdict = check(Bounds(versions=2, crashes=0, guard=False), 20_000)
        found = verdict["properties"]["within_slots"]
        assert found["holds"] is False
        assert [step["label"] for step in found["counterexample"]]
