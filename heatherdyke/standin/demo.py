"""The demo: stand-ins, three instances and searches in one process."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from contextlib import closing
from uuid import uuid4

import msgspec
from loguru import logger

from heatherdyke.callers.authentication import hash_key
from heatherdyke.callers.client import CallerClient
from heatherdyke.callers.client import describe_answer
from heatherdyke.codec import encode
from heatherdyke.config.model import HEAD_KEY
from heatherdyke.config.model import SNAPSHOTS_PREFIX
from heatherdyke.config.model import ConfigHead
from heatherdyke.config.model import LeafConfig
from heatherdyke.config.model import RunOnceMode
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import SectionPointer
from heatherdyke.config.model import ServiceConfig
from heatherdyke.config.model import ShardConfig
from heatherdyke.config.model import StoredSection
from heatherdyke.config.model import UrgencyConfig
from heatherdyke.instance import Instance
from heatherdyke.messages import IndexSnapshots
from heatherdyke.messages import RunRequest
from heatherdyke.messages import SearchRequest
from heatherdyke.objects.client import ABSENT_VERSION
from heatherdyke.objects.client import ObjectClient
from heatherdyke.run_once.client import RunClient
from heatherdyke.settings import Settings
from heatherdyke.standin.free_address import free_address
from heatherdyke.standin.leaf import LeafStandin
from heatherdyke.standin.leaf_model import LeafProfile
from heatherdyke.standin.platform import PlatformStandin

ZONES = ("brescia", "bergamo", "verona")
TEAM = "demo"
CALLER_KEY = "demo-key"
PEER_KEY = "peer key of the demo"
ARCHIVE = "archive"
ARCHIVE_INDEX = "dossiers"
ARCHIVE_SHARDS = 5
PERMITS_INDEX = "permits"
SERVICE_COUNT = 50
SLOTS_PER_LEAF = 3
CONNECTIONS_PER_LEAF = 30
STRAGGLER_SHARE = 0.01
READY_POLL_S = 0.05
READY_TIMEOUT_S = 20.0
ADAPT_SEARCHES = 5

PrintLine = Callable[[str], None]


async def run_demo(show: PrintLine) -> None:
    """Run searches over 50 services and one run-once request.

    The platform, 105 leaves and three instances run in this process.
    """
    logger.remove()
    async with AsyncExitStack() as stack:
        platform = PlatformStandin()
        await _start_component(stack, platform)
        leaves = await _start_leaves(stack)
        await _publish_config(platform.address, _build_section(leaves))
        instances = await _start_instances(stack, platform.address)
        await _wait_until_ready(instances)
        show(f"{len(instances)} instances, {len(leaves)} leaves, 3 zones")
        await _run_searches(show, instances)
        await _run_pull(show, instances)


async def _run_pull(show: PrintLine, instances: list[Instance]) -> None:
    """Send one run-once request to two instances under the same key.

    The second instance returns the result that the first one recorded.
    """
    key = f"pull-{uuid4().hex}"
    request = RunRequest(ARCHIVE, "pull", "dossier 17")
    for instance in instances[:2]:
        client = RunClient(instance.settings.listen, CALLER_KEY)
        outcome = await client.run(key, request)
        show(
            f"archive pull at {instance.settings.name}: "
            f"{outcome.state.value}, {outcome.result}"
        )


async def _run_searches(show: PrintLine, instances: list[Instance]) -> None:
    services = [_service_name(number) for number in range(SERVICE_COUNT)]
    for number, instance in enumerate(instances * 2):
        client = CallerClient(instance.settings.listen, CALLER_KEY)
        request = SearchRequest(
            services, f"via milano {number}", "foreman", limit=3
        )
        answer = await client.search(request)
        show(f"search {number + 1} at {answer.instance}")
        show("  " + describe_answer(answer).replace("\n", "\n  "))


async def _start_component(stack: AsyncExitStack, component) -> None:
    await component.start()
    stack.push_async_callback(component.stop)


async def _start_leaves(stack: AsyncExitStack) -> dict[str, LeafStandin]:
    leaves = {}
    for service in range(SERVICE_COUNT):
        for replica in range(2):
            leaf_id = f"leaf-{service:02d}-{replica}"
            profile = LeafProfile(
                leaf=leaf_id,
                zone=ZONES[(service + replica) % len(ZONES)],
                slots=SLOTS_PER_LEAF,
                connections=CONNECTIONS_PER_LEAF,
                straggler_share=STRAGGLER_SHARE,
                seed=service * 2 + replica,
            )
            leaves[leaf_id] = LeafStandin(profile)
    for shard in range(ARCHIVE_SHARDS):
        leaf_id = _archive_leaf_id(shard)
        zone = ZONES[shard % len(ZONES)]
        leaves[leaf_id] = LeafStandin(LeafProfile(leaf=leaf_id, zone=zone))
    for leaf in leaves.values():
        await _start_component(stack, leaf)
    return leaves


async def _start_instances(
    stack: AsyncExitStack, platform: str
) -> list[Instance]:
    instances = []
    for zone in ZONES:
        settings = Settings.from_values(
            name=f"entry-{zone}",
            zone=zone,
            listen=free_address(),
            internal_listen=free_address(),
            platform=platform,
            peer_key=PEER_KEY,
            drain_s=1.0,
        )
        instance = Instance.from_settings(settings)
        await _start_component(stack, instance)
        instances.append(instance)
    return instances


async def _wait_until_ready(instances: list[Instance]) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not all(i.is_ready(len(instances)) for i in instances):
            await asyncio.sleep(READY_POLL_S)


async def _publish_config(address: str, section: SectionConfig) -> None:
    with closing(ObjectClient(address)) as platform:
        key = f"config/{TEAM}/first"
        raw = msgspec.Raw(encode(section))
        stored = StoredSection(TEAM, "first", "demo", "", 0.0, raw)
        await platform.put(key, stored, ABSENT_VERSION)
        pointer = SectionPointer(1, key, "first", "demo")
        head = ConfigHead(1, {TEAM: pointer})
        await platform.put(HEAD_KEY, head, ABSENT_VERSION)
        await platform.put(
            SNAPSHOTS_PREFIX + PERMITS_INDEX,
            IndexSnapshots(1, [1]),
            ABSENT_VERSION,
        )


def _build_section(leaves: dict[str, LeafStandin]) -> SectionConfig:
    services = {
        _service_name(number): ServiceConfig(
            PERMITS_INDEX,
            {
                "0": ShardConfig(
                    [f"leaf-{number:02d}-0", f"leaf-{number:02d}-1"]
                )
            },
        )
        for number in range(SERVICE_COUNT)
    }
    services[ARCHIVE] = ServiceConfig(
        ARCHIVE_INDEX,
        {
            str(shard): ShardConfig([_archive_leaf_id(shard)])
            for shard in range(ARCHIVE_SHARDS)
        },
        RunOnceMode.RECORDED,
    )
    return SectionConfig(
        team=TEAM,
        services=services,
        leaves={
            leaf_id: LeafConfig(
                leaf.address,
                leaf.profile.zone,
                leaf.profile.slots,
                leaf.profile.connections,
            )
            for leaf_id, leaf in leaves.items()
        },
        urgency={"foreman": UrgencyConfig(1, 5000, 1.0)},
        key_hashes=[hash_key(CALLER_KEY)],
    )


def _service_name(number: int) -> str:
    return f"permits-{number:02d}"


def _archive_leaf_id(shard: int) -> str:
    return f"{ARCHIVE}-{shard}"
