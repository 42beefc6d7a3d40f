"""The ``config`` commands.

Exit codes: 0 success, 1 failure, 2 invalid flags or section, 3 accepted but
not active on every instance in time, 4 platform unavailable, 5 conflict with
another edit.
"""

from collections.abc import Awaitable
from pathlib import Path
from time import time
from typing import Annotated

import typer

from heatherdyke.cli.options import EditOption
from heatherdyke.cli.options import EditorOption
from heatherdyke.cli.options import JsonOption
from heatherdyke.cli.options import PlatformOption
from heatherdyke.cli.options import WaitOption
from heatherdyke.cli.options import WaitSecondsOption
from heatherdyke.cli.options import call_platform
from heatherdyke.cli.options import print_json
from heatherdyke.cli.options import report_change
from heatherdyke.cli.options import resolve_editor
from heatherdyke.config import commands
from heatherdyke.config.garbage_collection import collect_garbage
from heatherdyke.config.rollout import section_progress_check
from heatherdyke.config.section_editor import Acceptance
from heatherdyke.config.section_file import load_valid_section
from heatherdyke.errors import ConfigInvalid
from heatherdyke.objects.client import ObjectClient
from heatherdyke.platform.settings import check_settings_file

config_app = typer.Typer(
    name="config",
    help="Validate, show, compare and apply configuration sections.",
    no_args_is_help=True,
)

SETTINGS_SUFFIX = ".toml"
FileArgument = Annotated[
    Path, typer.Argument(help="YAML file with a section.")
]
TeamOption = Annotated[str, typer.Option("--team", help="Your team.")]
IfVersionOption = Annotated[
    int | None,
    typer.Option(
        "--if-version",
        help="Apply only if the section has this version (0: absent).",
    ),
]


@config_app.command("check")
def check(
    files: Annotated[
        list[Path],
        typer.Argument(
            help="YAML files with a section each; TOML settings files."
        ),
    ],
    as_json: JsonOption = False,
) -> None:
    """Validate sections and settings files offline and list all errors."""
    settings = [path for path in files if path.suffix == SETTINGS_SUFFIX]
    sections = [path for path in files if path not in settings]
    faults = commands.check_files(sections)
    for path in settings:
        faults += check_settings_file(path)
    if as_json:
        print_json(faults)
    elif faults:
        for fault in faults:
            typer.echo(str(fault))
    else:
        typer.echo(f"{len(files)} files checked, no errors")
    if faults:
        raise typer.Exit(ConfigInvalid.exit_code)


@config_app.command("schema")
def schema() -> None:
    """Print the JSON Schema of a section."""
    typer.echo(commands.section_schema(), nl=False)


@config_app.command("show")
def show(
    platform: PlatformOption = "",
    team: Annotated[
        str, typer.Option("--team", help="Show only this team.")
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Show the accepted document, or with --team a section as YAML."""
    shown = call_platform(
        platform, lambda client: commands.show_document(client, team)
    )
    if as_json:
        print_json(shown)
    elif team:
        typer.echo(commands.section_text(shown.sections[0].section), nl=False)
    else:
        typer.echo(f"document version {shown.version}")
        for row in shown.sections:
            typer.echo(
                f"  {row.team}: version {row.version}, "
                f"edit {row.edit} by {row.editor}"
            )


@config_app.command("diff")
def diff(
    file: FileArgument,
    platform: PlatformOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show what applying the file would change."""
    changes = call_platform(
        platform, lambda client: commands.diff_file(client, file)
    )
    if as_json:
        print_json(changes)
        return
    for change in changes:
        typer.echo(str(change))
    if not changes:
        typer.echo("no change")


@config_app.command("apply")
def apply(
    file: FileArgument,
    team: TeamOption,
    platform: PlatformOption = "",
    editor: EditorOption = "",
    edit: EditOption = "",
    if_version: IfVersionOption = None,
    wait: WaitOption = False,
    wait_s: WaitSecondsOption = 15.0,
    as_json: JsonOption = False,
) -> None:
    """Apply your team's section."""
    section = load_valid_section(file)
    commands.require_team(section, team)

    async def run(client: ObjectClient) -> None:
        change = commands.apply_section(
            client, team, section, resolve_editor(editor), edit, if_version
        )
        await _apply_change(client, change, wait_s if wait else None, as_json)

    call_platform(platform, run)


@config_app.command("remove")
def remove(
    team: TeamOption,
    platform: PlatformOption = "",
    editor: EditorOption = "",
    edit: EditOption = "",
    if_version: IfVersionOption = None,
    wait: WaitOption = False,
    wait_s: WaitSecondsOption = 15.0,
    as_json: JsonOption = False,
) -> None:
    """Remove your team's section."""

    async def run(client: ObjectClient) -> None:
        change = commands.apply_section(
            client, team, None, resolve_editor(editor), edit, if_version
        )
        await _apply_change(client, change, wait_s if wait else None, as_json)

    call_platform(platform, run)


@config_app.command("collect")
def collect(
    platform: PlatformOption = "",
    older_than_s: Annotated[
        float, typer.Option("--older-than-s", help="Minimum age in seconds.")
    ] = 86400.0,
    as_json: JsonOption = False,
) -> None:
    """Remove section objects that later edits have superseded."""
    outcome = call_platform(
        platform, lambda client: collect_garbage(client, older_than_s, time())
    )
    if as_json:
        print_json(outcome)
    else:
        typer.echo(f"removed {len(outcome.removed)}, kept {outcome.kept}")


async def _apply_change(
    client: ObjectClient,
    change: Awaitable[Acceptance],
    wait_s: float | None,
    as_json: bool,
) -> None:
    """Apply a change; print its acceptance, then where it is active."""
    acceptance = await change
    await report_change(
        client,
        section_progress_check(acceptance.team, acceptance.version),
        wait_s,
        as_json,
        lambda: typer.echo(_describe_acceptance(acceptance)),
        lambda instances: commands.ApplyReport(acceptance, instances),
    )


def _describe_acceptance(acceptance: Acceptance) -> str:
    section = f"section {acceptance.team} at version {acceptance.version}"
    if acceptance.superseded_by:
        return (
            f"edit {acceptance.edit} was accepted and then superseded by "
            f"{acceptance.superseded_by}; {section}"
        )
    if acceptance.unchanged:
        return f"no change: {section} by edit {acceptance.edit}"
    return f"accepted: {section} by edit {acceptance.edit}"
