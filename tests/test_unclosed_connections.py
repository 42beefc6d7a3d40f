"""Connections are closed by their owners, before the event loop ends.

One that is left to the collection of garbage is closed after its loop.  The
error then appears on standard error, at a time that has nothing to do with
the connection.
"""

import asyncio
import socket
from contextlib import closing
from contextlib import suppress

import pytest
from small_fleet import small_deployment
from small_fleet import start_fleet
from test_cli_config import ROSTER
from test_cli_config import run
from test_cli_config import running_platform
from typer.testing import CliRunner

from heatherdyke.cli.app import app
from heatherdyke.instance import Instance
from heatherdyke.objects.client import ObjectClient
from heatherdyke.platform_standin.store import StandinStore
from heatherdyke.settings import Settings
from heatherdyke.standin.demo import run_demo
from heatherdyke.standin.free_address import free_address
from heatherdyke.standin.leaf import LeafStandin
from heatherdyke.standin.leaf_model import LeafProfile
from heatherdyke_bench.load import RoundRobinBalancer
from heatherdyke_bench.member_slopes import measure


@pytest.fixture
def unclosed(monkeypatch):
    """Yield a function that lists the peers of the streams left open."""
    opened = []
    open_connection = asyncio.open_connection

    async def record(*arguments, **options):
        reader, writer = await open_connection(*arguments, **options)
        opened.append(writer)
        return reader, writer

    def list_open():
        assert opened
        return [
            writer.get_extra_info("peername")
            for writer in opened
            if not writer.is_closing()
        ]

    monkeypatch.setattr(asyncio, "open_connection", record)
    yield list_open
    for writer in opened:
        # What a test finds must not fail others when it is collected: an
        # aborted stream has nothing to close, even if its loop is closed.
        with suppress(RuntimeError):
            writer.transport.abort()


async def until(condition):
    async with asyncio.timeout(10):
        while not await condition():
            await asyncio.sleep(0.02)


async def serve_and_stop(platform, cancelled):
    """Run an instance until it has called the platform, then stop it."""
    instance = Instance.from_settings(
        Settings.from_values(
            name="a",
            zone="brescia",
            listen=free_address(),
            internal_listen=free_address(),
            platform=platform,
            peer_key="peer key of the test",
            drain_s=0.1,
        )
    )

    async def has_called():
        return instance.platform.calls > 3

    await instance.start()
    await until(has_called)
    stopping = asyncio.create_task(instance.stop())
    await asyncio.sleep(0)
    if cancelled:
        stopping.cancel()
    await asyncio.wait([stopping])
    assert stopping.cancelled() == cancelled


async def announce_and_stop(platform):
    """Run a leaf until the platform lists it, then stop it."""
    profile = LeafProfile(leaf="a", zone="brescia", platform=platform)
    leaf = LeafStandin(profile)

    async def is_listed():
        with closing(ObjectClient(platform)) as client:
            return await client.instances()

    await leaf.start()
    await until(is_listed)
    await leaf.stop()


class TestFixture:
    # Guards against a fixture that sees no stream, whatever is left open.
    def test_sees_an_open_stream(self, unclosed):
        with socket.create_server(("127.0.0.1", 0)) as listening:
            address = listening.getsockname()
            asyncio.run(asyncio.open_connection(*address))
            assert unclosed() == [address]


class TestCommands:
    # Guards against commands that leave connections to the platform open.
    @pytest.mark.parametrize(
        "command",
        [
            f"config apply {ROSTER} --team roster",
            "config remove --team roster",
            "config show",
            "config show --team absent",
            f"config diff {ROSTER}",
            "config collect",
            "zone out nowhere",
            "zone in verona",
            "zone status",
            "usage",
            "stats",
            "timeline",
        ],
        ids=lambda command: " ".join(command.split()[:2]),
    )
    def test_leave_no_connection_open(self, command, unclosed):
        with running_platform() as address:
            run(command.split(), address)
        assert not unclosed()

    # Guards against the same of commands that use the gateway's store.
    @pytest.mark.parametrize("command", ["list", "lift absent"])
    def test_leave_no_connection_to_the_store_open(self, command, unclosed):
        arguments = ["quarantine", *command.split(), "--platform"]

        async def main():
            store = StandinStore()
            await store.listener.start()
            address = str(store.listener.address)
            await asyncio.to_thread(
                CliRunner().invoke, app, [*arguments, address]
            )
            await store.listener.stop()

        asyncio.run(main())
        assert not unclosed()


class TestProcesses:
    # Guards against a demo that ends with connections open.
    def test_the_demo_leaves_no_connection_open(self, unclosed):
        asyncio.run(run_demo(lambda line: None))
        assert not unclosed()

    # Guards against the same where the platform outlives the instance, also
    # if a second signal ends the shutdown.
    @pytest.mark.parametrize("cancelled", [False, True])
    def test_a_stop_leaves_no_connection_open(self, cancelled, unclosed):
        with running_platform() as address:
            asyncio.run(serve_and_stop(address, cancelled))
        assert not unclosed()

    # Guards against the same of a backend server that announces itself.
    def test_a_leaf_leaves_no_connection_open(self, unclosed):
        with running_platform() as address:
            asyncio.run(announce_and_stop(address))
        assert not unclosed()


class TestBench:
    # Guards against fleets of tests and measurements that do the same.
    def test_a_fleet_leaves_no_connection_open(self, tmp_path, unclosed):
        async def main():
            deployment = small_deployment(instances=1)
            async with start_fleet(tmp_path, deployment=deployment) as fleet:
                assert await fleet.platform_client().list("config/")

        asyncio.run(main())
        assert not unclosed()

    # Guards against the same of the generator of load.
    def test_a_balancer_leaves_no_connection_open(self, unclosed):
        async def main(address):
            balancer = RoundRobinBalancer([address])
            for connection in [await balancer.acquire() for _ in range(2)]:
                balancer.release(connection)
            balancer.close()

        with socket.create_server(("127.0.0.1", 0)) as listening:
            host, port = listening.getsockname()
            asyncio.run(main(f"{host}:{port}"))
        assert not unclosed()

    # Guards against the same of the measurement of a member's cost.
    def test_a_measured_zone_leaves_no_connection_open(self, unclosed):
        asyncio.run(measure(2, 1, 0.1, 0.1))
        assert not unclosed()
