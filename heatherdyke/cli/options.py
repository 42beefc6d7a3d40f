"""Options and output that the operators' commands share."""

import getpass
from collections.abc import Callable
from typing import Annotated
from typing import Any

import typer

from heatherdyke.codec import encode
from heatherdyke.config import commands
from heatherdyke.config.wait import InstanceProgress
from heatherdyke.config.wait import Judge
from heatherdyke.config.wait import require_in_force
from heatherdyke.errors import SettingsError
from heatherdyke.net.address import split_address
from heatherdyke.objects.client import ObjectClient

PlatformOption = Annotated[
    str,
    typer.Option(
        "--platform",
        envvar="HEATHERDYKE_PLATFORM",
        help="IP number and port of the object API.",
    ),
]
EditorOption = Annotated[
    str,
    typer.Option(
        "--editor",
        envvar="HEATHERDYKE_EDITOR",
        help="Who makes the edit, for others to see; else your login.",
    ),
]
EditOption = Annotated[
    str,
    typer.Option("--edit", help="Repeat an edit by the nonce it printed."),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print JSON instead of text.")
]
WaitOption = Annotated[
    bool,
    typer.Option("--wait", help="Wait until each instance has it in force."),
]
WaitSecondsOption = Annotated[
    float, typer.Option("--wait-s", help="Longest wait in seconds.")
]


def create_platform_client(address: str) -> ObjectClient:
    """Return a client; raises SettingsError if ``address`` is malformed."""
    try:
        split_address(address)
    except ValueError as error:
        raise SettingsError(
            [
                f"--platform {address!r} is not an IP number and port: "
                "write it as 127.0.0.1:8080"
            ]
        ) from error
    return ObjectClient(address)


def resolve_editor(editor: str) -> str:
    """Return the editor given, or the login name."""
    return editor or getpass.getuser()


def print_json(message: Any) -> None:
    """Print the message as one line of JSON."""
    typer.echo(encode(message).decode("utf-8"))


def print_progress(instances: list[InstanceProgress]) -> None:
    """Print a line for each instance."""
    for row in instances:
        typer.echo(
            f"  {row.instance} ({row.zone}, {row.address}): "
            f"{row.progress.value}, version {row.version}"
        )


async def report_change(
    client: ObjectClient,
    judge: Judge,
    wait_s: float | None,
    as_json: bool,
    show: Callable[[], None],
    to_report: Callable[[list[InstanceProgress] | None], Any],
) -> None:
    """Show a change at once, then which instances have it in force.

    ``wait_s`` is how long to wait for them, None for not asking them.
    Raises NotInForce if they were asked and some lack it.
    """
    if not as_json:
        show()
    instances = None
    if wait_s is not None:
        instances = await commands.wait_everywhere(client, judge, wait_s)
    if as_json:
        print_json(to_report(instances))
    elif instances is not None:
        print_progress(instances)
    if instances is not None:
        require_in_force(instances)
