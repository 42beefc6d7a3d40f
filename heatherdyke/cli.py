"""The command line; each command parses and calls an importable function."""

import sys

import typer

from heatherdyke import __version__
from heatherdyke.errors import HeatherdykeError

app = typer.Typer(
    name="heatherdyke",
    help="A query tier over many shards that answers for outcomes.",
    no_args_is_help=True,
    add_completion=False,
)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    """Run the command line; errors go to standard error with their remedy.

    Exit codes: 0 done, 1 failed, 2 bad flags or input, 4 platform not
    available, 5 conflict with another edit.
    """
    try:
        app()
    except HeatherdykeError as error:
        typer.echo(f"Error: {error}", err=True)
        sys.exit(error.exit_code)
