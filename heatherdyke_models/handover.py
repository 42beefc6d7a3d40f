"""Model of the handover of one leaf between instances of a zone.

The model runs the product's own decisions: every state holds snapshots of
``HomeLease``, and every transition calls its methods and those of
``roster``.  The model adds the environment: time in ticks, the platform's
roster object, delayed and lost messages, crashes, and work at the leaf,
which continues after a crash until its deadline.

A paused or partitioned instance takes no step while time passes; a platform
outage is a period without reads and roster changes.  A wrong view
of which instances are live is covered, because any member may remove any
other from the roster at any time.

Usage: ``python -m heatherdyke_models.handover --help``.
"""

import argparse
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from functools import lru_cache

from minicheck import Protocol
from minicheck import check_safety

from heatherdyke.membership.home_lease import HomeLease
from heatherdyke.membership.lease_snapshot import LeaseSnapshot
from heatherdyke.membership.messages import GoneProof
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import Roster
from heatherdyke.membership.rendezvous import rank
from heatherdyke.membership.roster import prune_history
from heatherdyke.membership.roster import replace_members
from heatherdyke_models.handover_state import LONG_TICKS
from heatherdyke_models.handover_state import SHORT_TICKS
from heatherdyke_models.handover_state import STALE_AGE
from heatherdyke_models.handover_state import TIMING
from heatherdyke_models.handover_state import Node
from heatherdyke_models.handover_state import Reply
from heatherdyke_models.handover_state import State
from heatherdyke_models.handover_state import aged
from heatherdyke_models.handover_state import replace_node

ZONE = "zone"
LEAF = "leaf"
# The times of a state are relative to now.
NOW = 0.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the model's state space.

    ``order`` gives the instances' ranks in rendezvous order for the leaf;
    the first ``members`` instances are in the initial roster.  ``long_work``
    adds requests of LONG_TICKS.  ``guard`` is passed to ``HomeLease``
    as ``enforce``; without it the model violates the slot limit.
    """

    slots: int = 2
    order: tuple[int, ...] = (0, 1)
    members: int = 2
    generations: int = 2
    versions: int = 3
    crashes: int = 1
    long_work: bool = True
    guard: bool = True


Steps = list[tuple[str, State]]


class Handover:
    """The state machine within ``bounds``."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.members = _members(bounds.order)
        self.allowed_work = lru_cache(maxsize=None)(self._allowed_work)

    def protocol(self) -> Protocol:
        """Return the state machine in minicheck's form."""
        roster = Roster(ZONE, 1, self.members[: self.bounds.members])
        initial_member = Node(LeaseSnapshot(1, roster))
        outsider = Node(LeaseSnapshot(0, Roster(ZONE)))
        nodes = [
            initial_member if i < self.bounds.members else outsider
            for i in range(len(self.members))
        ]
        slots = self.bounds.slots
        return Protocol(
            name="handover",
            candidate=False,
            fields=("version", "roster", *self._names()),
            initial=(1, roster, *nodes),
            transitions=self.steps,
            invariants={
                "within_slots": lambda d: (
                    sum(len(d[name].work) for name in self._names()) <= slots
                )
            },
        )

    def steps(self, state: State) -> Steps:
        """Return the labels and states of all possible next steps."""
        steps = [("tick", self._tick(state))]
        for index in range(len(self.members)):
            if state[2 + index].alive:
                steps.extend(self._node_steps(state, index))
        return steps

    def _node_steps(self, state: State, index: int) -> Iterator:
        name = self.members[index].name
        node: Node = state[2 + index]
        version, roster = state[:2]
        for ticks in (SHORT_TICKS, LONG_TICKS):
            if len(node.work) < self.allowed_work(index, node.view, ticks):
                work = tuple(sorted((*node.work, ticks)))
                view = self._record_send(index, node.view)
                sent = replace(node, work=work, view=view)
                yield (
                    f"{name} sends {ticks}",
                    replace_node(state, index, sent),
                )
            if not self.bounds.long_work:
                break
        if node.reply is None:
            yield from self._requests(state, index)
        else:
            yield (
                f"{name} receives the reply",
                self._receive_reply(state, index),
            )
        if node.view.version == version:
            yield from self._roster_changes(state, index)
        yield from self._peer_reports(state, index)
        crash_count = sum(not other.alive for other in state[2:])
        if crash_count < self.bounds.crashes:
            crashed = replace(node, alive=False, reply=None)
            yield f"{name} crashes", replace_node(state, index, crashed)

    def _requests(self, state: State, index: int) -> Iterator:
        """Yield the roster requests that the instance may send."""
        name = self.members[index].name
        node: Node = state[2 + index]
        requested = replace(node, reply=Reply(state[0], state[1], 0))
        yield (
            f"{name} requests the roster of the platform",
            replace_node(state, index, requested),
        )
        for other, peer in enumerate(state[2:]):
            if other == index or not peer.alive:
                continue
            age = peer.view.confirmed_age_s
            age = STALE_AGE if age is None else int(age)
            reply = Reply(peer.view.version, peer.view.roster, age)
            requested = replace(node, reply=reply)
            label = f"{name} requests the roster of {self.members[other].name}"
            yield label, replace_node(state, index, requested)

    def _receive_reply(self, state: State, index: int) -> State:
        node: Node = state[2 + index]
        lease = self._lease(index, node.view)
        reply = node.reply
        lease.apply_roster(reply.version, reply.roster, NOW)
        if reply.version == lease.version:
            lease.record_confirmation(reply.roster.generation, NOW - reply.age)
        updated = replace(node, view=LeaseSnapshot.of(lease, NOW), reply=None)
        return replace_node(state, index, updated)

    def _roster_changes(self, state: State, index: int) -> Iterator:
        """Yield roster changes that the instance may make."""
        version, roster = state[:2]
        if version >= self.bounds.versions:
            return
        name = self.members[index].name
        me = self.members[index]
        lease = self._lease(index, state[2 + index].view)
        if roster.generation < self.bounds.generations:
            if me not in roster.members:
                joined = replace_members(roster, [me], [])
                yield f"{name} joins", self._write_roster(state, index, joined)
            for member in roster.members:
                reduced = replace_members(roster, [], [member.incarnation])
                label = f"{name} removes {member.name}"
                yield label, self._write_roster(state, index, reduced)
        pruned = prune_history(
            roster,
            lambda incarnation, number: self._has_ended(
                state, index, lease, incarnation, number
            ),
        )
        if pruned != roster:
            yield f"{name} prunes", self._write_roster(state, index, pruned)

    def _has_ended(
        self,
        state: State,
        index: int,
        lease: HomeLease,
        incarnation: str,
        number: int,
    ) -> bool:
        if incarnation == self.members[index].incarnation:
            return self._settled_generation(state, index) > number
        return lease.has_ended(incarnation, number, NOW)

    def _write_roster(self, state: State, index: int, roster: Roster) -> State:
        """Write the platform's roster; the writer applies it at once."""
        version = state[0] + 1
        node: Node = state[2 + index]
        lease = self._lease(index, node.view)
        lease.apply_roster(version, roster, NOW)
        lease.record_confirmation(roster.generation, NOW)
        changed = replace(node, view=LeaseSnapshot.of(lease, NOW))
        return replace_node((version, roster, *state[2:]), index, changed)

    def _peer_reports(self, state: State, index: int) -> Iterator:
        """Yield the states after a message of each peer."""
        node: Node = state[2 + index]
        for other in range(len(self.members)):
            if other == index:
                continue
            lease = self._lease(index, node.view)
            if state[2 + other].alive:
                self._record_settled(lease, state, other)
                label = "receives a heartbeat from"
            else:
                proof = GoneProof(self.members[other].incarnation)
                lease.record_gone(proof, NOW)
                label = "gets connection refused by"
            view = LeaseSnapshot.of(lease, NOW)
            if view != node.view:
                names = self.members[index].name, self.members[other].name
                yield (
                    f"{names[0]} {label} {names[1]}",
                    replace_node(state, index, replace(node, view=view)),
                )

    def _record_settled(
        self, lease: HomeLease, state: State, other: int
    ) -> None:
        """Record the only generation under which the other still acts."""
        if self._is_in_history(lease.roster, self.members[other].incarnation):
            settled = self._settled_generation(state, other)
            lease.record_settled(self.members[other].incarnation, settled)

    def _is_in_history(self, roster: Roster, incarnation: str) -> bool:
        """Tell whether a past generation contains the incarnation.

        Records of other incarnations have no effect on the lease.
        """
        return any(
            member.incarnation == incarnation
            for past in roster.history
            for member in past.members
        )

    def _settled_generation(self, state: State, index: int) -> int:
        node: Node = state[2 + index]
        lease = self._lease(index, node.view)
        return lease.settled_generation({LEAF} if node.work else set(), NOW)

    def _record_send(self, index: int, view: LeaseSnapshot) -> LeaseSnapshot:
        lease = self._lease(index, view)
        lease.record_send(LEAF)
        return LeaseSnapshot.of(lease, NOW)

    def _allowed_work(
        self, index: int, view: LeaseSnapshot, ticks: int
    ) -> int:
        lease = self._lease(index, view)
        return lease.slots_allowed(
            LEAF, self.bounds.slots, NOW, work_s=float(ticks)
        )

    def _lease(self, index: int, view: LeaseSnapshot) -> HomeLease:
        return view.restore(
            self.members[index], TIMING, self.bounds.guard, NOW
        )

    def _tick(self, state: State) -> State:
        return (*state[:2], *(aged(node) for node in state[2:]))

    def _names(self) -> tuple[str, ...]:
        return tuple(member.name for member in self.members)


