"""Model of the hand-over of one leaf between instances of a zone.

The instances' decisions are those of the product: every state holds
snapshots of ``HomeLease``, and every transition calls its methods and those
of ``roster``.  The model adds what surrounds them: time in ticks, the
platform's roster object, messages that are late or lost, crashes, and work
at the leaf, which runs on after a crash until its deadline.

A paused or cut-off instance is one that takes no step while time goes on; a
platform outage is a stretch without reads and changes.  A wrong live list is
covered because any member may put any other out of the roster at any time.

Usage: ``python -m heatherdyke_models.handover --help``.
"""

import argparse
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from functools import cache
from functools import lru_cache
from typing import Any

from minicheck import Protocol
from minicheck import check_safety

from heatherdyke.membership.home_lease import HomeLease
from heatherdyke.membership.lease_snapshot import LeaseSnapshot
from heatherdyke.membership.lease_timing import LeaseTiming
from heatherdyke.membership.messages import GoneProof
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import Roster
from heatherdyke.membership.rendezvous import rank
from heatherdyke.membership.roster import prune_history
from heatherdyke.membership.roster import replace_members

ZONE = "zone"
LEAF = "leaf"
NOW = 0.0
SHORT_TICKS = 1
LONG_TICKS = 2
TERMS = LeaseTiming(
    lease_s=1.0,
    short_work_s=float(SHORT_TICKS),
    max_work_s=float(LONG_TICKS),
    transit_s=0.0,
    drift=0.0,
)
STALE = int(TERMS.lease_s) + 1


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer of the platform or a peer on its way.

    ``age`` is how long ago the roster was confirmed, for the platform's
    answer counted from the question.
    """

    version: int
    roster: Roster
    age: int


@dataclass(frozen=True, slots=True)
class Node:
    """One instance: its view, a reply on its way, and its work."""

    view: LeaseSnapshot
    reply: Reply | None = None
    work: tuple[int, ...] = ()
    alive: bool = True


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far the model goes.

    ``order`` gives the instances' places in rendezvous order for the leaf;
    the first ``members`` of them by age stand in the first roster.
    """

    slots: int = 2
    order: tuple[int, ...] = (0, 1)
    members: int = 2
    generations: int = 2
    versions: int = 3
    crashes: int = 1
    long_work: bool = True
    guard: bool = True


State = tuple[Any, ...]
Steps = list[tuple[str, State]]


class Handover:
    """Builds the state machine within ``bounds``."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.members = _members(bounds.order)
        self.allowed = lru_cache(maxsize=None)(self._allowed)

    def protocol(self) -> Protocol:
        """Return the machine as minicheck takes it."""
        roster = Roster(ZONE, 1, self.members[: self.bounds.members])
        known = Node(LeaseSnapshot(1, roster))
        stranger = Node(LeaseSnapshot(0, Roster(ZONE)))
        nodes = [
            known if i < self.bounds.members else stranger
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
        """Return all that can happen next."""
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
            if len(node.work) < self.allowed(index, node.view, ticks):
                work = tuple(sorted((*node.work, ticks)))
                view = self._busy(index, node.view)
                sent = replace(node, work=work, view=view)
                yield f"{name} sends {ticks}", _with(state, index, sent)
            if not self.bounds.long_work:
                break
        if node.reply is None:
            yield from self._questions(state, index)
        else:
            yield f"{name} gets the reply", self._hear(state, index)
        if node.view.version == version:
            yield from self._changes(state, index)
        yield from self._peer_news(state, index)
        dead = sum(not other.alive for other in state[2:])
        if dead < self.bounds.crashes:
            crashed = replace(node, alive=False, reply=None)
            yield f"{name} crashes", _with(state, index, crashed)

    def _questions(self, state: State, index: int) -> Iterator:
        """Yield the questions that the instance may ask."""
        name = self.members[index].name
        node: Node = state[2 + index]
        asked = replace(node, reply=Reply(state[0], state[1], 0))
        yield f"{name} asks the platform", _with(state, index, asked)
        for other, peer in enumerate(state[2:]):
            if other == index or not peer.alive:
                continue
            age = peer.view.confirmed_age_s
            age = STALE if age is None else int(age)
            reply = Reply(peer.view.version, peer.view.roster, age)
            asked = replace(node, reply=reply)
            label = f"{name} asks {self.members[other].name}"
            yield label, _with(state, index, asked)

    def _hear(self, state: State, index: int) -> State:
        node: Node = state[2 + index]
        lease = self._lease(index, node.view)
        reply = node.reply
        lease.apply_roster(reply.version, reply.roster, NOW)
        if reply.version == lease.version:
            lease.record_confirmation(reply.roster.generation, NOW - reply.age)
        heard = replace(node, view=LeaseSnapshot.of(lease, NOW), reply=None)
        return _with(state, index, heard)

    def _changes(self, state: State, index: int) -> Iterator:
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
                yield f"{name} joins", self._put(state, index, joined)
            for member in roster.members:
                left = replace_members(roster, [], [member.incarnation])
                label = f"{name} puts {member.name} out"
                yield label, self._put(state, index, left)
        pruned = prune_history(
            roster,
            lambda incarnation, number: self._has_ended(
                state, index, lease, incarnation, number
            ),
        )
        if pruned != roster:
            yield f"{name} prunes", self._put(state, index, pruned)

    def _has_ended(
        self,
        state: State,
        index: int,
        lease: HomeLease,
        incarnation: str,
        number: int,
    ) -> bool:
        if incarnation == self.members[index].incarnation:
            return self._settled(state, index) > number
        return lease.has_ended(incarnation, number, NOW)

    def _put(self, state: State, index: int, roster: Roster) -> State:
        """Change the platform's roster; the writer sees it at once."""
        version = state[0] + 1
        node: Node = state[2 + index]
        lease = self._lease(index, node.view)
        lease.apply_roster(version, roster, NOW)
        lease.record_confirmation(roster.generation, NOW)
        changed = replace(node, view=LeaseSnapshot.of(lease, NOW))
        return _with((version, roster, *state[2:]), index, changed)

    def _peer_news(self, state: State, index: int) -> Iterator:
        """Yield what the instance learns of the others, one at a time."""
        node: Node = state[2 + index]
        for other in range(len(self.members)):
            if other == index:
                continue
            lease = self._lease(index, node.view)
            if state[2 + other].alive:
                self._learn_from(lease, state, other)
                label = "hears from"
            else:
                proof = GoneProof(self.members[other].incarnation)
                lease.record_gone(proof, NOW)
                label = "is refused by"
            view = LeaseSnapshot.of(lease, NOW)
            if view != node.view:
                names = self.members[index].name, self.members[other].name
                yield (
                    f"{names[0]} {label} {names[1]}",
                    _with(state, index, replace(node, view=view)),
                )

    def _learn_from(self, lease: HomeLease, state: State, other: int) -> None:
        """Take in under which generation alone the other acts."""
        if self._is_listed(lease.roster, self.members[other].incarnation):
            settled = self._settled(state, other)
            lease.record_settled(self.members[other].incarnation, settled)

    def _is_listed(self, roster: Roster, incarnation: str) -> bool:
        """Tell whether what is known of the incarnation still matters."""
        return any(
            member.incarnation == incarnation
            for former in roster.history
            for member in former.members
        )

    def _settled(self, state: State, index: int) -> int:
        node: Node = state[2 + index]
        lease = self._lease(index, node.view)
        return lease.settled_generation({LEAF} if node.work else set(), NOW)

    def _busy(self, index: int, view: LeaseSnapshot) -> LeaseSnapshot:
        lease = self._lease(index, view)
        lease.record_send(LEAF)
        return LeaseSnapshot.of(lease, NOW)

    def _allowed(self, index: int, view: LeaseSnapshot, ticks: int) -> int:
        lease = self._lease(index, view)
        return lease.slots_allowed(
            LEAF, self.bounds.slots, NOW, work_s=float(ticks)
        )

    def _lease(self, index: int, view: LeaseSnapshot) -> HomeLease:
        return view.restore(self.members[index], TERMS, self.bounds.guard, NOW)

    def _tick(self, state: State) -> State:
        return (*state[:2], *(_aged(node) for node in state[2:]))

    def _names(self) -> tuple[str, ...]:
        return tuple(member.name for member in self.members)


