"""The stand-in platform implements the object API and injects faults."""

import asyncio
from contextlib import closing

import pytest

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import VersionConflict
from heatherdyke.messages import InstanceKind
from heatherdyke.messages import ListedInstance
from heatherdyke.objects.client import ObjectClient
from heatherdyke.standin.platform import InstanceList
from heatherdyke.standin.platform import PlatformFaults
from heatherdyke.standin.platform import PlatformStandin

ROW = ListedInstance("i1", InstanceKind.ENTRY, "z1", "127.0.0.1:1", "x")


def _run_with_platform(test):
    async def run():
        platform = PlatformStandin()
        await platform.start()
        try:
            with closing(ObjectClient(platform.address)) as client:
                await test(platform, client)
        finally:
            await platform.stop()

    asyncio.run(run())


class TestObjects:
    def test_updates_are_conditional(self):
        async def test(platform, client):
            assert await client.get("a") is None
            assert await client.put("a", {"n": 1}, 0) == 1
            with pytest.raises(VersionConflict) as caught:
                await client.put("a", {"n": 2}, 0)
            assert caught.value.current_version == 1
            assert await client.put("a", {"n": 2}, 1) == 2
            assert (await client.get("a")).value == {"n": 2}
            await client.put("b/1", "x", 0)
            assert [o.key for o in await client.list("b/")] == ["b/1"]
            await client.delete("a", 2)
            assert await client.put("a", {"n": 3}, 0) == 3

        _run_with_platform(test)

    def test_watch_returns_on_change_or_after_its_timeout(self):
        async def test(platform, client):
            watch = asyncio.ensure_future(client.watch("a", 0, 5.0))
            while not platform.record().watches_waiting:
                await asyncio.sleep(0.001)
            with closing(ObjectClient(platform.address)) as other:
                await other.put("a", 7, 0)
            assert (await watch).value == 7
            assert await client.watch("a", 1, 0.01) is None
            assert platform.record().watches_waiting_max == 1

        _run_with_platform(test)


class TestFaults:
    def test_write_takes_effect_when_its_reply_is_lost(self):
        async def test(platform, client):
            platform.set_faults(PlatformFaults(lose_replies=1))
            with pytest.raises(PlatformUnavailable):
                await client.put("a", 1, 0)
            assert (await client.get("a")).version == 1

        _run_with_platform(test)

    def test_outage_fails_watches_and_calls(self):
        async def test(platform, client):
            watch = asyncio.ensure_future(client.watch("a", 0, 5.0))
            while not platform.record().watches_waiting:
                await asyncio.sleep(0.001)
            platform.set_faults(PlatformFaults(outage=True))
            with pytest.raises(PlatformUnavailable):
                await watch
            with pytest.raises(PlatformUnavailable):
                await client.get("a")
            platform.set_faults(PlatformFaults())
            assert await client.get("a") is None

        _run_with_platform(test)


class TestInstanceList:
    def test_rows_appear_after_the_lag_and_expire(self):
        listed = InstanceList()
        listed.announce(ROW, now=10.0)
        assert listed.rows(now=10.5, lag_s=1.0) == []
        assert listed.rows(now=11.5, lag_s=1.0) == [ROW]
        assert listed.rows(now=13.9, lag_s=1.0) == [ROW]
        assert listed.rows(now=14.1, lag_s=1.0) == []

    def test_rows_can_be_hidden_and_added(self):
        async def test(platform, client):
            await client.announce(ROW)
            assert await client.instances() == [ROW]
            platform.set_faults(
                PlatformFaults(hidden_names=["i1"], extra_rows=[ROW, ROW])
            )
            assert await client.instances() == [ROW, ROW]

        _run_with_platform(test)
