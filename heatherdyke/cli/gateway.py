"""The commands ``explain`` and ``check-settings`` of the gateway."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from heatherdyke.gateway.explain import explain as explain_request
from heatherdyke.gateway.explain import render
from heatherdyke.platform.settings import load_settings


def explain(
    request_id: Annotated[str, typer.Argument(help="The request's id.")],
) -> None:
    """Tell a request's story from gateway logs on standard input."""
    story = explain_request(request_id, sys.stdin)
    typer.echo("\n".join(render(story)))
    if not story.entries:
        raise typer.Exit(1)


def check_settings(
    path: Annotated[Path, typer.Argument(help="The settings file.")],
) -> None:
    """Check a gateway's settings file and print what it says."""
    settings = load_settings(path)
    typer.echo(
        f"{settings.name} in {settings.zone}: clients at "
        f"{settings.client_address}, health at {settings.health_address}, "
        f"store at {settings.store.address}"
    )
