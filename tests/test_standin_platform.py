"""The stand-in platform keeps to the object API, and fails on demand."""

import asyncio

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


def _with_platform(test):
    async def run():
        platform = PlatformStandin()
        await platform.start()
        try:
            await test(platform, ObjectClient(platform.address))
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

        _with_platform(test)

    def test_watch_returns_on_change_or_after_its_wait(self):
        async def test(platform, client):
            watch = asyncio.ensure_future(client.watch("a", 0, 5.0))
            while not platform.record().watches_waiting:
                await asyncio.sleep(0.001)
            await ObjectClient(platform.address).put("a", 7, 0)
            assert (await watch).value == 7
            assert await client.watch("a", 1, 0.01) is None
            assert platform.record().watches_waiting_max == 1

        _with_platform(test)


class TestFaults:
    def test_lost_reply_leaves_the_write_in_effect(self):
        async def test(platform, client):
            platform.set_faults(PlatformFaults(lose_replies=1))
            with pytest.raises(PlatformUnavailable):
                await client.put("a", 1, 0)
            assert (await client.get("a")).version == 1

        _with_platform(test)

    def test_outage_ends_watches_and_fails_calls(self):
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

        _with_platform(test)


class TestInstanceList:
    def test_rows_lag_and_drop_after_their_lifetime(self):
        rows = InstanceList()
        rows.announce(ROW, now=10.0)
        assert rows.rows(now=10.5, lag_s=1.0) == []
        assert rows.rows(now=11.5, lag_s=1.0) == [ROW]
        assert rows.rows(now=13.9, lag_s=1.0) == [ROW]
        assert rows.rows(now=14.1, lag_s=1.0) == []

    def test_wrong_rows_are_shown(self):
        async def test(platform, client):
            await client.announce(ROW)
            assert await client.instances() == [ROW]
            platform.set_faults(
                PlatformFaults(hidden_names=["i1"], extra_rows=[ROW, ROW])
            )
            assert await client.instances() == [ROW, ROW]

        _with_platform(test)
