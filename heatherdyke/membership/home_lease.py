"""Decides how many of a leaf's slots one instance may use now; pure.

Every instance keeps one ``HomeLease`` for each zone.  The rules, of which
docs/design/membership.md holds the argument:

- The home of a leaf under a generation is the first member in rendezvous
  order that is not known gone.
- A home whose view was confirmed within the lease and that has no possible
  other holder uses all slots; with the lease lapsed, all but the reserve.
- With one possible other holder it uses the reserve alone, and that only
  once the other's lease and its short work have surely ended.
- With two or more it uses none.

Work longer than ``short_work_s`` never takes the reserve, so that after a
lapse the reserve is free within that time.
"""

from collections.abc import Callable
from dataclasses import dataclass

from heatherdyke.membership.lease_timing import NEVER
from heatherdyke.membership.lease_timing import LeaseTiming
from heatherdyke.membership.lease_timing import reserved_slots
from heatherdyke.membership.messages import Generation
from heatherdyke.membership.messages import GoneProof
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import Roster
from heatherdyke.membership.rendezvous import rank


@dataclass(slots=True)
class _Gone:
    """Since when an incarnation is known gone."""

    since: float
    drained: bool


@dataclass(frozen=True, slots=True)
class _Standing:
    """Who else may hold a leaf.

    ``holders`` counts the others that may act at once; the reserve may be
    used from ``reserve_at``; the value holds until ``valid_until``.
    """

    holders: int
    reserve_at: float
    valid_until: float


