"""The component that runs an instance's membership over UDP and HTTP.

Heartbeats are sent over UDP, to the port number that the instance also uses
for TCP.  ``MembershipCore`` takes the decisions; this task owns the socket
and the timing.
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
from heatherdyke.membership.core import ALL_ZONES_HEARTBEAT_PERIOD
from heatherdyke.membership.core import ConfigVersions
from heatherdyke.membership.core import MembershipCore
from heatherdyke.membership.home_lease import LeaseTiming
from heatherdyke.membership.messages import GoneProof
from heatherdyke.membership.messages import Heartbeat
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import VersionedRoster
from heatherdyke.membership.probe import fetch_roster
from heatherdyke.membership.probe import probe
from heatherdyke.membership.roster_task import RosterTask
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import add_route
from heatherdyke.net.udp_endpoint import UdpEndpoint
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.events import HOMES_RELEASED
from heatherdyke.observe.events import INVALID_HEARTBEAT
from heatherdyke.observe.events import LEASE_CONFIRMED
from heatherdyke.observe.events import LEASE_LAPSED
from heatherdyke.observe.events import MEMBER_GONE
from heatherdyke.observe.events import MEMBER_SUSPECTED
from heatherdyke.observe.journal import Journal
from heatherdyke.peers.fetcher import PeerFetcher
from heatherdyke.settings import Settings

RELEASE_TIMEOUT_LEASES = 2
FINAL_HEARTBEATS = 3


class ConfigVersionTracker(Protocol):
    """Knows the active configuration versions here and at the peers."""

    def digest(self) -> ConfigDigest:
        """Return the active versions of this instance."""

    def on_peer_digest(self, peer_address: str, digest: ConfigDigest) -> None:
        """Record the active versions of a peer."""


class MembershipTask:
    """Tracks the members and how many slots of each leaf may be used here.

    ``busy_leaves`` returns the ids of the leaves at which this instance has
    work.  It is set before the task runs.
    """

    def __init__(
        self,
        settings: Settings,
        platform: ObjectClient,
        journal: Journal,
        clock: Clock,
        timing: LeaseTiming,
    ) -> None:
        self.incarnation = uuid4().hex[:12]
        self.busy_leaves: Callable[[], set[str]] = set
        self.config: ConfigVersionTracker | None = None
        self._settings = settings
        self._journal = journal
        self._fetcher = PeerFetcher(settings.peer_key)
        self._clock = clock
        self._me = Member(
            settings.name, settings.zone, settings.address, self.incarnation
        )
        self.core = MembershipCore(
            self._me,
            settings.heartbeat_interval_s,
            timing,
            enforce=settings.is_enabled(Mechanism.HOME_LEASE),
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
        self._was_valid = False
        self._running_names: set[str] = set()
        self._suspected: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        platform: ObjectClient,
        journal: Journal,
        clock: Clock,
    ) -> "MembershipTask":
        """Return a task that is not running yet."""
        timing = LeaseTiming(lease_s=settings.lease_s)
        return cls(settings, platform, journal, clock, timing)

    # Queries

    def members(self) -> list[Member]:
        """Return the members of all zones that are not known to be gone."""
        return self.core.members()

    def home_of(self, leaf_id: str, zone: str) -> Member | None:
        """Return the home of the zone's leaf, or None without live members."""
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
        """Return how many of the leaf's slots this instance may use.

        Call this immediately before each send.  ``work_s`` is the longest
        time that the work to be sent may take.
        """
        zone = zone or self._me.zone
        allowed = self.core.slots_allowed(
            leaf_id, zone, slots, self._clock.now(), work_s
        )
        if allowed:
            self.core.record_send(leaf_id, zone)
        return allowed

    # Commands

    def record_connection_refused(self, member: Member) -> None:
        """Record a refused TCP connection, which proves a member gone."""
        self._record_gone(GoneProof(member.incarnation), "refused")

    def refresh_roster(self, zone: str, address: str) -> None:
        """Fetch the zone's roster from a member that is no longer the home."""
        self._start(f"refresh {zone}", self._fetch_roster(address, zone))

    def add_routes(self, apps: Applications) -> None:
        """Add the routes that serve rosters and the incarnation to peers."""
        add_route(apps.internal, "GET", "/peer/member", self._serve_member)
        add_route(apps.internal, "GET", "/peer/roster", self._serve_roster)

    async def run(self) -> None:
        """Exchange heartbeats and maintain the rosters until cancelled."""
        self.udp = await UdpEndpoint.open(self._settings.internal_listen)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._receive(self.udp))
                group.create_task(self._tick_forever(self.udp))
                group.create_task(self.rosters.run())
        finally:
            self.udp.close()

    async def release(self) -> None:
        """Request removal from the rosters and wait until the homes moved.

        Gives up after ``RELEASE_TIMEOUT_LEASES``, as the rosters cannot
        change during a platform outage.
        """
        self.core.begin_leaving()
        self.rosters.wake()
        wait_s = RELEASE_TIMEOUT_LEASES * self._settings.lease_s
        until = self._clock.now() + wait_s
        while self._is_in_roster() and self._clock.now() < until:
            await asyncio.sleep(self._settings.heartbeat_interval_s / 10)

    async def stop(self) -> None:
        """Notify peers of this instance's end, if it has no work at leaves."""
        drained = not self.busy_leaves()
        self._journal.record(HOMES_RELEASED, drained=drained)
        if not drained:
            return
        self.core.stop_sends()
        if self.udp is None:
            return
        for _ in range(FINAL_HEARTBEATS):
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
                membership.remove_stale_peers(self._clock.now())
            await asyncio.sleep(self._settings.heartbeat_interval_s)

    def _send_heartbeats(self, udp: UdpEndpoint) -> None:
        self.core.update_busy_leaves(self.busy_leaves(), self._clock.now())
        heartbeat = self.core.next_heartbeat(
            self._clock.now(), self._config_versions()
        )
        payload = self._encode_stamped(heartbeat)
        for membership in self.core.relevant_memberships():
            for target in membership.heartbeat_targets():
                membership.record_heartbeat_sent(target)
                udp.send(target.address, payload)
        for target in self._cross_zone_targets():
            udp.send(target.address, payload)

    def _cross_zone_targets(self) -> list[Member]:
        """Return one member of each other zone, in round-robin order."""
        own = self.core.membership(self._me.zone)
        if self._ticks % ALL_ZONES_HEARTBEAT_PERIOD or not own.is_reader():
            return []
        round_number = self._ticks // ALL_ZONES_HEARTBEAT_PERIOD
        targets = []
        for zone, membership in self.core.membership_by_zone.items():
            members = membership.lease.roster.members
            if zone != self._me.zone and members:
                targets.append(members[round_number % len(members)])
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
            self._handle_heartbeat(heartbeat, udp)

    def _encode_stamped(self, heartbeat: Heartbeat) -> bytes:
        stamped = replace(heartbeat, clock=self._journal.stamp())
        return self._settings.peer_key.seal(encode(stamped))

    def _handle_heartbeat(
        self, heartbeat: Heartbeat, udp: UdpEndpoint
    ) -> None:
        self._journal.observe(heartbeat.clock)
        now = self._clock.now()
        known = {proof.incarnation for proof in self._proofs()}
        self.core.update_busy_leaves(self.busy_leaves(), self._clock.now())
        result = self.core.handle_heartbeat(
            heartbeat, now, self._config_versions()
        )
        for proof in self._proofs():
            if proof.incarnation not in known:
                self._journal.record(
                    MEMBER_GONE, incarnation=proof.incarnation, proof="peer"
                )
        address = heartbeat.sender.address
        if result.reply is not None:
            udp.send(address, self._encode_stamped(result.reply))
        for zone in result.newer_zones:
            self._start(f"roster {zone}", self._fetch_roster(address, zone))
        if result.probe is not None:
            self._start_probe(result.probe)
        if self.config is not None:
            self.config.on_peer_digest(
                address,
                ConfigDigest(
                    heartbeat.config_version, heartbeat.zones_version
                ),
            )

    def _proofs(self) -> tuple[GoneProof, ...]:
        return self.core.lease(self._me.zone).gone

    def _config_versions(self) -> ConfigVersions:
        if self.config is None:
            return ConfigVersions()
        digest = self.config.digest()
        return ConfigVersions(digest.config_version, digest.zones_version)

    # Probes and rosters

    def _probe_suspects(self) -> None:
        for membership in self.core.relevant_memberships():
            for member in membership.suspects():
                self._start_probe(member)

    def _start_probe(self, member: Member) -> None:
        self._start(f"probe {member.incarnation}", self._probe(member))

    async def _probe(self, member: Member) -> None:
        timeout_s = self._settings.heartbeat_interval_s
        result = await probe(self._fetcher, member, timeout_s)
        if result.proof is not None:
            self._record_gone(result.proof, result.detail)
            return
        for membership in self.core.membership_by_zone.values():
            if result.alive:
                membership.record_alive(member.incarnation, self._clock.now())
            else:
                membership.record_probe_failed(member.incarnation)
        if result.alive:
            self._suspected.discard(member.incarnation)
        elif member.incarnation not in self._suspected:
            self._suspected.add(member.incarnation)
            self._journal.record(
                MEMBER_SUSPECTED, member=member.name, zone=member.zone
            )

    def _record_gone(self, proof: GoneProof, evidence: str) -> None:
        if self.core.record_gone(proof, self._clock.now()):
            self._journal.record(
                MEMBER_GONE, incarnation=proof.incarnation, proof=evidence
            )
            self.rosters.wake()

    async def _fetch_roster(self, address: str, zone: str) -> None:
        versioned = await fetch_roster(self._fetcher, address, zone)
        if versioned is not None and versioned.roster.zone == zone:
            self.core.apply_roster(versioned, self._clock.now())

    def _start(self, name: str, coroutine) -> None:
        """Start the coroutine unless one of that name is running."""
        if name in self._running_names:
            coroutine.close()
            return
        self._running_names.add(name)
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)

        def finish(done: asyncio.Task) -> None:
            self._running_names.discard(name)
            self._tasks.discard(done)

        task.add_done_callback(finish)

    def _is_in_roster(self) -> bool:
        return any(
            membership.is_member
            for membership in self.core.membership_by_zone.values()
        )

    def _report_lease(self) -> None:
        lease = self.core.lease(self._me.zone)
        is_valid = lease.is_valid(self._clock.now())
        if is_valid != self._was_valid:
            self._was_valid = is_valid
            self._journal.record(
                LEASE_CONFIRMED if is_valid else LEASE_LAPSED,
                zone=self._me.zone,
                generation=lease.roster.generation,
            )

    # Routes

    async def _serve_member(self, _: Request) -> Response:
        return json_response(self._me)

    async def _serve_roster(self, request: Request) -> Response:
        zone = (request.query.get("zone") or [self._me.zone])[0]
        membership = self.core.membership_by_zone.get(zone)
        if membership is None:
            return Response(404)
        lease = membership.lease
        return json_response(VersionedRoster(lease.version, lease.roster))
