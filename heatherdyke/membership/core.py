"""The membership state of one instance, without any I/O.

It holds a ``ZoneMembership`` with its ``HomeLease`` for each known zone,
builds outgoing heartbeats and applies received ones.  ``MembershipTask`` does
the I/O.
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

MAX_REMEMBERED_HEARTBEATS = 64
ALL_ZONES_HEARTBEAT_PERIOD = 4


@dataclass(frozen=True, slots=True)
class ConfigVersions:
    """The configuration versions that a heartbeat carries."""

    config_version: int = 0
    zones_version: int = 0


@dataclass(frozen=True, slots=True)
class HeartbeatResult:
    """The actions that follow from a received heartbeat.

    ``reply`` is the heartbeat to send back.  ``newer_zones`` names the zones
    of which the sender has a newer roster.  ``probe`` is a member to probe
    because another incarnation sent from its address.
    """

    reply: Heartbeat | None
    newer_zones: tuple[str, ...] = ()
    probe: Member | None = None


class MembershipCore:
    """Members, rosters and homes of all zones, as this instance sees them."""

    def __init__(
        self,
        me: Member,
        interval_s: float,
        timing: LeaseTiming,
        enforce: bool = True,
    ) -> None:
        self.me = me
        self.state = LifecycleState.SERVING
        self.sends_stopped = False
        self.max_work_s: Callable[[str], float] = lambda _: timing.max_work_s
        self._interval_s = interval_s
        self._timing = timing
        self._enforce = enforce
        self._sequence = 0
        self._sent_at: deque[tuple[int, float]] = deque(
            maxlen=MAX_REMEMBERED_HEARTBEATS
        )
        self.membership_by_zone: dict[str, ZoneMembership] = {}
        self.membership(me.zone)

    # Commands

    def update_failover(self, zones: set[str], now: float) -> None:
        """Update which zones without instances this one may take over.

        Only the reader of its own zone may, so that few instances contend
        for a roster.
        """
        is_reader = self.membership(self.me.zone).is_reader()
        for zone in zones - {self.me.zone}:
            self.membership(zone).update_failover(is_reader, now)

    def apply_roster(self, versioned: VersionedRoster, now: float) -> bool:
        """Apply a roster if it is newer; return whether it was."""
        lease = self.lease(versioned.roster.zone)
        return lease.apply_roster(versioned.version, versioned.roster, now)

    def record_confirmation(
        self, zone: str, generation: int, requested_at: float
    ) -> None:
        """Record the platform's response to a request of ``requested_at``."""
        self.lease(zone).record_confirmation(generation, requested_at)

    def record_gone(self, proof: GoneProof, now: float) -> bool:
        """Record a proof in every zone; return whether it was new."""
        is_new = False
        for membership in self.membership_by_zone.values():
            is_new |= membership.lease.record_gone(proof, now)
        return is_new

    def update_busy_leaves(self, busy_leaves: set[str], now: float) -> None:
        """Update the leaves with work in progress; call before sending."""
        for membership in self.relevant_memberships():
            lease = membership.lease
            lease.discard_idle_leaves(busy_leaves)
            lease.record_settled(
                self.me.incarnation,
                lease.settled_generation(busy_leaves, now),
            )

    def record_send(self, leaf_id: str, zone: str) -> None:
        """Record that work is about to be sent to the leaf."""
        self.lease(zone).record_send(leaf_id)

    def begin_leaving(self) -> None:
        """Announce that this instance is to be removed from every roster."""
        self.state = LifecycleState.LEAVING
        for membership in self.membership_by_zone.values():
            membership.leaving = True

    def stop_sends(self) -> GoneProof:
        """Stop all sends to leaves; return the proof for peers."""
        self.sends_stopped = True
        return GoneProof(self.me.incarnation, drained=True)

    def next_heartbeat(self, now: float, config: ConfigVersions) -> Heartbeat:
        """Return the next heartbeat that requests a reply."""
        self._sequence += 1
        self._sent_at.append((self._sequence, now))
        return self._heartbeat(now, config, self._sequence, echo=0)

    def handle_heartbeat(
        self, heartbeat: Heartbeat, now: float, config: ConfigVersions
    ) -> HeartbeatResult:
        """Apply a received heartbeat and return the resulting actions."""
        sender = heartbeat.sender
        if sender.incarnation == self.me.incarnation:
            return HeartbeatResult(None)
        for membership in self.relevant_memberships():
            membership.handle_heartbeat(heartbeat, now)
        for proof in heartbeat.gone:
            self.record_gone(proof, now)
        for view in heartbeat.views:
            self._apply_view(view, heartbeat.echo)
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
        """Return the membership of the zone, at first an empty one."""
        if zone not in self.membership_by_zone:
            lease = HomeLease(self.me, zone, self._timing, self._enforce)
            lease.max_work_s = self._current_max_work_s
            membership = ZoneMembership(self.me, zone, lease, self._interval_s)
            membership.leaving = self.state is LifecycleState.LEAVING
            self.membership_by_zone[zone] = membership
        return self.membership_by_zone[zone]

    def lease(self, zone: str) -> HomeLease:
        """Return the zone's lease state."""
        return self.membership(zone).lease

    def members(self) -> list[Member]:
        """Return the members of all zones that are not known to be gone."""
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
        """Return how many of the leaf's slots this instance may use."""
        membership = self.membership_by_zone.get(zone)
        if self.sends_stopped or membership is None:
            return 0
        return membership.lease.slots_allowed(leaf_id, slots, now, work_s)

    def _heartbeat(
        self, now: float, config: ConfigVersions, sequence: int, echo: int
    ) -> Heartbeat:
        gone: dict[str, GoneProof] = {}
        for membership in self.membership_by_zone.values():
            for proof in membership.lease.gone:
                gone[proof.incarnation] = proof
        if self.sends_stopped:
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
            roster_version_by_zone=self._roster_versions(sequence, echo),
            gone=tuple(gone.values()),
            suspects=tuple(member.incarnation for member in suspects),
        )

    def _roster_versions(self, sequence: int, echo: int) -> dict[str, int]:
        """Return the roster versions that the heartbeat carries.

        These are the versions of all zones in every
        ``ALL_ZONES_HEARTBEAT_PERIOD``-th heartbeat and in the reply to it,
        and the version of the own zone otherwise.
        """
        if (echo or sequence) % ALL_ZONES_HEARTBEAT_PERIOD:
            zones = [self.me.zone]
        else:
            zones = list(self.membership_by_zone)
        return {zone: self.lease(zone).version for zone in zones}

    def _current_max_work_s(self, leaf_id: str) -> float:
        return self.max_work_s(leaf_id)

    def relevant_memberships(self) -> list[ZoneMembership]:
        """Return the zones to whose leaves this instance may send or has sent.

        A previous member keeps reporting that it has no work there any more.
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
            if lease.is_valid(now):
                age_s = _round_up_to_ms(max(0.0, now - lease.confirmed_at))
            settled = {}
            if lease.roster.history:
                settled = dict(lease.settled_by_incarnation)
            yield ZoneView(
                membership.zone, lease.roster.generation, age_s, settled
            )

    def _apply_view(self, view: ZoneView, echo: int) -> None:
        membership = self.membership_by_zone.get(view.zone)
        if membership is None:
            return
        lease = membership.lease
        for incarnation, generation in view.settled_by_incarnation.items():
            if incarnation != self.me.incarnation:
                lease.record_settled(incarnation, generation)
        sent_at = self._find_sent_at(echo)
        if view.confirmed_age_s is not None and sent_at is not None:
            confirmed_at = sent_at - max(0.0, view.confirmed_age_s)
            lease.record_confirmation(view.generation, confirmed_at)

    def _find_sent_at(self, echo: int) -> float | None:
        for sequence, sent_at in self._sent_at:
            if sequence == echo:
                return sent_at
        return None

    def _newer_zones(self, heartbeat: Heartbeat) -> tuple[str, ...]:
        return tuple(
            zone
            for zone, version in heartbeat.roster_version_by_zone.items()
            if version > self._roster_version(zone)
        )

    def _roster_version(self, zone: str) -> int:
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


def _round_up_to_ms(seconds: float) -> float:
    """Round up to whole milliseconds, to keep messages short."""
    return ceil(seconds * 1000) / 1000
