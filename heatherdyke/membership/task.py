"""The component that runs an instance's membership over UDP and HTTP.

Heartbeats travel over UDP on the number of the TCP port.  The decisions are
those of ``member_core``; this task owns the socket and the timing.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol
from uuid import uuid4

import msgspec
from blacksheep import Request
from blacksheep import Response

from heatherdyke.clock import Clock
from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.config.state import ConfigDigest
from heatherdyke.errors import ForgedMessage
from heatherdyke.mechanisms import Mechanism
from heatherdyke.membership.core import ALL_ZONES_EVERY
from heatherdyke.membership.core import ConfigVersions
from heatherdyke.membership.core import MemberCore
from heatherdyke.membership.home_lease import LeaseTerms
from heatherdyke.membership.messages import GoneProof
from heatherdyke.membership.messages import Heartbeat
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import VersionedRoster
from heatherdyke.membership.probe import fetch_roster
from heatherdyke.membership.probe import probe
from heatherdyke.membership.roster_task import RosterTask
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import add_route
from heatherdyke.net.http_support import json_response
from heatherdyke.net.udp_endpoint import UdpEndpoint
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.events import INVALID_HEARTBEAT
from heatherdyke.observe.events import LEASE_CONFIRMED
from heatherdyke.observe.events import LEASE_LAPSED
from heatherdyke.observe.events import MEMBER_GONE
from heatherdyke.observe.events import MEMBER_SUSPECTED
from heatherdyke.observe.events import RELEASED
from heatherdyke.observe.journal import Journal
from heatherdyke.peers.fetch import PeerFetcher
from heatherdyke.settings import Settings

RELEASE_WAIT_LEASES = 2
FAREWELLS = 3


class ConfigPeer(Protocol):
    """What heartbeats carry for the configuration."""

    def digest(self) -> ConfigDigest:
        """Return the versions in force here."""

    def observe(self, peer_address: str, digest: ConfigDigest) -> None:
        """Note the versions that a peer has in force."""


class MemberTask:
    """Knows the members and how much of each leaf this instance may use.

    ``leaves_at_work`` returns the ids of leaves at which this instance has
    work; the instance sets it before the task runs.
    """

    def __init__(
        self,
        settings: Settings,
        platform: ObjectClient,
        journal: Journal,
        clock: Clock,
        terms: LeaseTerms,
    ) -> None:
        self.incarnation = uuid4().hex[:12]
        self.leaves_at_work: Callable[[], set[str]] = set
        self.config: ConfigPeer | None = None
        self._settings = settings
        self._journal = journal
        self._fetcher = PeerFetcher(settings.peer_key)
        self._clock = clock
        self._me = Member(
            settings.name, settings.zone, settings.address, self.incarnation
        )
        self.core = MemberCore(
            self._me,
            settings.heartbeat_interval_s,
            terms,
            guard=settings.is_enabled(Mechanism.HOME_LEASE),
        )
        self.rosters = RosterTask(
            self.core,
            platform,
            journal,
            clock,
            settings.heartbeat_interval_s,
            settings.lease_s,
        )
        self.udp: UdpEndpoint | None = None
        self._ticks = 0
        self._was_fresh = False
        self._busy: set[str] = set()
        self._suspected: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        platform: ObjectClient,
        journal: Journal,
        clock: Clock,
    ) -> "MemberTask":
        """Return a task that is not running yet."""
        terms = LeaseTerms(lease_s=settings.lease_s)
        return cls(settings, platform, journal, clock, terms)

    # Queries

    def members(self) -> list[Member]:
        """Return the members of all zones that are not known gone."""
        return self.core.members()

    def home_of(self, leaf_id: str, zone: str) -> Member | None:
        """Return the home of the zone's leaf; None if no member is known."""
        return self.core.home_of(leaf_id, zone)

    def reader(self) -> Member | None:
        """Return the member that reads the platform for this zone."""
        return self.core.membership(self._me.zone).reader()

    def is_home(self, leaf_id: str, zone: str = "") -> bool:
        """Tell whether this instance is the home of the zone's leaf.

        The instance's own zone is the default.
        """
        home = self.core.home_of(leaf_id, zone or self._me.zone)
        return home is not None and home.incarnation == self.incarnation

    def slots_allowed(
        self, leaf_id: str, slots: int, zone: str = "", work_s: float = 0.0
    ) -> int:
        """Return how many of the leaf's slots may be at work from here.

        Ask immediately before each send.  ``work_s`` is the longest that
        the work to be sent may last.
        """
        zone = zone or self._me.zone
        allowed = self.core.slots_allowed(
            leaf_id, zone, slots, self._clock.now(), work_s
        )
        if allowed:
            self.core.note_busy(leaf_id, zone)
        return allowed

    # Commands

    def note_refused(self, member: Member) -> None:
        """Take a refused TCP connection as proof that a member has ended."""
        self._note_gone(GoneProof(member.incarnation), "refused")

    def refresh(self, zone: str, address: str) -> None:
        """Fetch the zone's roster from a member that is home no more."""
        self._start(f"refresh {zone}", self._fetch(address, zone))

    def add_routes(self, apps: Applications) -> None:
        """Add the routes that peers ask for rosters and incarnations."""
        add_route(apps.internal, "GET", "/peer/member", self._answer_member)
        add_route(apps.internal, "GET", "/peer/roster", self._answer_roster)

    async def run(self) -> None:
        """Exchange heartbeats and keep the roster until cancelled."""
        self.udp = await UdpEndpoint.open(self._settings.internal_listen)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._receive(self.udp))
                group.create_task(self._tick_forever(self.udp))
                group.create_task(self.rosters.run())
        finally:
            self.udp.close()

    async def release(self) -> None:
        """Ask for the homes to move and wait until they have.

        Gives up after some leases; a platform outage may prevent it.
        """
        self.core.begin_leaving()
        self.rosters.wake()
        wait_s = RELEASE_WAIT_LEASES * self._settings.lease_s
        until = self._clock.now() + wait_s
        while self._stands_in_roster() and self._clock.now() < until:
            await asyncio.sleep(self._settings.heartbeat_interval_s / 10)

    async def stop(self) -> None:
        """Tell peers that this instance ends, if no work is at leaves."""
        drained = not self.leaves_at_work()
        self._journal.record(RELEASED, drained=drained)
        if not drained:
            return
        self.core.release()
        if self.udp is None:
            return
        for _ in range(FAREWELLS):
            self._send_heartbeats(self.udp)
            await asyncio.sleep(0)

    # Heartbeats

    async def _tick_forever(self, udp: UdpEndpoint) -> None:
        while True:
            self._ticks += 1
            self._send_heartbeats(udp)
            self._probe_suspects()
            self._report_lease()
            for membership in self.core.membership_by_zone.values():
                membership.forget_absent(self._clock.now())
            await asyncio.sleep(self._settings.heartbeat_interval_s)

    def _send_heartbeats(self, udp: UdpEndpoint) -> None:
        self.core.note_at_work(self.leaves_at_work(), self._clock.now())
        heartbeat = self.core.ask(self._clock.now(), self._versions())
        payload = self._stamped(heartbeat)
        for membership in self.core.concerning():
            for target in membership.targets():
                membership.note_asked(target)
                udp.send(target.address, payload)
        for target in self._cross_zone_targets():
            udp.send(target.address, payload)

    def _cross_zone_targets(self) -> list[Member]:
        """Return one member of each other zone, another one each time."""
        own = self.core.membership(self._me.zone)
        if self._ticks % ALL_ZONES_EVERY or not own.is_reader():
            return []
        turn = self._ticks // ALL_ZONES_EVERY
        targets = []
        for zone, membership in self.core.membership_by_zone.items():
            members = membership.lease.roster.members
            if zone != self._me.zone and members:
                targets.append(members[turn % len(members)])
        return targets

    async def _receive(self, udp: UdpEndpoint) -> None:
        while True:
            datagram = await udp.inbox.get()
            try:
                payload = self._settings.peer_key.open(datagram.payload)
                heartbeat = decode(payload, Heartbeat)
            except (ForgedMessage, msgspec.DecodeError) as error:
                self._journal.record(
                    INVALID_HEARTBEAT,
                    source=datagram.source,
                    detail=str(error),
                )
                continue
            self._hear(heartbeat, udp)

    def _stamped(self, heartbeat: Heartbeat) -> bytes:
        stamped = replace(heartbeat, clock=self._journal.stamp())
        return self._settings.peer_key.seal(encode(stamped))

    def _hear(self, heartbeat: Heartbeat, udp: UdpEndpoint) -> None:
        self._journal.observe(heartbeat.clock)
        now = self._clock.now()
        known = {proof.incarnation for proof in self._proofs()}
        self.core.note_at_work(self.leaves_at_work(), self._clock.now())
        heard = self.core.hear(heartbeat, now, self._versions())
        for proof in self._proofs():
            if proof.incarnation not in known:
                self._journal.record(
                    MEMBER_GONE, incarnation=proof.incarnation, proof="peer"
                )
        address = heartbeat.sender.address
        if heard.reply is not None:
            udp.send(address, self._stamped(heard.reply))
        for zone in heard.newer_zones:
            self._start(f"roster {zone}", self._fetch(address, zone))
        if heard.probe is not None:
            self._start_probe(heard.probe)
        if self.config is not None:
            self.config.observe(
                address,
                ConfigDigest(
                    heartbeat.config_version, heartbeat.zones_version
                ),
            )

    def _proofs(self) -> tuple[GoneProof, ...]:
        return self.core.lease(self._me.zone).gone

    def _versions(self) -> ConfigVersions:
        if self.config is None:
            return ConfigVersions()
        digest = self.config.digest()
        return ConfigVersions(digest.config_version, digest.zones_version)

    # Probes and rosters

    def _probe_suspects(self) -> None:
        for membership in self.core.concerning():
            for member in membership.suspects():
                self._start_probe(member)

    def _start_probe(self, member: Member) -> None:
        self._start(f"probe {member.incarnation}", self._probe(member))

    async def _probe(self, member: Member) -> None:
        timeout_s = self._settings.heartbeat_interval_s
        answer = await probe(self._fetcher, member, timeout_s)
        if answer.proof is not None:
            self._note_gone(answer.proof, answer.detail)
            return
        for membership in self.core.membership_by_zone.values():
            if answer.alive:
                membership.note_alive(member.incarnation, self._clock.now())
            else:
                membership.note_probe_failed(member.incarnation)
        if answer.alive:
            self._suspected.discard(member.incarnation)
        elif member.incarnation not in self._suspected:
            self._suspected.add(member.incarnation)
            self._journal.record(
                MEMBER_SUSPECTED, member=member.name, zone=member.zone
            )

    def _note_gone(self, proof: GoneProof, how: str) -> None:
        if self.core.note_gone(proof, self._clock.now()):
            self._journal.record(
                MEMBER_GONE, incarnation=proof.incarnation, proof=how
            )
            self.rosters.wake()

    async def _fetch(self, address: str, zone: str) -> None:
        versioned = await fetch_roster(self._fetcher, address, zone)
        if versioned is not None and versioned.roster.zone == zone:
            self.core.adopt(versioned, self._clock.now())

    def _start(self, name: str, work) -> None:
        """Run ``work`` unless work of that name runs already."""
        if name in self._busy:
            work.close()
            return
        self._busy.add(name)
        task = asyncio.create_task(work)
        self._tasks.add(task)

        def finish(done: asyncio.Task) -> None:
            self._busy.discard(name)
            self._tasks.discard(done)

        task.add_done_callback(finish)

    def _stands_in_roster(self) -> bool:
        return any(
            membership.is_member
            for membership in self.core.membership_by_zone.values()
        )

    def _report_lease(self) -> None:
        lease = self.core.lease(self._me.zone)
        fresh = lease.is_fresh(self._clock.now())
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            self._journal.record(
                LEASE_CONFIRMED if fresh else LEASE_LAPSED,
                zone=self._me.zone,
                generation=lease.roster.generation,
            )

    # Routes

    async def _answer_member(self, _: Request) -> Response:
        return json_response(self._me)

    async def _answer_roster(self, request: Request) -> Response:
        zone = (request.query.get("zone") or [self._me.zone])[0]
        membership = self.core.membership_by_zone.get(zone)
        if membership is None:
            return Response(404)
        lease = membership.lease
        return json_response(VersionedRoster(lease.version, lease.roster))
