"""Decides how many of a leaf's slots one instance may use, without I/O.

Every instance keeps one ``HomeLease`` for each zone.  These are the rules;
docs/design/membership.md explains why they are safe:

- A generation is a set of members; each change of it starts a new one.
- The home of a leaf in a generation is the first member in rendezvous order
  that is not known to be gone.
- A possible holder of a leaf is an instance that may still have work there
  from the current or a previous generation.
- A home without any other possible holder uses all slots if its roster was
  confirmed within the lease, and all but the reserve if the lease has
  expired.
- A home with one other possible holder uses only the reserve, and only after
  the lease and the short work of that holder have certainly ended.
- A home with two or more other possible holders uses no slots.

Work longer than ``short_work_s`` never uses the reserve, so that the reserve
is free within that time after a lease has expired.
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
    """When an incarnation became known to be gone, and how it ended."""

    since: float
    drained: bool


@dataclass(frozen=True, slots=True)
class _Contention:
    """Which other instances may still send to a leaf.

    ``holders`` counts the other instances that may send at the same time.
    The reserve may be used from ``reserve_at``.  The value is valid until
    ``valid_until``.
    """

    holders: int
    reserve_at: float
    valid_until: float


class HomeLease:
    """One instance's view of which members may send to a zone's leaves."""

    def __init__(
        self, me: Member, zone: str, timing: LeaseTiming, enforce: bool = True
    ) -> None:
        self.me = me
        self.timing = timing
        self.enforce = enforce
        self.max_work_s: Callable[[str], float] = self._default_max_work_s
        self.version = 0
        self.roster = Roster(zone)
        self.confirmed_at = NEVER
        self.superseded_at: dict[int, float] = {}
        self.settled_by_incarnation: dict[str, int] = {}
        self.busy_generation_by_leaf: dict[str, int] = {}
        self._gone_by_incarnation: dict[str, _Gone] = {}
        self._home_by_leaf: dict[str, Member | None] = {}
        self._contention_by_leaf: dict[str, _Contention] = {}

    # Commands

    def apply_roster(self, version: int, roster: Roster, now: float) -> bool:
        """Apply a newer roster; return whether it was newer.

        An older one is ignored, whatever its source.
        """
        if version <= self.version:
            return False
        if roster.generation < self.roster.generation:
            return False
        if roster.generation > self.roster.generation:
            self.confirmed_at = NEVER
        self.version = version
        self.roster = roster
        for previous in roster.history:
            self.superseded_at.setdefault(previous.number, now)
        self._discard_past_members()
        self._clear_caches()
        return True

    def record_confirmation(
        self, generation: int, confirmed_at: float
    ) -> None:
        """Record that ``generation`` was the latest at ``confirmed_at``."""
        if generation == self.roster.generation:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def record_settled(self, incarnation: str, generation: int) -> None:
        """Record that a member can have no work of earlier generations."""
        if generation > self.settled_by_incarnation.get(incarnation, 0):
            self.settled_by_incarnation[incarnation] = generation
            self._contention_by_leaf.clear()

    def record_gone(self, proof: GoneProof, now: float) -> bool:
        """Record that an incarnation has ended; return whether it was new."""
        if proof.incarnation == self.me.incarnation:
            return False
        known = self._gone_by_incarnation.get(proof.incarnation)
        if known is not None and (known.drained or not proof.drained):
            return False
        since = now if known is None else known.since
        self._gone_by_incarnation[proof.incarnation] = _Gone(
            since, proof.drained
        )
        self._clear_caches()
        return True

    def record_send(self, leaf_id: str) -> None:
        """Record that work is sent to the leaf in this generation."""
        self.busy_generation_by_leaf.setdefault(
            leaf_id, self.roster.generation
        )

    def discard_idle_leaves(self, busy_leaves: set[str]) -> None:
        """Discard the records of all leaves but the busy ones."""
        if self.busy_generation_by_leaf.keys() - busy_leaves:
            self.busy_generation_by_leaf = {
                leaf_id: generation
                for leaf_id, generation in self.busy_generation_by_leaf.items()
                if leaf_id in busy_leaves
            }

    # Queries

    @property
    def gone(self) -> tuple[GoneProof, ...]:
        """Return the proofs that incarnations have ended."""
        return tuple(
            GoneProof(incarnation, gone.drained)
            for incarnation, gone in self._gone_by_incarnation.items()
        )

    def is_gone(self, incarnation: str) -> bool:
        """Tell whether the incarnation has been proven gone."""
        return incarnation in self._gone_by_incarnation

    def gone_since(self, incarnation: str) -> float:
        """Return when a member became known to be gone; raises KeyError."""
        return self._gone_by_incarnation[incarnation].since

    def has_ended(self, incarnation: str, generation: int, now: float) -> bool:
        """Tell whether a member can have no more work of ``generation``."""
        return self._has_ended(
            incarnation, generation, now, self.timing.max_work_s
        )

    def home_of(self, leaf_id: str) -> Member | None:
        """Return the leaf's home, or None without live members."""
        if leaf_id not in self._home_by_leaf:
            live_members = (
                member
                for member in rank(leaf_id, self.roster.members)
                if member.incarnation not in self._gone_by_incarnation
            )
            self._home_by_leaf[leaf_id] = next(live_members, None)
        return self._home_by_leaf[leaf_id]

    def is_home(self, leaf_id: str) -> bool:
        """Tell whether this instance sees itself as the leaf's home."""
        home = self.home_of(leaf_id)
        return home is not None and home.incarnation == self.me.incarnation

    def is_valid(self, now: float) -> bool:
        """Tell whether the roster was confirmed within ``lease_s``."""
        return now - self.confirmed_at <= self.timing.lease_s

    def slots_allowed(
        self, leaf_id: str, slots: int, now: float, work_s: float = 0.0
    ) -> int:
        """Return how many of the leaf's slots this instance may use.

        ``work_s`` is the longest time that the work to be sent may take.
        """
        if not self.is_home(leaf_id):
            return 0
        if not self.enforce:
            return slots
        reserve = reserved_slots(slots)
        contention = self._contention(leaf_id, now)
        if contention.holders > 1:
            return 0
        if contention.holders == 1:
            return reserve if now >= contention.reserve_at else 0
        if self.is_valid(now) and work_s <= self.timing.short_work_s:
            return slots
        return slots - reserve

    def settled_generation(self, busy_leaves: set[str], now: float) -> int:
        """Return the only generation of which this instance can have work.

        It is 0 while work runs at a leaf that has moved to another home.
        This includes a leaf that has moved back since, as another instance
        may have sent work to it in the generation between.
        """
        for leaf_id in busy_leaves:
            if not self.is_home(leaf_id):
                return 0
            first_busy = self.busy_generation_by_leaf.get(leaf_id, 0)
            for previous in self.roster.history:
                if previous.number >= first_busy and not self._is_only_holder(
                    leaf_id, previous, now
                ):
                    return 0
        return self.roster.generation

    def _is_only_holder(
        self, leaf_id: str, previous: Generation, now: float
    ) -> bool:
        """Tell whether no other member can have work of ``previous``."""
        work_s = self.max_work_s(leaf_id)
        return not self._possible_holders(
            leaf_id, previous.number, previous.members, now, work_s
        )

    def _default_max_work_s(self, _: str) -> float:
        return self.timing.max_work_s

    def _has_ended(
        self, incarnation: str, generation: int, now: float, work_s: float
    ) -> bool:
        if self.settled_by_incarnation.get(incarnation, 0) > generation:
            return True
        gone = self._gone_by_incarnation.get(incarnation)
        if gone is None:
            return False
        return gone.drained or now >= gone.since + self.timing.wait_s(work_s)

    def _contention(self, leaf_id: str, now: float) -> _Contention:
        contention = self._contention_by_leaf.get(leaf_id)
        if contention is None or now >= contention.valid_until:
            contention = self._compute_contention(leaf_id, now)
            self._contention_by_leaf[leaf_id] = contention
        return contention

    def _compute_contention(self, leaf_id: str, now: float) -> _Contention:
        work_s = self.max_work_s(leaf_id)
        holders: set[str] = set()
        generations = 0
        reserve_at = NEVER
        for number, members in self._generations():
            possible = self._possible_holders(
                leaf_id, number, members, now, work_s
            )
            generations += bool(possible)
            holders.update(possible)
            for incarnation in possible:
                ends_at = self._reserve_at(incarnation, number)
                reserve_at = max(reserve_at, ends_at)
        valid_until = min(
            (
                gone.since + self.timing.wait_s(work_s)
                for incarnation, gone in self._gone_by_incarnation.items()
                if incarnation in holders
            ),
            default=float("inf"),
        )
        count = min(generations, len(holders))
        return _Contention(count, reserve_at, valid_until)

    def _generations(self) -> list[tuple[int, tuple[Member, ...]]]:
        previous = [(g.number, g.members) for g in self.roster.history]
        return [*previous, (self.roster.generation, self.roster.members)]

    def _possible_holders(
        self,
        leaf_id: str,
        number: int,
        members: tuple[Member, ...],
        now: float,
        work_s: float,
    ) -> set[str]:
        possible = set()
        for member in rank(leaf_id, members):
            if member.incarnation == self.me.incarnation:
                break
            if not self._has_ended(member.incarnation, number, now, work_s):
                possible.add(member.incarnation)
        return possible

    def _reserve_at(self, incarnation: str, number: int) -> float:
        if number not in self.superseded_at:
            return float("inf")
        expired_at = self.superseded_at[number] + self.timing.expiry_wait_s
        gone = self._gone_by_incarnation.get(incarnation)
        if gone is None:
            return expired_at
        return min(expired_at, gone.since + self.timing.short_wait_s)

    def _discard_past_members(self) -> None:
        """Discard members and generations that the roster no longer has.

        Those in its history are retained.
        """
        incarnations = {
            member.incarnation
            for _, members in self._generations()
            for member in members
        }
        numbers = {number for number, _ in self._generations()}
        self._gone_by_incarnation = {
            incarnation: gone
            for incarnation, gone in self._gone_by_incarnation.items()
            if incarnation in incarnations
        }
        self.settled_by_incarnation = {
            incarnation: generation
            for incarnation, generation in self.settled_by_incarnation.items()
            if incarnation in incarnations
        }
        self.superseded_at = {
            number: at
            for number, at in self.superseded_at.items()
            if number in numbers
        }

    def _clear_caches(self) -> None:
        self._home_by_leaf.clear()
        self._contention_by_leaf.clear()
