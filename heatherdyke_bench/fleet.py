"""Starts and stops the processes of a run: platform, leaves, instances."""

import asyncio
import signal
from dataclasses import dataclass
from dataclasses import replace
from pathlib import Path

import msgspec

from heatherdyke.codec import encode
from heatherdyke.config.model import HEAD_KEY
from heatherdyke.config.model import SECTION_PREFIX
from heatherdyke.config.model import SNAPSHOTS_PREFIX
from heatherdyke.config.model import ConfigHead
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import SectionPointer
from heatherdyke.config.model import StoredSection
from heatherdyke.errors import TransportError
from heatherdyke.messages import IndexSnapshots
from heatherdyke.messages import InstanceKind
from heatherdyke.messages import ListedInstance
from heatherdyke.objects.client import ObjectClient
from heatherdyke.standin.announcer import ANNOUNCE_INTERVAL_S
from heatherdyke.standin.announcer import announce_once
from heatherdyke.standin.free_address import free_address
from heatherdyke.standin.leaf_model import LeafProfile
from heatherdyke.standin.leaf_model import LeafRecord
from heatherdyke.standin.platform import PlatformRecord
from heatherdyke_bench.admin_client import is_ready
from heatherdyke_bench.admin_client import read_record
from heatherdyke_bench.admin_client import set_faults
from heatherdyke_bench.deployments import Deployment
from heatherdyke_bench.errors import FleetError
from heatherdyke_bench.process import FleetProcess
from heatherdyke_bench.zone_network import ZoneNetwork

READY_TIMEOUT_S = 40.0
READY_POLL_INTERVAL_S = 0.1
MAX_CONCURRENT_STARTS = 12
FIRST_SNAPSHOT = 1
PEER_KEY = "peer key of bench fleets"


@dataclass(frozen=True, slots=True)
class Policy:
    """What a run tests: a source tree and its disabled mechanisms.

    ``disable`` lists the mechanisms by name, separated by commas.
    """

    name: str
    disable: str = ""
    tree: str = "."


