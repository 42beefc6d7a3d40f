"""Connections are closed by their owners, before the event loop ends.

One that is left to the collection of garbage is closed after its loop.  The
error then appears on standard error, at a time that has nothing to do with
the connection.
"""

import asyncio
import gc

import pytest
from test_cli_config import ROSTER
from test_cli_config import run
from test_cli_config import running_platform
from typer.testing import CliRunner

from heatherdyke.cli.app import app
from heatherdyke.platform_standin.store import StandinStore


@pytest.fixture
def unclosed(monkeypatch):
    """Return a list that grows by each stream that was not closed."""
    peers = []
    gc.collect()

    def record(writer):
        if not writer.is_closing():
            peers.append(writer.get_extra_info("peername"))

    monkeypatch.setattr(asyncio.StreamWriter, "__del__", record)
    return peers


class TestFixture:
    # Guards against a fixture that sees no stream, whatever is left open.
    def test_sees_an_open_stream(self, unclosed):
        async def leave_open():
            server = await asyncio.start_server(
                lambda reader, writer: writer.close(), "127.0.0.1", 0
            )
            address = server.sockets[0].getsockname()
            await asyncio.open_connection(*address)
            server.close()
            return address

        address = asyncio.run(leave_open())
        gc.collect()
        assert unclosed == [address]


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
        gc.collect()
        assert not unclosed

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
        gc.collect()
        assert not unclosed