class HomeLease:
    """One instance's view of who may send to the leaves of one zone."""

    def __init__(
        self, me: Member, zone: str, timing: LeaseTiming, enforce: bool = True
    ) -> None:
        self.me = me
        self.timing = timing
        self.enforce = enforce
        self.max_work_s: Callable[[str], float] = self._longest_work
        self.version = 0
        self.roster = Roster(zone)
        self.confirmed_at = NEVER
        self.superseded_at: dict[int, float] = {}
        self.settled_by_incarnation: dict[str, int] = {}
        self.busy_generation_by_leaf: dict[str, int] = {}
        self._gone: dict[str, _Gone] = {}
        self._home_by_leaf: dict[str, Member | None] = {}
        self._standing_by_leaf: dict[str, _Standing] = {}

    # Commands

    def apply_roster(self, version: int, roster: Roster, now: float) -> bool:
        """Take over a newer roster; return whether it was newer.

        An older one, however it came, changes nothing.
        """
        if version <= self.version:
            return False
        if roster.generation < self.roster.generation:
            return False
        if roster.generation > self.roster.generation:
            self.confirmed_at = NEVER
        self.version = version
        self.roster = roster
        for former in roster.history:
            self.superseded_at.setdefault(former.number, now)
        self._forget_unlisted()
        self._clear()
        return True

    def record_confirmation(
        self, generation: int, confirmed_at: float
    ) -> None:
        """Note that ``generation`` was the latest at ``confirmed_at``."""
        if generation == self.roster.generation:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def record_settled(self, incarnation: str, generation: int) -> None:
        """Note that a member does nothing under earlier generations."""
        if generation > self.settled_by_incarnation.get(incarnation, 0):
            self.settled_by_incarnation[incarnation] = generation
            self._standing_by_leaf.clear()

    def record_gone(self, proof: GoneProof, now: float) -> bool:
        """Note that an incarnation has ended; return whether it is news."""
        if proof.incarnation == self.me.incarnation:
            return False
        known = self._gone.get(proof.incarnation)
        if known is not None and (known.drained or not proof.drained):
            return False
        since = now if known is None else known.since
        self._gone[proof.incarnation] = _Gone(since, proof.drained)
        self._clear()
        return True

    def record_send(self, leaf_id: str) -> None:
        """Note that work is sent to the leaf under this generation."""
        self.busy_generation_by_leaf.setdefault(
            leaf_id, self.roster.generation
        )

    def discard_idle_leaves(self, busy_leaves: set[str]) -> None:
        """Note that no work runs at any other leaf."""
        if self.busy_generation_by_leaf.keys() - busy_leaves:
            self.busy_generation_by_leaf = {
                leaf_id: generation
                for leaf_id, generation in self.busy_generation_by_leaf.items()
                if leaf_id in busy_leaves
            }

    # Queries

    @property
    def gone(self) -> tuple[GoneProof, ...]:
        """Return the proofs of members that the roster still names."""
        return tuple(
            GoneProof(incarnation, gone.drained)
            for incarnation, gone in self._gone.items()
        )

    def is_gone(self, incarnation: str) -> bool:
        """Tell whether the incarnation has been proven gone."""
        return incarnation in self._gone

    def gone_since(self, incarnation: str) -> float:
        """Return when a member became known gone; raises KeyError."""
        return self._gone[incarnation].since

    def has_ended(self, incarnation: str, generation: int, now: float) -> bool:
        """Tell whether a member does nothing more under ``generation``."""
        return self._has_ended(
            incarnation, generation, now, self.timing.max_work_s
        )

    def home_of(self, leaf_id: str) -> Member | None:
        """Return the leaf's home in this view, or None without members."""
        if leaf_id not in self._home_by_leaf:
            alive = (
                member
                for member in rank(leaf_id, self.roster.members)
                if member.incarnation not in self._gone
            )
            self._home_by_leaf[leaf_id] = next(alive, None)
        return self._home_by_leaf[leaf_id]

    def is_home(self, leaf_id: str) -> bool:
        """Tell whether this instance is the leaf's home in its view."""
        home = self.home_of(leaf_id)
        return home is not None and home.incarnation == self.me.incarnation

    def is_fresh(self, now: float) -> bool:
        """Tell whether the view was confirmed within the lease."""
        return now - self.confirmed_at <= self.timing.lease_s

    def slots_allowed(
        self, leaf_id: str, slots: int, now: float, work_s: float = 0.0
    ) -> int:
        """Return how many of the leaf's slots may be at work from here.

        ``work_s`` is the longest that the work to send may last.
        """
        if not self.is_home(leaf_id):
            return 0
        if not self.enforce:
            return slots
        reserve = reserved_slots(slots)
        standing = self._standing(leaf_id, now)
        if standing.holders > 1:
            return 0
        if standing.holders == 1:
            return reserve if now >= standing.reserve_at else 0
        if self.is_fresh(now) and work_s <= self.timing.short_work_s:
            return slots
        return slots - reserve

    def settled_generation(self, busy_leaves: set[str], now: float) -> int:
        """Return the generation under which alone this instance acts.

        It is 0 while work runs at a leaf that has moved away, also if the
        leaf has come back since: another may act under the generation
        between.
        """
        for leaf_id in busy_leaves:
            if not self.is_home(leaf_id):
                return 0
            since = self.busy_generation_by_leaf.get(leaf_id, 0)
            for former in self.roster.history:
                if former.number >= since and not self._kept(
                    leaf_id, former, now
                ):
                    return 0
        return self.roster.generation

    def _kept(self, leaf_id: str, former: Generation, now: float) -> bool:
        """Tell whether nobody else can act on the leaf under ``former``."""
        work_s = self.max_work_s(leaf_id)
        return not self._waiting(
            leaf_id, former.number, former.members, now, work_s
        )

    def _longest_work(self, _: str) -> float:
        return self.timing.max_work_s

    def _has_ended(
        self, incarnation: str, generation: int, now: float, work_s: float
    ) -> bool:
        if self.settled_by_incarnation.get(incarnation, 0) > generation:
            return True
        gone = self._gone.get(incarnation)
        if gone is None:
            return False
        return gone.drained or now >= gone.since + self.timing.wait_s(work_s)

    def _standing(self, leaf_id: str, now: float) -> _Standing:
        standing = self._standing_by_leaf.get(leaf_id)
        if standing is None or now >= standing.valid_until:
            standing = self._compute_standing(leaf_id, now)
            self._standing_by_leaf[leaf_id] = standing
        return standing

    def _compute_standing(self, leaf_id: str, now: float) -> _Standing:
        work_s = self.max_work_s(leaf_id)
        holders: set[str] = set()
        generations = 0
        reserve_at = NEVER
        for number, members in self._generations():
            waiting = self._waiting(leaf_id, number, members, now, work_s)
            generations += bool(waiting)
            holders.update(waiting)
            for incarnation in waiting:
                ends_at = self._reserve_at(incarnation, number)
                reserve_at = max(reserve_at, ends_at)
        valid_until = min(
            (
                gone.since + self.timing.wait_s(work_s)
                for incarnation, gone in self._gone.items()
                if incarnation in holders
            ),
            default=float("inf"),
        )
        count = min(generations, len(holders))
        return _Standing(count, reserve_at, valid_until)

    def _generations(self) -> list[tuple[int, tuple[Member, ...]]]:
        former = [(g.number, g.members) for g in self.roster.history]
        return [*former, (self.roster.generation, self.roster.members)]

    def _waiting(
        self,
        leaf_id: str,
        number: int,
        members: tuple[Member, ...],
        now: float,
        work_s: float,
    ) -> set[str]:
        waiting = set()
        for member in rank(leaf_id, members):
            if member.incarnation == self.me.incarnation:
                break
            if not self._has_ended(member.incarnation, number, now, work_s):
                waiting.add(member.incarnation)
        return waiting

    def _reserve_at(self, incarnation: str, number: int) -> float:
        if number not in self.superseded_at:
            return float("inf")
        lapsed_at = self.superseded_at[number] + self.timing.lapse_wait_s
        gone = self._gone.get(incarnation)
        if gone is None:
            return lapsed_at
        return min(lapsed_at, gone.since + self.timing.short_wait_s)

    def _forget_unlisted(self) -> None:
        listed = {
            member.incarnation
            for _, members in self._generations()
            for member in members
        }
        numbers = {number for number, _ in self._generations()}
        self._gone = {
            incarnation: gone
            for incarnation, gone in self._gone.items()
            if incarnation in listed
        }
        self.settled_by_incarnation = {
            incarnation: generation
            for incarnation, generation in self.settled_by_incarnation.items()
            if incarnation in listed
        }
        self.superseded_at = {
            number: at
            for number, at in self.superseded_at.items()
            if number in numbers
        }

    def _clear(self) -> None:
        self._home_by_leaf.clear()
        self._standing_by_leaf.clear()
