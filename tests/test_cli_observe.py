"""The ``timeline`` and ``stats`` commands over HTTP."""

import asyncio
from contextlib import asynccontextmanager

import pytest
import uvicorn

from heatherdyke.cli.observe import check_addresses
from heatherdyke.cli.observe import render_event
from heatherdyke.cli.observe import render_stats
from heatherdyke.config.model import ROSTER_PREFIX
from heatherdyke.errors import NoInstanceReachable
from heatherdyke.errors import SettingsError
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import Roster
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import new_application
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.events import INSTANCE_STARTED
from heatherdyke.observe.events import INSTANCE_STOPPING
from heatherdyke.observe.fleet_client import discover_instances
from heatherdyke.observe.health import HealthState
from heatherdyke.observe.http_api import KnownInstance
from heatherdyke.observe.http_api import ObservabilityApi
from heatherdyke.observe.journal import Journal
from heatherdyke.observe.metrics import Metrics
from heatherdyke.observe.report import follow_timeline
from heatherdyke.observe.report import read_stats
from heatherdyke.observe.report import read_timeline
from heatherdyke.observe.timeline import EventFilter
from heatherdyke.standin.platform import PlatformStandin

UNREACHABLE = KnownInstance("gone", "verona", "127.0.0.1:1")


class ServedInstance:
    """An instance that serves only the observability API, on a free port."""

    def __init__(self, name: str, known: list[KnownInstance]) -> None:
        self.name = name
        self.journal = Journal(name, "brescia", "i1")
        self.metrics = Metrics()
        self.known = known
        self.address = ""

    @asynccontextmanager
    async def serve(self):
        app = new_application()
        ObservabilityApi(
            self.journal,
            self.metrics,
            lambda: HealthState(True, True, False, False),
            lambda: self.known,
        ).add_routes(Applications(new_application(), app))
        config = uvicorn.Config(
            app, host="127.0.0.1", port=0, log_level="error"
        )
        server = uvicorn.Server(config)
        task = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        port = server.servers[0].sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.known.append(KnownInstance(self.name, "brescia", self.address))
        yield self
        server.should_exit = True
        await task


@asynccontextmanager
async def two_instances():
    known = [UNREACHABLE]
    async with ServedInstance("a", known).serve() as first:
        async with ServedInstance("b", known).serve() as second:
            yield first, second


class TestTimelineReport:
    def test_merges_all_events_and_lists_unreachable_instances(self):
        async def check():
            async with two_instances() as (first, second):
                first.journal.record(INSTANCE_STOPPING)
                second.journal.observe(first.journal.stamp())
                second.journal.record(INSTANCE_STOPPING)
                report = await read_timeline(first.address, "", EventFilter())
            assert [e.instance for e in report.events] == ["a", "b"]
            assert "1002 instance_stopping" in render_event(report.events[0])
            assert [u.instance.name for u in report.unreachable] == ["gone"]

        asyncio.run(check())

    def test_follow_shows_events_recorded_later(self):
        async def check():
            shown, warned = [], []
            arrived = asyncio.Event()

            def show(event):
                shown.append(event.number)
                arrived.set()

            async with two_instances() as (first, second):
                task = asyncio.create_task(
                    follow_timeline(
                        first.address, "", EventFilter(), show, warned.append
                    )
                )
                second.journal.record(
                    INSTANCE_STARTED, address=second.address, zone="brescia"
                )
                async with asyncio.timeout(10):
                    await arrived.wait()
                task.cancel()
            assert shown == [INSTANCE_STARTED.number]
            assert warned[0].startswith("not reached: gone")

        asyncio.run(check())


class TestDiscovery:
    def test_discovers_instances_that_only_rosters_list(self):
        async def check():
            platform = PlatformStandin()
            await platform.start()
            client = ObjectClient(platform.address)
            member = Member("a", "verona", "127.0.0.1:1", "i1")
            roster = Roster("verona", 1, (member,))
            await client.put(ROSTER_PREFIX + "verona", roster, 0)
            client.close()
            found = await discover_instances("", platform.address)
            await platform.stop()
            assert found == [KnownInstance("a", "verona", "127.0.0.1:1")]

        asyncio.run(check())


class TestStatsReport:
    def test_merges_series_of_all_instances(self):
        async def check():
            async with two_instances() as (first, second):
                for served in (first, second):
                    served.metrics.record_latency("search", "urgent", 0.01)
                    served.metrics.count("refused", "overloaded")
                report = await read_stats(first.address, "")
            assert report.instances == 2
            assert report.latencies[0].count == 2
            assert report.counters[0].count == 2
            assert any("search" in line for line in render_stats(report))

        asyncio.run(check())


class TestAddresses:
    def test_all_invalid_addresses_are_reported_together(self):
        with pytest.raises(SettingsError) as caught:
            check_addresses("localhost:1", "127.0.0.1")
        assert len(caught.value.faults) == 2
        with pytest.raises(SettingsError, match="give --instance"):
            check_addresses("", "")

    def test_no_reachable_instance_is_an_error(self):
        with pytest.raises(NoInstanceReachable, match="--platform"):
            asyncio.run(read_stats("127.0.0.1:1", ""))
