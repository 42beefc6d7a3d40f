"""Reads and changes the rosters on the platform, at a limited rate."""

import asyncio
from collections.abc import Callable

import msgspec

from heatherdyke.clock import Clock
from heatherdyke.config.model import ROSTER_PREFIX
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import VersionConflict
from heatherdyke.membership.core import MembershipCore
from heatherdyke.membership.messages import Roster
from heatherdyke.membership.messages import VersionedRoster
from heatherdyke.membership.zone_membership import ZoneMembership
from heatherdyke.objects.client import ObjectClient
from heatherdyke.objects.client import convert_value
from heatherdyke.observe.events import ROSTER_CHANGED
from heatherdyke.observe.journal import Journal

MIN_CHANGE_INTERVAL_S = 0.5
LIST_INTERVAL_S = 2.0
MEMBERS_PER_LIST_INTERVAL = 16


class RosterTask:
    """Confirms the rosters of the relevant zones and writes changes.

    The zone's reader confirms a roster at each interval, another instance
    only when its own confirmation is older than half the lease.
    ``zones_in_use`` returns the zones with leaves; this instance may take
    over those without an instance.  It is set before the task runs.
    """

    def __init__(
        self,
        core: MembershipCore,
        platform: ObjectClient,
        journal: Journal,
        clock: Clock,
        interval_s: float,
        lease_s: float,
    ) -> None:
        self._core = core
        self._platform = platform
        self._journal = journal
        self._clock = clock
        self._interval_s = interval_s
        self._lease_s = lease_s
        self.zones_in_use: Callable[[], set[str]] = set
        self._wake = asyncio.Event()
        self._changed_at = float("-inf")
        self._listed_at = float("-inf")

    def wake(self) -> None:
        """Run the next pass now instead of at the next interval."""
        self._wake.set()

    async def run(self) -> None:
        """Read and change rosters until cancelled."""
        while True:
            self._wake.clear()
            try:
                async with asyncio.timeout(self._lease_s):
                    await self._run_pass()
            except (PlatformUnavailable, TimeoutError, msgspec.DecodeError):
                pass
            try:
                async with asyncio.timeout(self._interval_s):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _run_pass(self) -> None:
        now = self._clock.now()
        self._core.update_failover(self.zones_in_use(), now)
        own = self._core.membership(self._core.me.zone)
        if now - self._listed_at >= self._roster_list_interval_s() and (
            own.is_reader() or not own.lease.version
        ):
            await self._list_rosters()
        for zone in self._zones_to_read():
            await self._read_roster(zone)
            await self._change_roster(zone)

    def _zones_to_read(self) -> list[str]:
        now = self._clock.now()
        zones = []
        for zone, membership in self._core.membership_by_zone.items():
            if not self._is_relevant(zone, membership):
                continue
            age_s = now - membership.lease.confirmed_at
            if membership.is_reader() or age_s > self._lease_s / 2:
                zones.append(zone)
        return zones

    def _is_relevant(self, zone: str, membership: ZoneMembership) -> bool:
        if zone == self._core.me.zone or membership.is_member:
            return True
        if membership.was_member:
            return True
        return membership.may_fail_over and membership.needs_failover

    def _roster_list_interval_s(self) -> float:
        """Return the interval between lists of the roster objects.

        It grows with the members of all zones.  Between two lists the zones'
        readers notify each other of changes.
        """
        count = len(self._core.members())
        return LIST_INTERVAL_S * max(1.0, count / MEMBERS_PER_LIST_INTERVAL)

    async def _list_rosters(self) -> None:
        for stored in await self._platform.list(ROSTER_PREFIX):
            try:
                roster = convert_value(stored, Roster)
            except msgspec.ValidationError:
                continue
            self._apply_roster(VersionedRoster(stored.version, roster))
        self._listed_at = self._clock.now()

    async def _read_roster(self, zone: str) -> None:
        """Confirm the roster, transferring it only if it is newer."""
        requested_at = self._clock.now()
        key = ROSTER_PREFIX + zone
        lease = self._core.lease(zone)
        known = lease.version, lease.roster.generation
        if lease.version:
            stored = await self._platform.watch(key, lease.version, 0.0)
        else:
            stored = await self._platform.get(key)
        if stored is not None:
            versioned = VersionedRoster(
                stored.version, convert_value(stored, Roster)
            )
            self._apply_roster(versioned)
            known = versioned.version, versioned.roster.generation
        if known[0] == lease.version:
            self._core.record_confirmation(zone, known[1], requested_at)

    async def _change_roster(self, zone: str) -> None:
        now = self._clock.now()
        membership = self._core.membership(zone)
        if not membership.is_reader():
            return
        if now - self._changed_at < MIN_CHANGE_INTERVAL_S:
            return
        roster = membership.propose(now)
        if roster is None:
            return
        version = membership.lease.version
        self._changed_at = now
        try:
            version = await self._platform.put(
                ROSTER_PREFIX + zone, roster, version
            )
        except VersionConflict:
            self._wake.set()
            return
        self._apply_roster(VersionedRoster(version, roster))
        self._core.record_confirmation(zone, roster.generation, now)

    def _apply_roster(self, versioned: VersionedRoster) -> None:
        lease = self._core.lease(versioned.roster.zone)
        before = lease.roster
        if not self._core.apply_roster(versioned, self._clock.now()):
            return
        after = lease.roster
        if before.members == after.members:
            return
        self._journal.record(
            ROSTER_CHANGED,
            zone=after.zone,
            generation=after.generation,
            joined=[m.name for m in after.members if m not in before.members],
            left=[m.name for m in before.members if m not in after.members],
        )
