"""Usage is counted once despite lost replies; reports list what is missing."""

import asyncio

import pytest
from typer.testing import CliRunner

from heatherdyke.cli.app import app
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.journal import Journal
from heatherdyke.standin.platform import PlatformFaults
from heatherdyke.standin.platform import PlatformStandin
from heatherdyke.usage.counters import TeamUsage
from heatherdyke.usage.counters import UsageCounters
from heatherdyke.usage.report import describe_usage
from heatherdyke.usage.report import read_usage
from heatherdyke.usage.writer import UsageWriter


class TestUsageWriter:
    async def store_with_faults(self):
        platform = PlatformStandin()
        await platform.start()
        counters = UsageCounters("a", "1")
        client = ObjectClient(platform.address)
        writer = UsageWriter(counters, client, Journal("a"))
        counters.count("permits", searches=1, leaf_searches=50)
        platform.set_faults(PlatformFaults(lose_replies=1))
        assert not await writer.store()
        platform.set_faults(PlatformFaults(outage=True))
        counters.count("permits", searches=1, leaf_searches=50)
        assert not await writer.store()
        platform.set_faults(PlatformFaults())
        await writer.stop()
        client.close()
        report = await read_usage("", platform.address)
        await platform.stop()
        return report

    def test_lost_replies_cause_no_double_charge(self):
        report = asyncio.run(self.store_with_faults())
        assert report.usage_by_team == {"permits": TeamUsage(2, 100)}
        assert any("live instances" in reason for reason in report.not_read)
        assert "permits" in describe_usage(report)
        assert "permits" not in describe_usage(report, "bonds")


class TestUsageCommand:
    def test_fails_if_no_source_can_be_read(self):
        with pytest.raises(PlatformUnavailable) as caught:
            CliRunner().invoke(
                app,
                ["usage", "--platform", "127.0.0.1:1"],
                catch_exceptions=False,
            )
        assert caught.value.remedy