def check(bounds: Bounds, max_states: int = 2_000_000) -> dict:
    """Return minicheck's verdict on the model within ``bounds``."""
    return check_safety(Handover(bounds).protocol(), max_states)


def _members(order: tuple[int, ...]) -> tuple[Member, ...]:
    """Return members whose ranks for the leaf are those in ``order``."""
    unordered = [
        Member(f"i{number}", ZONE, f"127.0.0.1:{7000 + number}", f"r{number}")
        for number in range(len(order))
    ]
    ranked = rank(LEAF, unordered)
    return tuple(ranked[place] for place in order)


def main() -> None:
    """Check one model and print its states and any counterexample."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--order", default="0,1")
    parser.add_argument("--members", type=int, default=2)
    parser.add_argument("--generations", type=int, default=2)
    parser.add_argument("--versions", type=int, default=3)
    parser.add_argument("--crashes", type=int, default=1)
    parser.add_argument("--short-work-only", action="store_true")
    parser.add_argument("--without-guard", action="store_true")
    parser.add_argument("--max-states", type=int, default=2_000_000)
    options = parser.parse_args()
    bounds = Bounds(
        slots=options.slots,
        order=tuple(int(place) for place in options.order.split(",")),
        members=options.members,
        generations=options.generations,
        versions=options.versions,
        crashes=options.crashes,
        long_work=not options.short_work_only,
        guard=not options.without_guard,
    )
    verdict = check(bounds, options.max_states)
    found = verdict["properties"]["within_slots"]
    print(f"states: {verdict['reachable_states']}")
    print(f"exhaustive: {verdict['exhaustive']}")
    print(f"holds: {found['holds']}")
    for step in found["counterexample"] or []:
        print(f"  {step['label']}")


if __name__ == "__main__":
    main()
