"""The command ``usage``."""

import asyncio
from typing import Annotated

import typer

from heatherdyke.cli.observe import InstanceOption
from heatherdyke.cli.observe import JsonOption
from heatherdyke.cli.observe import PlatformOption
from heatherdyke.cli.observe import check_addresses
from heatherdyke.codec import encode
from heatherdyke.usage.report import describe_usage
from heatherdyke.usage.report import read_usage


def usage(
    instance: InstanceOption = "",
    platform: PlatformOption = "",
    team: Annotated[str, typer.Option(help="Show only this team.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Print each team's usage, and what could not be read."""
    check_addresses(instance, platform)
    report = asyncio.run(read_usage(instance, platform))
    if as_json:
        typer.echo(encode(report).decode())
    else:
        typer.echo(describe_usage(report, team))
