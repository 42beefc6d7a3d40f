"""Options and output shared by the ``config`` and ``zone`` commands."""

import asyncio
import getpass
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import closing
from typing import Annotated
from typing import Any
from typing import TypeVar

import typer

from heatherdyke.codec import encode
from heatherdyke.config import commands
from heatherdyke.config.rollout import InstanceProgress
from heatherdyke.config.rollout import ProgressCheck
from heatherdyke.config.rollout import require_active
from heatherdyke.errors import SettingsError
from heatherdyke.net.address import split_address
from heatherdyke.objects.client import ObjectClient

T = TypeVar("T")

PlatformOption = Annotated[
    str,
    typer.Option(
        "--platform",
        envvar="HEATHERDYKE_PLATFORM",
        help="IP address and port of the object API.",
    ),
]
EditorOption = Annotated[
    str,
    typer.Option(
        "--editor",
        envvar="HEATHERDYKE_EDITOR",
        help="Editor to record with the edit; default: your login name.",
    ),
]
EditOption = Annotated[
    str,
    typer.Option(
        "--edit", help="Repeat an earlier edit, by the id that it printed."
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print JSON instead of text.")
]
WaitOption = Annotated[
    bool,
    typer.Option(
        "--wait", help="Wait until the change is active on every instance."
    ),
]
WaitSecondsOption = Annotated[
    float, typer.Option("--wait-s", help="Maximum wait in seconds.")
]


def create_platform_client(address: str) -> ObjectClient:
    """Create a client; raises SettingsError if ``address`` is malformed."""
    try:
        split_address(address)
    except ValueError as error:
        raise SettingsError(
            [
                f"--platform {address!r} is not an IP address and port: "
                "write it as 127.0.0.1:8080"
            ]
        ) from error
    return ObjectClient(address)


def call_platform(
    address: str, call: Callable[[ObjectClient], Awaitable[T]]
) -> T:
    """Run ``call`` with a client of the platform, then close the client.

    Raises SettingsError if ``address`` is malformed.
    """
    client = create_platform_client(address)

    async def run() -> T:
        with closing(client):
            return await call(client)

    return asyncio.run(run())


def resolve_editor(editor: str) -> str:
    """Return ``editor``, or the login name if it is empty."""
    return editor or getpass.getuser()


def print_json(message: Any) -> None:
    """Print a message as one line of JSON."""
    typer.echo(encode(message).decode("utf-8"))


def print_progress(instances: list[InstanceProgress]) -> None:
    """Print each instance's progress on a line of its own."""
    for row in instances:
        typer.echo(
            f"  {row.instance} ({row.zone}, {row.address}): "
            f"{row.progress.value}, version {row.version}"
        )


async def report_change(
    client: ObjectClient,
    progress_check: ProgressCheck,
    wait_s: float | None,
    as_json: bool,
    show: Callable[[], None],
    build_report: Callable[[list[InstanceProgress] | None], Any],
) -> None:
    """Print a change, then on which instances it is active.

    ``wait_s`` limits the wait for them; with None they are not queried.
    Raises NotInForce if they are queried and it is not active on some.
    """
    if not as_json:
        show()
    instances = None
    if wait_s is not None:
        instances = await commands.wait_for_rollout(
            client, progress_check, wait_s
        )
    if as_json:
        print_json(build_report(instances))
    elif instances is not None:
        print_progress(instances)
    if instances is not None:
        require_active(instances)
