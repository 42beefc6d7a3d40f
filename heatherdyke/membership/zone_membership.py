"""Heartbeat targets, failure detection and roster proposals of one zone.

There is no I/O here.  A member becomes suspect after a number of heartbeats
without a reply.  Heartbeats are counted instead of time, so that an instance
that was paused itself suspects no member when it resumes.
"""

from dataclasses import dataclass

from heatherdyke.membership.home_lease import HomeLease
from heatherdyke.membership.messages import Heartbeat
from heatherdyke.membership.messages import LifecycleState
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import Roster
from heatherdyke.membership.roster import prune_history
from heatherdyke.membership.roster import replace_members

UNANSWERED_TO_SUSPECT = 3
FULL_MESH_MEMBERS = 6
TREE_FANOUT = 6
RING_SUCCESSORS = 1
RECENT_HEARTBEAT_INTERVALS = 4
FAILOVER_DELAY_S = 3.0


@dataclass(slots=True)
class _Peer:
    """The health of one incarnation as seen from this instance."""

    member: Member
    state: LifecycleState
    last_seen_at: float = float("-inf")
    unanswered: int = 0
    probe_failed: bool = False
    suspected_by_other: bool = False


class ZoneMembership:
    """One instance's view of the peers that are relevant to one zone."""

    def __init__(
        self, me: Member, zone: str, lease: HomeLease, interval_s: float
    ) -> None:
        self.me = me
        self.zone = zone
        self.lease = lease
        self.interval_s = interval_s
        self.leaving = False
        self.may_fail_over = False
        self._empty_since: float | None = None
        self._peer_by_incarnation: dict[str, _Peer] = {}

    # Commands

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record the sender as alive, and the members that it suspects."""
        sender = heartbeat.sender
        peer = self._peer(sender)
        peer.state = heartbeat.state
        self.record_alive(sender.incarnation, now)
        for incarnation in heartbeat.suspects:
            suspect = self._peer_by_incarnation.get(incarnation)
            if suspect is not None:
                suspect.suspected_by_other = True

    def update_failover(self, is_reader: bool, now: float) -> None:
        """Update whether this instance may take over an empty zone.

        It waits for ``FAILOVER_DELAY_S``, because no takeover is needed if
        an instance restarts within that time.
        """
        if not self.needs_failover:
            self._empty_since = None
        elif self._empty_since is None:
            self._empty_since = now
        self.may_fail_over = (
            is_reader
            and self._empty_since is not None
            and now - self._empty_since >= FAILOVER_DELAY_S
        )

    def record_heartbeat_sent(self, member: Member) -> None:
        """Record that a heartbeat was sent that requests a reply."""
        self._peer(member).unanswered += 1

    def record_alive(self, incarnation: str, now: float) -> None:
        """Record a heartbeat or a probe response of the incarnation."""
        peer = self._peer_by_incarnation.get(incarnation)
        if peer is not None:
            peer.last_seen_at = now
            peer.unanswered = 0
            peer.probe_failed = False
            peer.suspected_by_other = False

    def record_probe_failed(self, incarnation: str) -> None:
        """Record that a probe of a suspect got no response and no proof."""
        peer = self._peer_by_incarnation.get(incarnation)
        if peer is not None:
            peer.probe_failed = True

    def remove_stale_peers(self, now: float) -> None:
        """Remove peers that are no members and were not seen recently."""
        listed = {member.incarnation for member in self.lease.roster.members}
        self._peer_by_incarnation = {
            incarnation: peer
            for incarnation, peer in self._peer_by_incarnation.items()
            if incarnation in listed or self._seen_recently(peer, now)
        }

    # Queries

    @property
    def is_member(self) -> bool:
        """Tell whether this instance is in the roster."""
        return self.me in self.lease.roster.members

    @property
    def needs_failover(self) -> bool:
        """Tell whether no instance remains to be home of the zone's leaves.

        A member that is only suspected counts as remaining, because it may
        still serve while the network between it and this instance is cut.
        """
        return all(
            self.lease.is_gone(member.incarnation)
            for member in self.lease.roster.members
        )

    @property
    def was_member(self) -> bool:
        """Tell whether this instance is in a previous generation."""
        return any(
            self.me in previous.members
            for previous in self.lease.roster.history
        )

    def heartbeat_targets(self) -> list[Member]:
        """Return the members to send a heartbeat that requests a reply.

        In a small zone these are all other members.  In a larger one they
        are the parent in a tree of the members, the successors in a ring and
        the members that others suspect.
        """
        others = [
            member
            for member in self.lease.roster.members
            if member.incarnation != self.me.incarnation
            and not self.lease.is_gone(member.incarnation)
        ]
        if len(others) < FULL_MESH_MEMBERS or not self.is_member:
            return others[:FULL_MESH_MEMBERS]
        chosen = {
            member.incarnation for member in self._parent_and_successors()
        }
        return [
            member
            for member in others
            if member.incarnation in chosen
            or self._suspected_by_other(member.incarnation)
        ]

    def suspects(self) -> list[Member]:
        """Return the members that do not reply to heartbeats."""
        return [
            member
            for member in self.lease.roster.members
            if self._is_suspect(member.incarnation)
            and not self.lease.is_gone(member.incarnation)
        ]

    def is_reader(self) -> bool:
        """Tell whether this instance reads and changes the roster.

        If no member can be the reader, this instance acts as the reader.
        """
        reader = self.reader()
        return reader is None or reader.incarnation == self.me.incarnation

    def reader(self) -> Member | None:
        """Return the first member that is neither gone nor suspected."""
        for member in self.lease.roster.members:
            if member.incarnation == self.me.incarnation:
                return member
            if self.lease.is_gone(member.incarnation):
                continue
            if not self._is_suspect(member.incarnation):
                return member
        return None

    def propose(self, now: float) -> Roster | None:
        """Return the desired roster, or None if nothing has to change."""
        roster = replace_members(
            self.lease.roster, self._joining(now), self._leaving()
        )
        roster = prune_history(
            roster,
            lambda incarnation, generation: self._has_ended(
                incarnation, generation, now
            ),
        )
        return None if roster == self.lease.roster else roster

    # Private methods

    def _has_ended(
        self, incarnation: str, generation: int, now: float
    ) -> bool:
        if incarnation == self.me.incarnation:
            own = self.lease.settled_by_incarnation.get(incarnation, 0)
            return own > generation
        return self.lease.has_ended(incarnation, generation, now)

    def _parent_and_successors(self) -> list[Member]:
        """Return the parent in the tree and the successors in the ring.

        A suspected parent is replaced by its nearest ancestor that is not
        suspected, or by the root.  The root is its own parent.
        """
        members = self.lease.roster.members
        index = members.index(self.me)
        chosen = [members[0]]
        parent = (index - 1) // TREE_FANOUT
        while parent > 0 and self._is_suspect(members[parent].incarnation):
            parent = (parent - 1) // TREE_FANOUT
        if index > 0:
            chosen = [members[max(parent, 0)]]
        for step in range(1, RING_SUCCESSORS + 1):
            chosen.append(members[(index + step) % len(members)])
        return chosen

    def _joining(self, now: float) -> list[Member]:
        joining = [
            peer.member
            for peer in self._peer_by_incarnation.values()
            if peer.member.zone == self.zone
            and peer.state is LifecycleState.SERVING
            and self._seen_recently(peer, now)
            and not self.lease.is_gone(peer.member.incarnation)
        ]
        if not self.leaving and self._should_join(joining):
            joining.append(self.me)
        candidates = [
            member for member in joining if self._is_name_free(member)
        ]
        return sorted(candidates, key=lambda member: member.name)

    def _should_join(self, joining: list[Member]) -> bool:
        """Tell whether this instance should be in the roster.

        An instance of another zone should be in it only while the zone has
        no instance of its own.
        """
        if self.me.zone == self.zone:
            return True
        if joining or self._has_own_instance():
            return False
        return self.is_member or (self.may_fail_over and self.needs_failover)

    def _has_own_instance(self) -> bool:
        return any(
            member.zone == self.zone and not self._should_leave(member)
            for member in self.lease.roster.members
        )

    def _is_name_free(self, joining: Member) -> bool:
        """Tell whether no live member of the roster has the same name."""
        for member in self.lease.roster.members:
            if member.name == joining.name:
                return member != joining and self._should_leave(member)
        return True

    def _leaving(self) -> list[str]:
        return [
            member.incarnation
            for member in self.lease.roster.members
            if self._should_leave(member)
        ]

    def _should_leave(self, member: Member) -> bool:
        if member.incarnation == self.me.incarnation:
            return self.leaving or self._should_fail_back()
        if self.lease.is_gone(member.incarnation):
            return True
        peer = self._peer_by_incarnation.get(member.incarnation)
        if peer is None:
            return False
        if peer.state is LifecycleState.LEAVING:
            return True
        return peer.probe_failed and self._is_suspect(member.incarnation)

    def _should_fail_back(self) -> bool:
        """Tell whether the zone taken over has its own instance again."""
        return self.me.zone != self.zone and self._has_own_instance()

    def _is_suspect(self, incarnation: str) -> bool:
        peer = self._peer_by_incarnation.get(incarnation)
        return peer is not None and peer.unanswered >= UNANSWERED_TO_SUSPECT

    def _suspected_by_other(self, incarnation: str) -> bool:
        peer = self._peer_by_incarnation.get(incarnation)
        return peer is not None and peer.suspected_by_other

    def _seen_recently(self, peer: _Peer, now: float) -> bool:
        return (
            now - peer.last_seen_at
            <= RECENT_HEARTBEAT_INTERVALS * self.interval_s
        )

    def _peer(self, member: Member) -> _Peer:
        peer = self._peer_by_incarnation.get(member.incarnation)
        if peer is None:
            peer = _Peer(member, LifecycleState.SERVING)
            self._peer_by_incarnation[member.incarnation] = peer
        return peer
