"""The ``quarantine`` commands: requests that crash the leafs that run them."""

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import closing
from typing import Annotated
from typing import TypeVar

import typer

from heatherdyke.cli.options import JsonOption
from heatherdyke.cli.options import PlatformOption
from heatherdyke.cli.options import print_json
from heatherdyke.errors import RequestNotQuarantined
from heatherdyke.errors import SettingsError
from heatherdyke.gateway.crash_evidence import Level
from heatherdyke.gateway.quarantine import Verdict
from heatherdyke.net.address import Address
from heatherdyke.platform.quarantines import KIND
from heatherdyke.platform.quarantines import decode_quarantine
from heatherdyke.platform.quarantines import encode_quarantine
from heatherdyke.platform.store import StoreClient

T = TypeVar("T")

quarantine_app = typer.Typer(
    name="quarantine",
    help="List and lift requests that crash the leafs that run them.",
    no_args_is_help=True,
)

KeyArgument = Annotated[str, typer.Argument(help="Key of the request.")]


@quarantine_app.command("list")
def list_quarantined(
    platform: PlatformOption = "", as_json: JsonOption = False
) -> None:
    """Show the quarantined requests with the evidence against them."""
    verdicts = _call_store(platform, read_verdicts)
    if as_json:
        print_json(verdicts)
        return
    for verdict in verdicts:
        typer.echo(describe(verdict))
    if not verdicts:
        typer.echo("no request is quarantined")


@quarantine_app.command("lift")
def lift(key: KeyArgument, platform: PlatformOption = "") -> None:
    """Let a request be sent again, at all instances within a minute."""
    _call_store(platform, lambda store: lift_request(store, key))
    typer.echo(f"lifted {key}; the instances follow within a minute")


async def read_verdicts(store: StoreClient) -> list[Verdict]:
    """Return the verdicts in the store, lifted ones included."""
    listing = await store.list(KIND)
    wall_s = time.time()
    decoded = [
        decode_quarantine(stored.name, stored.spec, wall_s)
        for stored in listing.objects
    ]
    return [verdict for verdict in decoded if verdict is not None]


async def lift_request(store: StoreClient, key: str) -> None:
    """Mark a request as lifted; raises RequestNotQuarantined."""
    for verdict in await read_verdicts(store):
        if verdict.key == key and verdict.level is Level.CRASHING:
            verdict.level = Level.CLEAR
            await store.put(KIND, key, encode_quarantine(verdict, time.time()))
            return
    raise RequestNotQuarantined(key)


def describe(verdict: Verdict) -> str:
    """Return a verdict as one line of text."""
    state = "lifted" if verdict.level is Level.CLEAR else "quarantined"
    return (
        f"{verdict.key} {state} for {verdict.age_s:.0f} s: route "
        f"{verdict.route}, {verdict.target}, {verdict.crashes} leafs crashed "
        f"in {verdict.attempts} attempts, decided by {verdict.decided_by}"
    )


def _call_store(
    address: str, call: Callable[[StoreClient], Awaitable[T]]
) -> T:
    """Run ``call`` with a client of the store, then close the client."""
    store = _create_store_client(address)

    async def run() -> T:
        with closing(store):
            return await call(store)

    return asyncio.run(run())


def _create_store_client(address: str) -> StoreClient:
    """Create a client; raises SettingsError if ``address`` is malformed."""
    try:
        return StoreClient(Address.parse(address))
    except ValueError as error:
        raise SettingsError(
            [
                f"--platform {address!r} is not an IP address and port: "
                "write it as 127.0.0.1:8080"
            ]
        ) from error
