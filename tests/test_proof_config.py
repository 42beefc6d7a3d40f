"""End-to-end tests of configuration and zones, with real processes.

They check the configuration status of each instance, the platform's chain of
edits and the records of the leaves.
"""

import asyncio
import signal
from dataclasses import replace

from heatherdyke.config.commands import apply_section
from heatherdyke.config.commands import change_zone_state
from heatherdyke.config.commands import show_document
from heatherdyke.config.model import UrgencyConfig
from heatherdyke.config.rollout import fetch_status
from heatherdyke.config.zone_state import ZoneStatus
from heatherdyke.errors import EditConflict
from heatherdyke.errors import TransportError
from heatherdyke.standin.free_address import free_address
from heatherdyke.standin.platform import PlatformFaults
from heatherdyke_bench.admin_client import set_faults
from heatherdyke_bench.config_delay import TEAM
from heatherdyke_bench.config_delay import ZONES
from heatherdyke_bench.config_delay import apply_test_edit
from heatherdyke_bench.config_delay import measure_last_new_work_s
from heatherdyke_bench.config_delay import start_fleet
from heatherdyke_bench.config_delay import wait_for_version
from heatherdyke_bench.fleet import PEER_KEY
from heatherdyke_bench.process import FleetProcess
from tests.small_fleet import wait_until

ZONE_OUT_LIMIT_S = 3.0
PAUSE_S = 3.0
SLOW_MS = 400.0
SLOW_LIMIT_S = 5.0
NOTHING_LISTENS = "127.0.0.1:9"


async def start_cut_off(fleet, directory, zone):
    """Start an instance that can reach its peers but not the platform."""
    peers = ",".join(p.address for p in fleet.instance_by_name.values())
    address = free_address()
    caller_address = free_address()
    process = FleetProcess(
        "cut-off",
        [
            "heatherdyke",
            "serve",
            "--name=cut-off",
            f"--zone={zone}",
            f"--listen={caller_address}",
            f"--internal-listen={address}",
            f"--peer-key={PEER_KEY}",
            f"--platform={NOTHING_LISTENS}",
            f"--peers={peers}",
        ],
        directory / "cut-off.log",
        directory.cwd(),
    )
    await process.start()
    process.address = address
    process.caller_address = caller_address
    await wait_until(lambda: reaches(address))
    return process


async def reaches(address):
    try:
        await fetch_status(address)
    except TransportError:
        return False
    return True


async def version_of(address):
    try:
        return (await fetch_status(address)).config_version
    except TransportError:
        return 0


async def is_out(address, zone):
    return zone in (await fetch_status(address)).zones_out


class TestAcceptedEdits:
    async def race(self, directory):
        async with start_fleet(3, directory) as fleet:
            platform = fleet.platform_client()
            (shown,) = (await show_document(platform, TEAM)).sections
            await set_faults(
                fleet.platform.address, PlatformFaults(lose_replies=4)
            )
            edits = [
                apply_section(
                    fleet.platform_client(),
                    TEAM,
                    replace(
                        shown.section,
                        urgency=shown.section.urgency
                        | {"edited": UrgencyConfig(9, number)},
                    ),
                    f"operator-{number}",
                    base_version=shown.version,
                )
                for number in range(1, 6)
            ]
            results = await asyncio.gather(*edits, return_exceptions=True)
            accepted = [r for r in results if not isinstance(r, Exception)]
            conflicts = [r for r in results if isinstance(r, EditConflict)]
            (now,) = (await show_document(platform, TEAM)).sections
            for process in fleet.instance_by_name.values():
                await wait_for_version(process.address, now.version)
        return accepted, conflicts, now

    def test_exactly_one_racing_edit_wins_when_replies_are_lost(
        self, tmp_path
    ):
        accepted, conflicts, now = asyncio.run(self.race(tmp_path))
        assert [a.edit for a in accepted] == [now.edit]
        assert len(conflicts) == 4
        assert {c.editor for c in conflicts} == {now.editor}

    async def outlast_outage(self, directory):
        async with start_fleet(3, directory) as fleet:
            version = await apply_test_edit(fleet, 1)
            first, *_ = fleet.instance_by_name.values()
            await wait_for_version(first.address, version)
            await set_faults(
                fleet.platform.address, PlatformFaults(outage=True)
            )
            started = await start_cut_off(fleet, directory, ZONES[0])
            try:
                await wait_for_version(started.address, version)
                await set_faults(fleet.platform.address, PlatformFaults())
                later = await apply_test_edit(fleet, 2)
                async with asyncio.timeout(ZONE_OUT_LIMIT_S):
                    await wait_for_version(started.address, later)
            finally:
                await started.stop(signal.SIGKILL)

    def test_new_instance_gets_edits_from_peers_in_an_outage(self, tmp_path):
        asyncio.run(self.outlast_outage(tmp_path))

    async def edit_slowly(self, directory):
        async with start_fleet(3, directory) as fleet:
            await set_faults(
                fleet.platform.address,
                PlatformFaults(delay_ms=SLOW_MS, lose_replies=2),
            )
            version = await apply_test_edit(fleet, 1)
            async with asyncio.timeout(SLOW_LIMIT_S):
                for process in fleet.instance_by_name.values():
                    await wait_for_version(process.address, version)

    def test_slow_platform_delays_edits_by_a_few_calls(self, tmp_path):
        asyncio.run(self.edit_slowly(tmp_path))

    async def resume_after_edit(self, directory):
        async with start_fleet(3, directory) as fleet:
            paused, *others = fleet.instance_by_name.values()
            paused.send_signal(signal.SIGSTOP)
            version = await apply_test_edit(fleet, 1)
            for process in others:
                await wait_for_version(process.address, version)
            await asyncio.sleep(PAUSE_S)
            paused.send_signal(signal.SIGCONT)
            async with asyncio.timeout(ZONE_OUT_LIMIT_S):
                await wait_for_version(paused.address, version)
            for process in others:
                assert await version_of(process.address) >= version

    def test_paused_instance_catches_up_and_reverts_no_other(self, tmp_path):
        asyncio.run(self.resume_after_edit(tmp_path))


class TestZoneOut:
    async def take_out(self, directory, disable):
        async with start_fleet(6, directory, disable) as fleet:
            return await measure_last_new_work_s(fleet, ZONES[0])

    def test_new_work_continues_without_the_mechanism(self, tmp_path):
        last_s = asyncio.run(self.take_out(tmp_path, "zone-out"))
        assert last_s > ZONE_OUT_LIMIT_S

    def test_new_work_stops_within_the_limit(self, tmp_path):
        assert asyncio.run(self.take_out(tmp_path, "")) < ZONE_OUT_LIMIT_S

    async def reach_cut_off(self, directory):
        async with start_fleet(3, directory) as fleet:
            process = await start_cut_off(fleet, directory, ZONES[1])
            try:
                platform = fleet.platform_client()
                await wait_until(lambda: version_of(process.address))
                await change_zone_state(
                    platform, ZONES[0], ZoneStatus.OUT, "operator"
                )
                await wait_until(
                    lambda: is_out(process.address, ZONES[0]),
                    ZONE_OUT_LIMIT_S,
                )
            finally:
                await process.stop(signal.SIGKILL)

    def test_reaches_an_instance_cut_off_from_the_platform(self, tmp_path):
        asyncio.run(self.reach_cut_off(tmp_path))
