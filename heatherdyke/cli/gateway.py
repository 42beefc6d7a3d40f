"""The commands ``explain`` and ``check-settings`` of the gateway."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from heatherdyke.gateway.explain import explain as explain_request
from heatherdyke.gateway.explain import render
from heatherdyke.platform.settings import load_settings


def explain(
    request_id: Annotated[str, typer.Argument(help="Request id.")],
) -> None:
    """Print a request's events from gateway logs on standard input."""
    report = explain_request(request_id, sys.stdin)
    typer.echo("\n".join(render(report)))
    if not report.entries:
        raise typer.Exit(1)


def check_settings(
    path: Annotated[Path, typer.Argument(help="Settings file.")],
) -> None:
    """Validate a gateway's settings file and print its main settings."""
    settings = load_settings(path)
    typer.echo(
        f"{settings.name} in {settings.zone}: clients at "
        f"{settings.client_address}, health at {settings.health_address}, "
        f"store at {settings.store.address}"
    )
