"""The ``zone`` commands; the exit codes are those of ``config``."""

from typing import Annotated

import typer

from heatherdyke.cli.options import EditOption
from heatherdyke.cli.options import EditorOption
from heatherdyke.cli.options import JsonOption
from heatherdyke.cli.options import PlatformOption
from heatherdyke.cli.options import WaitOption
from heatherdyke.cli.options import WaitSecondsOption
from heatherdyke.cli.options import call_platform
from heatherdyke.cli.options import report_change
from heatherdyke.cli.options import resolve_editor
from heatherdyke.config import commands
from heatherdyke.config.rollout import zones_progress_check
from heatherdyke.config.zone_state import ZonesObject
from heatherdyke.config.zone_state import ZoneStatus
from heatherdyke.objects.client import ObjectClient

zone_app = typer.Typer(
    name="zone",
    help="Take an availability zone out of service and back in.",
    no_args_is_help=True,
)

ZoneArgument = Annotated[str, typer.Argument(help="Zone name.")]
ReasonOption = Annotated[
    str, typer.Option("--reason", help="Reason to record with the edit.")
]


@zone_app.command("out")
def zone_out(
    zone: ZoneArgument,
    platform: PlatformOption = "",
    editor: EditorOption = "",
    edit: EditOption = "",
    reason: ReasonOption = "",
    wait: WaitOption = False,
    wait_s: WaitSecondsOption = 15.0,
    as_json: JsonOption = False,
) -> None:
    """Take a zone out of service: its leaves get no new work."""

    async def run(client: ObjectClient) -> None:
        await commands.require_zone(client, zone)
        zones = await commands.change_zone_state(
            client, zone, ZoneStatus.OUT, resolve_editor(editor), reason, edit
        )
        await _report(client, zones, wait_s if wait else None, as_json)

    call_platform(platform, run)


@zone_app.command("in")
def zone_in(
    zone: ZoneArgument,
    platform: PlatformOption = "",
    editor: EditorOption = "",
    edit: EditOption = "",
    reason: ReasonOption = "",
    wait: WaitOption = False,
    wait_s: WaitSecondsOption = 15.0,
    as_json: JsonOption = False,
) -> None:
    """Put a zone back into service."""

    async def run(client: ObjectClient) -> None:
        zones = await commands.change_zone_state(
            client, zone, ZoneStatus.IN, resolve_editor(editor), reason, edit
        )
        await _report(client, zones, wait_s if wait else None, as_json)

    call_platform(platform, run)


@zone_app.command("status")
def zone_status(
    platform: PlatformOption = "", as_json: JsonOption = False
) -> None:
    """Show each zone's state and on which instances it is active."""

    async def run(client: ObjectClient) -> None:
        zones = await commands.show_zones(client)
        await _report(client, zones, 0.0, as_json)

    call_platform(platform, run)


async def _report(
    client: ObjectClient,
    zones: ZonesObject,
    wait_s: float | None,
    as_json: bool,
) -> None:
    """Print the zones, then on which instances their state is active."""
    await report_change(
        client,
        zones_progress_check(zones.version),
        wait_s,
        as_json,
        lambda: _print_zones(zones),
        lambda instances: commands.ZoneReport(zones, instances),
    )


def _print_zones(zones: ZonesObject) -> None:
    typer.echo(f"zones version {zones.version}")
    for name, entry in sorted(zones.zone_by_name.items()):
        reason = f": {entry.reason}" if entry.reason else ""
        typer.echo(
            f"  {name} is {entry.state.value} since version {entry.order}, "
            f"edit {entry.edit} by {entry.editor}{reason}"
        )
