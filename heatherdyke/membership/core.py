"""The state of one instance's membership: events in, messages out; pure.

It holds a ``HomeLease`` and a ``ZoneMembership`` for each zone it knows and
turns heartbeats into knowledge and back.  ``member_task`` does the I/O.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from heatherdyke.membership.home_lease import HomeLease
from heatherdyke.membership.home_lease import LeaseTiming
from heatherdyke.membership.messages import GoneProof
from heatherdyke.membership.messages import Heartbeat
from heatherdyke.membership.messages import LifecycleState
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import VersionedRoster
from heatherdyke.membership.messages import ZoneView
from heatherdyke.membership.zone_membership import ZoneMembership

REMEMBERED_SEQUENCES = 64
ALL_ZONES_HEARTBEAT_PERIOD = 4


@dataclass(frozen=True, slots=True)
class ConfigVersions:
    """The configuration versions that a heartbeat carries."""

    config_version: int = 0
    zones_version: int = 0


@dataclass(frozen=True, slots=True)
class HeartbeatResult:
    """What the task has to do after a heartbeat.

    ``reply`` is the answer to send; ``newer_zones`` names the zones whose
    roster the sender has newer; ``probe`` is a member to probe because
    another incarnation spoke for its address.
    """

    reply: Heartbeat | None
    newer_zones: tuple[str, ...] = ()
    probe: Member | None = None


class MembershipCore:
    """Everything an instance knows of members, rosters and homes."""

    def __init__(
        self,
        me: Member,
        interval_s: float,
        timing: LeaseTiming,
        enforce: bool = True,
    ) -> None:
        self.me = me
        self.state = LifecycleState.SERVING
        self.released = False
        self.max_work_s: Callable[[str], float] = lambda _: timing.max_work_s
        self._interval_s = interval_s
        self._terms = timing
        self._guard = enforce
        self._sequence = 0
        self._sent_at: deque[tuple[int, float]] = deque(
            maxlen=REMEMBERED_SEQUENCES
        )
        self.membership_by_zone: dict[str, ZoneMembership] = {}
        self.membership(me.zone)

    # Commands

    def update_failover(self, zones: set[str], now: float) -> None:
        """Let this instance join the rosters of zones without instances.

        Only the reader of an instance's own zone does, so that few
        instances contend for a roster.
        """
        is_reader = self.membership(self.me.zone).is_reader()
        for zone in zones - {self.me.zone}:
            self.membership(zone).update_failover(is_reader, now)

    def apply_roster(self, versioned: VersionedRoster, now: float) -> bool:
        """Take over a roster if it is newer; return whether it was."""
        lease = self.lease(versioned.roster.zone)
        return lease.apply_roster(versioned.version, versioned.roster, now)

    def record_confirmation(
        self, zone: str, generation: int, asked_at: float
    ) -> None:
        """Note the platform's answer to a question sent at ``asked_at``."""
        self.lease(zone).record_confirmation(generation, asked_at)

    def record_gone(self, proof: GoneProof, now: float) -> bool:
        """Note a proof in every zone; return whether it is news."""
        news = False
        for membership in self.membership_by_zone.values():
            news |= membership.lease.record_gone(proof, now)
        return news

    def update_busy_leaves(self, busy_leaves: set[str], now: float) -> None:
        """Note at which leaves this instance has work, before a send."""
        for membership in self.relevant_memberships():
            lease = membership.lease
            lease.discard_idle_leaves(busy_leaves)
            lease.record_settled(
                self.me.incarnation,
                lease.settled_generation(busy_leaves, now),
            )

    def record_send(self, leaf_id: str, zone: str) -> None:
        """Note that work is about to be sent to the leaf."""
        self.lease(zone).record_send(leaf_id)

    def begin_leaving(self) -> None:
        """Ask to be taken out of every roster."""
        self.state = LifecycleState.LEAVING
        for membership in self.membership_by_zone.values():
            membership.leaving = True

    def release(self) -> GoneProof:
        """Send nothing to leaves any more; return the proof for peers."""
        self.released = True
        return GoneProof(self.me.incarnation, drained=True)

    def next_heartbeat(self, now: float, config: ConfigVersions) -> Heartbeat:
        """Return the next heartbeat that asks for an answer."""
        self._sequence += 1
        self._sent_at.append((self._sequence, now))
        return self._heartbeat(now, config, self._sequence, echo=0)

    def handle_heartbeat(
        self, heartbeat: Heartbeat, now: float, config: ConfigVersions
    ) -> HeartbeatResult:
        """Take in a heartbeat and return what follows from it."""
        sender = heartbeat.sender
        if sender.incarnation == self.me.incarnation:
            return HeartbeatResult(None)
        for membership in self.relevant_memberships():
            membership.handle_heartbeat(heartbeat, now)
        for proof in heartbeat.gone:
            self.record_gone(proof, now)
        for view in heartbeat.views:
            self._take_view(view, heartbeat.echo)
        reply = None
        if heartbeat.echo == 0:
            reply = self._heartbeat(
                now, config, self._sequence, heartbeat.sequence
            )
        return HeartbeatResult(
            reply, self._newer_zones(heartbeat), self._predecessor(sender)
        )

    # Queries

    def membership(self, zone: str) -> ZoneMembership:
        """Return what is known of the zone, at first nothing."""
        if zone not in self.membership_by_zone:
            lease = HomeLease(self.me, zone, self._terms, self._guard)
            lease.max_work_s = self._ask_longest_work
            membership = ZoneMembership(self.me, zone, lease, self._interval_s)
            membership.leaving = self.state is LifecycleState.LEAVING
            self.membership_by_zone[zone] = membership
        return self.membership_by_zone[zone]

    def lease(self, zone: str) -> HomeLease:
        """Return the view of who may send to the zone's leaves."""
        return self.membership(zone).lease

    def members(self) -> list[Member]:
        """Return all zones' members that are not known gone."""
        return [
            member
            for membership in self.membership_by_zone.values()
            for member in membership.lease.roster.members
            if not membership.lease.is_gone(member.incarnation)
        ]

    def home_of(self, leaf_id: str, zone: str) -> Member | None:
        """Return the leaf's home, or None if its zone has no member."""
        membership = self.membership_by_zone.get(zone)
        return membership.lease.home_of(leaf_id) if membership else None

    def slots_allowed(
        self,
        leaf_id: str,
        zone: str,
        slots: int,
        now: float,
        work_s: float = 0.0,
    ) -> int:
        """Return how many of the leaf's slots may be at work from here."""
        membership = self.membership_by_zone.get(zone)
        if self.released or membership is None:
            return 0
        return membership.lease.slots_allowed(leaf_id, slots, now, work_s)

    def _heartbeat(
        self, now: float, config: ConfigVersions, sequence: int, echo: int
    ) -> Heartbeat:
        gone: dict[str, GoneProof] = {}
        for membership in self.membership_by_zone.values():
            for proof in membership.lease.gone:
                gone[proof.incarnation] = proof
        if self.released:
            own = GoneProof(self.me.incarnation, drained=True)
            gone[own.incarnation] = own
        suspects = self.membership(self.me.zone).suspects()
        return Heartbeat(
            sender=self.me,
            state=self.state,
            sequence=sequence,
            echo=echo,
            views=tuple(self._views(now)),
            config_version=config.config_version,
            zones_version=config.zones_version,
            roster_version_by_zone=self._versions(sequence, echo),
            gone=tuple(gone.values()),
            suspects=tuple(member.incarnation for member in suspects),
        )

    def _versions(self, sequence: int, echo: int) -> dict[str, int]:
        """Return the roster versions to send: mostly the own zone's only.

        All zones' go with each fourth question and with its answer.
        """
        if (echo or sequence) % ALL_ZONES_HEARTBEAT_PERIOD:
            zones = [self.me.zone]
        else:
            zones = list(self.membership_by_zone)
        return {zone: self.lease(zone).version for zone in zones}

    def _ask_longest_work(self, leaf_id: str) -> float:
        return self.max_work_s(leaf_id)

    def relevant_memberships(self) -> list[ZoneMembership]:
        """Return the zones to whose leaves this instance may send or sent.

        A former member goes on telling that it has no work there any more.
        """
        return [
            membership
            for zone, membership in self.membership_by_zone.items()
            if zone == self.me.zone
            or membership.is_member
            or membership.was_member
        ]

    def _views(self, now: float) -> Iterable[ZoneView]:
        for membership in self.relevant_memberships():
            lease = membership.lease
            age_s = None
            if lease.is_fresh(now):
                age_s = _round_up(max(0.0, now - lease.confirmed_at))
            settled = {}
            if lease.roster.history:
                settled = dict(lease.settled_by_incarnation)
            yield ZoneView(
                membership.zone, lease.roster.generation, age_s, settled
            )

    def _take_view(self, view: ZoneView, echo: int) -> None:
        membership = self.membership_by_zone.get(view.zone)
        if membership is None:
            return
        lease = membership.lease
        for incarnation, generation in view.settled_by_incarnation.items():
            if incarnation != self.me.incarnation:
                lease.record_settled(incarnation, generation)
        asked_at = self._asked_at(echo)
        if view.confirmed_age_s is not None and asked_at is not None:
            confirmed_at = asked_at - max(0.0, view.confirmed_age_s)
            lease.record_confirmation(view.generation, confirmed_at)

    def _asked_at(self, echo: int) -> float | None:
        for sequence, sent_at in self._sent_at:
            if sequence == echo:
                return sent_at
        return None

    def _newer_zones(self, heartbeat: Heartbeat) -> tuple[str, ...]:
        return tuple(
            zone
            for zone, version in heartbeat.roster_version_by_zone.items()
            if version > self._version(zone)
        )

    def _version(self, zone: str) -> int:
        membership = self.membership_by_zone.get(zone)
        return membership.lease.version if membership else 0

    def _predecessor(self, sender: Member) -> Member | None:
        for member in self.lease(sender.zone).roster.members:
            if (
                member.address == sender.address
                and member.incarnation != sender.incarnation
                and not self.lease(sender.zone).is_gone(member.incarnation)
            ):
                return member
        return None


def _round_up(seconds: float) -> float:
    """Return whole milliseconds, never less, to keep messages short."""
    return ceil(seconds * 1000) / 1000
