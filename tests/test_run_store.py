"""Records and chunked results in the platform, and their removal."""

import asyncio

from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import SectionConfig
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.journal import Journal
from heatherdyke.run_once.state_machine import RunEvent
from heatherdyke.run_once.store import RecordState
from heatherdyke.run_once.store import RunRecord
from heatherdyke.run_once.store import RunStore
from heatherdyke.run_once.store import StoredRecord
from heatherdyke.run_once.sweeper import RETENTION_S
from heatherdyke.run_once.sweeper import RunSweeper
from heatherdyke.standin.platform import PlatformStandin

LARGE = "\u20ac\x01" * 400_000


class FixedConfig:
    document = ConfigDocument(1, {"permits": SectionConfig("permits")})


class FixedClock:
    def wall(self) -> float:
        return 2 * RETENTION_S


def record(created_at_s):
    return RunRecord(
        RecordState.SENDING, "f", "a:1:1", "a", "127.0.0.1:1", created_at_s
    )


async def finish(store, name, created_at_s, result):
    event, version = await store.create(name, record(created_at_s))
    assert event is RunEvent.CREATED
    stored = StoredRecord(record(created_at_s), version)
    assert await store.finish(name, stored, "leaf", result) is RunEvent.STORED
    return (await store.read(name)).record


class TestRunStore:
    async def scenario(self):
        platform = PlatformStandin()
        await platform.start()
        client = ObjectClient(platform.address)
        store = RunStore(client)
        old = await finish(store, "permits/old", RETENTION_S - 1, "x")
        young = await finish(store, "permits/new", RETENTION_S + 1, LARGE)
        assert old.chunks == 1
        assert young.chunks > 1
        assert await store.read_result("permits/new", young.chunks) == LARGE
        event, _ = await store.create("permits/new", record(0.0))
        assert event is RunEvent.EXISTS
        sweeper = RunSweeper(
            client, FixedConfig(), lambda: True, Journal("a"), FixedClock()
        )
        assert await sweeper.sweep() == 1
        assert await store.read("permits/old") is None
        assert await client.list("result/permits/old/") == []
        assert (await store.read("permits/new")).record == young
        client.close()
        await platform.stop()

    def test_returns_large_results_and_removes_only_expired_records(self):
        asyncio.run(self.scenario())
