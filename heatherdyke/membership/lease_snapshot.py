"""Snapshots of a HomeLease with relative times, for model checking."""

from dataclasses import dataclass

from heatherdyke.membership.home_lease import HomeLease
from heatherdyke.membership.lease_timing import LeaseTiming
from heatherdyke.membership.messages import GoneProof
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import Roster


@dataclass(frozen=True, slots=True)
class GoneAge:
    """How long ago an incarnation became known to be gone."""

    incarnation: str
    age_s: float
    drained: bool


@dataclass(frozen=True, slots=True)
class LeaseSnapshot:
    """The state of a HomeLease; equal snapshots behave the same.

    Ages are capped at the longest one that matters under ``timing``, so that
    the number of distinct snapshots is finite.
    """

    version: int
    roster: Roster
    confirmed_age_s: float | None = None
    superseded_age_s: tuple[tuple[int, float], ...] = ()
    settled: tuple[tuple[str, int], ...] = ()
    gone: tuple[GoneAge, ...] = ()
    busy_generations: tuple[tuple[str, int], ...] = ()

    @classmethod
    def of(cls, lease: HomeLease, now: float) -> "LeaseSnapshot":
        """Return the snapshot of ``lease`` at ``now``."""
        timing = lease.timing
        age_s = None
        if lease.is_valid(now):
            age_s = now - lease.confirmed_at
        max_wait_s = timing.wait_s(timing.max_work_s)
        return cls(
            version=lease.version,
            roster=lease.roster,
            confirmed_age_s=age_s,
            superseded_age_s=tuple(
                (number, min(now - at, timing.expiry_wait_s))
                for number, at in sorted(lease.superseded_at.items())
            ),
            settled=tuple(sorted(lease.settled_by_incarnation.items())),
            gone=tuple(
                GoneAge(
                    proof.incarnation,
                    min(now - lease.gone_since(proof.incarnation), max_wait_s),
                    proof.drained,
                )
                for proof in sorted(lease.gone, key=lambda p: p.incarnation)
            ),
            busy_generations=tuple(
                sorted(lease.busy_generation_by_leaf.items())
            ),
        )

    def restore(
        self, me: Member, timing: LeaseTiming, enforce: bool, now: float
    ) -> HomeLease:
        """Return a HomeLease in the state of the snapshot."""
        lease = HomeLease(me, self.roster.zone, timing, enforce)
        lease.apply_roster(self.version, self.roster, now)
        if self.confirmed_age_s is not None:
            lease.record_confirmation(
                self.roster.generation, now - self.confirmed_age_s
            )
        for number, age_s in self.superseded_age_s:
            lease.superseded_at[number] = now - age_s
        for incarnation, generation in self.settled:
            lease.record_settled(incarnation, generation)
        for gone in self.gone:
            proof = GoneProof(gone.incarnation, gone.drained)
            lease.record_gone(proof, now - gone.age_s)
        lease.busy_generation_by_leaf.update(self.busy_generations)
        return lease