class Fleet:
    """All processes of one run of one deployment."""

    def __init__(
        self,
        deployment: Deployment,
        profiles: list[LeafProfile],
        policy: Policy,
        directory: Path,
        proxied: bool = False,
    ) -> None:
        self.network = ZoneNetwork(deployment, proxied)
        self.deployment = deployment
        self.policy = policy
        self.profile_by_leaf = {p.leaf: p for p in profiles}
        self.leaf_by_name: dict[str, FleetProcess] = {}
        self.instance_by_name: dict[str, FleetProcess] = {}
        self._directory = directory
        self._tree = Path(policy.tree).resolve()
        self._start_semaphore = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        self.proxy_process: FleetProcess | None = None
        self._announcer: asyncio.Task | None = None
        self._platform_client: ObjectClient | None = None
        self.platform = self._process(
            "platform",
            ["heatherdyke.cli.standin", "platform", "--listen=127.0.0.1:0"],
        )

    async def start(self) -> None:
        """Start everything and wait until all instances are ready."""
        await self._start_standin(self.platform)
        await asyncio.gather(
            *(self._start_leaf(p) for p in self.profile_by_leaf.values())
        )
        for name, zone in self.deployment.zone_by_instance.items():
            self._add_instance(name, zone)
        await self._start_proxy()
        await self._write_configuration()
        self._announcer = asyncio.create_task(self._announce_instances())
        await asyncio.gather(
            *(self.start_instance(n) for n in self.instance_by_name)
        )

    async def stop(self) -> None:
        """Stop all processes that this fleet started."""
        if self._announcer is not None:
            self._announcer.cancel()
        if self._platform_client is not None:
            self._platform_client.close()
        instances = list(self.instance_by_name.values())
        others = [*self.leaf_by_name.values(), self.platform]
        if self.proxy_process is not None:
            others.append(self.proxy_process)
        await asyncio.gather(*(p.stop(signal.SIGKILL) for p in instances))
        await asyncio.gather(*(p.stop() for p in others))

    async def partition_zone(self, zone: str) -> None:
        """Drop traffic between a zone and other zones or the platform."""
        faults = self.network.partition_zone(zone)
        await set_faults(self.proxy_process.address, faults)

    async def heal_network(self) -> None:
        """End all network partitions."""
        faults = self.network.heal()
        await set_faults(self.proxy_process.address, faults)

    async def start_instance(self, name: str) -> None:
        """Start an instance and wait until it is ready."""
        process = self.find_instance(name)
        async with self._start_semaphore:
            await process.start()
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await _passes_ready_check(process.address):
                    await asyncio.sleep(READY_POLL_INTERVAL_S)
        except TimeoutError as error:
            raise FleetError(
                f"instance {name} was not ready after {READY_TIMEOUT_S:g} s",
                "read its log",
            ) from error

    def find_instance(self, name: str) -> FleetProcess:
        """Return the instance's process; raises FleetError."""
        if name not in self.instance_by_name:
            known = ", ".join(self.instance_by_name)
            raise FleetError(f"no instance {name!r}", f"use one of {known}")
        return self.instance_by_name[name]

    async def leaf_records(self) -> dict[str, LeafRecord]:
        """Return the leaves' records by leaf."""
        leaves = list(self.leaf_by_name)
        records = await asyncio.gather(
            *(
                read_record(self.leaf_by_name[leaf].address, LeafRecord)
                for leaf in leaves
            )
        )
        return dict(zip(leaves, records, strict=True))

    async def platform_record(self) -> PlatformRecord:
        """Return the platform's counters."""
        return await read_record(self.platform.address, PlatformRecord)

    def platform_client(self) -> ObjectClient:
        """Return the client of the started platform; ``stop`` closes it."""
        if self._platform_client is None:
            self._platform_client = ObjectClient(self.platform.address)
        return self._platform_client

    async def leaf_addresses(self) -> dict[str, str]:
        """Return, by leaf, the address at which instances reach it."""
        return {
            leaf: self.network.address_of_leaf(leaf, process.address)
            for leaf, process in self.leaf_by_name.items()
        }

    async def _announce_instances(self) -> None:
        """Keep the running instances in the platform's instance list."""
        platform = self.platform_client()
        while True:
            for name, zone in self.deployment.zone_by_instance.items():
                if self.instance_by_name[name].running:
                    await announce_once(
                        platform, self._listed_instance(name, zone)
                    )
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _listed_instance(self, name: str, zone: str) -> ListedInstance:
        address = self.instance_by_name[name].address
        return ListedInstance(
            name,
            InstanceKind.ENTRY,
            zone,
            self.network.route_instance(name, address),
            "",
        )

    def _add_instance(self, name: str, zone: str) -> None:
        host = self.network.host_of_zone(zone)
        address = free_address(host)
        caller_address = free_address(host)
        platform = self.platform.address
        process = self._process(
            name,
            [
                "heatherdyke",
                "serve",
                f"--name={name}",
                f"--zone={zone}",
                f"--listen={caller_address}",
                f"--internal-listen={address}",
                f"--peer-key={PEER_KEY}",
                f"--advertise={self.network.route_instance(name, address)}",
                f"--source={host}",
                f"--platform={self.network.route_platform(platform)}",
                f"--disable={self.policy.disable}",
            ],
        )
        process.address = address
        process.caller_address = caller_address
        self.instance_by_name[name] = process

    async def _start_proxy(self) -> None:
        for leaf, process in self.leaf_by_name.items():
            self.network.route_leaf(leaf, process.address)
        if not self.network.proxied:
            return
        config = encode(self.network.config()).decode()
        path = self._directory / "network.json"
        path.write_text(config)
        self.proxy_process = self._process(
            "network", ["heatherdyke.cli.standin", "proxy", f"@{path}"]
        )
        await self._start_standin(self.proxy_process)

    async def _start_leaf(self, profile: LeafProfile) -> None:
        profile = replace(profile, platform=self.platform.address)
        process = self._process(
            profile.leaf,
            ["heatherdyke.cli.standin", "leaf", encode(profile).decode()],
        )
        self.leaf_by_name[profile.leaf] = process
        await self._start_standin(process)

    async def _start_standin(self, process: FleetProcess) -> None:
        async with self._start_semaphore:
            await process.start()
            await process.wait_until_listening()

    async def _write_configuration(self) -> None:
        address_by_leaf = await self.leaf_addresses()
        platform = self.platform_client()
        for index in self.deployment.indexes:
            snapshots = IndexSnapshots(FIRST_SNAPSHOT, [FIRST_SNAPSHOT])
            await platform.put(SNAPSHOTS_PREFIX + index, snapshots, 0)
        sections = self.deployment.sections(
            list(self.profile_by_leaf.values()), address_by_leaf
        )
        pointer_by_team = {
            team: await _store_section(platform, team, section)
            for team, section in sections.items()
        }
        await platform.put(HEAD_KEY, ConfigHead(1, pointer_by_team), 0)

    def _process(self, name: str, arguments: list[str]) -> FleetProcess:
        log = self._directory / f"{name}.log"
        return FleetProcess(name, arguments, log, self._tree)


async def _store_section(
    platform: ObjectClient, team: str, section: SectionConfig
) -> SectionPointer:
    edit = f"bench-{team}"
    key = f"{SECTION_PREFIX}{team}/{edit}"
    stored = StoredSection(
        team, edit, "bench", "", 0.0, msgspec.Raw(encode(section))
    )
    await platform.put(key, stored, 0)
    return SectionPointer(1, key, edit, "bench")


async def _passes_ready_check(address: str) -> bool:
    try:
        return await is_ready(address)
    except TransportError:
        return False