def check(bounds: Bounds, max_states: int = 2_000_000) -> dict:
    """Return minicheck's verdict on the model within ``bounds``."""
    return check_safety(Handover(bounds).protocol(), max_states)


def _with(state: State, index: int, node: Node) -> State:
    return (*state[: 2 + index], node, *state[3 + index :])


@cache
def _aged(node: Node) -> Node:
    work = tuple(left - 1 for left in node.work if left > 1)
    reply = node.reply
    if reply is not None:
        age = min(reply.age + 1, STALE)
        reply = replace(reply, age=age)
    view = _aged_view(node.view)
    if not work:
        view = replace(view, busy_generations=())
    return replace(node, work=work, reply=reply, view=view)


def _aged_view(view: LeaseSnapshot) -> LeaseSnapshot:
    age_s = view.confirmed_age_s
    if age_s is not None:
        age_s = age_s + 1 if age_s + 1 <= TERMS.lease_s else None
    longest_s = TERMS.wait_s(TERMS.max_work_s)
    return replace(
        view,
        confirmed_age_s=age_s,
        superseded_age_s=tuple(
            (number, min(age + 1, TERMS.expiry_wait_s))
            for number, age in view.superseded_age_s
        ),
        gone=tuple(
            replace(gone, age_s=min(gone.age_s + 1, longest_s))
            for gone in view.gone
        ),
    )


def _members(order: tuple[int, ...]) -> tuple[Member, ...]:
    """Return members whose ranks for the leaf follow ``order``."""
    drawn = [
        Member(f"i{number}", ZONE, f"127.0.0.1:{7000 + number}", f"r{number}")
        for number in range(len(order))
    ]
    ranked = rank(LEAF, drawn)
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
    given = parser.parse_args()
    bounds = Bounds(
        slots=given.slots,
        order=tuple(int(place) for place in given.order.split(",")),
        members=given.members,
        generations=given.generations,
        versions=given.versions,
        crashes=given.crashes,
        long_work=not given.short_work_only,
        guard=not given.without_guard,
    )
    verdict = check(bounds, given.max_states)
    found = verdict["properties"]["within_slots"]
    print(f"states: {verdict['reachable_states']}")
    print(f"exhaustive: {verdict['exhaustive']}")
    print(f"holds: {found['holds']}")
    for step in found["counterexample"] or []:
        print(f"  {step['label']}")


if __name__ == "__main__":
    main()
