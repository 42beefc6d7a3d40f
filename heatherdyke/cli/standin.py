"""Commands that run a stand-in as a separate process."""

import asyncio
import signal
from pathlib import Path
from typing import Protocol

import msgspec
import typer

from heatherdyke.codec import decode
from heatherdyke.errors import SettingsError
from heatherdyke.standin.fault_proxy import FaultProxy
from heatherdyke.standin.fault_proxy_model import ProxyConfig
from heatherdyke.standin.leaf import LeafStandin
from heatherdyke.standin.leaf_model import LeafProfile
from heatherdyke.standin.platform import PlatformStandin

app = typer.Typer(
    name="standin",
    help="Run a stand-in for the platform or a leaf, or a fault proxy.",
    no_args_is_help=True,
)


class _Standin(Protocol):
    address: str

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


@app.command()
def platform(listen: str = "127.0.0.1:7000") -> None:
    """Run a stand-in for the platform until SIGTERM or SIGINT."""
    _run(PlatformStandin(listen))


@app.command()
def leaf(profile: str) -> None:
    """Run a stand-in leaf; PROFILE is a LeafProfile as JSON or ``@file``."""
    _run(LeafStandin(_parse(profile, LeafProfile)))


@app.command()
def proxy(config: str) -> None:
    """Run a fault proxy; CONFIG is a ProxyConfig as JSON or ``@file``."""
    _run(FaultProxy(_parse(config, ProxyConfig)))


def _parse(text: str, message_type: type):
    if text.startswith("@"):
        text = Path(text[1:]).read_text()
    try:
        return decode(text.encode(), message_type)
    except msgspec.DecodeError as error:
        raise SettingsError([str(error)]) from error


def _run(standin: _Standin) -> None:
    asyncio.run(_serve_until_signal(standin))


async def _serve_until_signal(standin: _Standin) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await standin.start()
    typer.echo(f"listening on {standin.address}")
    await stop_requested.wait()
    await standin.stop()


if __name__ == "__main__":
    app()
