"""The command-line interface; commands call functions of other modules."""

import asyncio
import sys
from typing import Annotated

import typer

from heatherdyke import __version__
from heatherdyke.cli.config import config_app
from heatherdyke.cli.gateway import check_settings
from heatherdyke.cli.gateway import explain
from heatherdyke.cli.observe import stats
from heatherdyke.cli.observe import timeline
from heatherdyke.cli.quarantine import quarantine_app
from heatherdyke.cli.standin import app as standin
from heatherdyke.cli.usage import usage
from heatherdyke.cli.zone import zone_app
from heatherdyke.errors import HeatherdykeError
from heatherdyke.settings import Settings

app = typer.Typer(
    name="heatherdyke",
    help="A query tier that routes searches and runs to many shards.",
    no_args_is_help=True,
    add_completion=False,
)


def _env_option(name: str, text: str) -> typer.models.OptionInfo:
    variable = "HEATHERDYKE_" + name.strip("-").replace("-", "_").upper()
    return typer.Option(name, envvar=variable, help=text)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.command()
def serve(
    name: Annotated[
        str, _env_option("--name", "Instance name, stable over restarts.")
    ] = "",
    zone: Annotated[str, _env_option("--zone", "Availability zone.")] = "",
    listen: Annotated[
        str, _env_option("--listen", "IP address and port for callers.")
    ] = "",
    internal_listen: Annotated[
        str,
        _env_option(
            "--internal-listen", "IP address and port for peers and operators."
        ),
    ] = "",
    platform: Annotated[
        str,
        _env_option("--platform", "IP address and port of the object API."),
    ] = "",
    advertise: Annotated[
        str,
        _env_option(
            "--advertise", "Address for peers, if not INTERNAL-LISTEN."
        ),
    ] = "",
    peer_key: Annotated[
        str, _env_option("--peer-key", "Secret shared by all instances.")
    ] = "",
    peers: Annotated[
        str,
        _env_option(
            "--peers", "Instances to query while the platform is down."
        ),
    ] = "",
    source: Annotated[
        str,
        _env_option("--source", "Source IP address of outgoing connections."),
    ] = "",
    heartbeat_interval_s: Annotated[
        float,
        _env_option("--heartbeat-interval-s", "Seconds between heartbeats."),
    ] = 0.5,
    lease_s: Annotated[
        float,
        _env_option("--lease-s", "Duration of the roster lease in seconds."),
    ] = 2.0,
    drain_s: Annotated[
        float,
        _env_option("--drain-s", "Maximum duration of a shutdown in seconds."),
    ] = 20.0,
    extra_load_share: Annotated[
        float,
        _env_option(
            "--extra-load-share",
            "Maximum ratio of hedges and retries to other leaf searches.",
        ),
    ] = 0.05,
    log_level: Annotated[
        str, _env_option("--log-level", "DEBUG, INFO, WARNING or ERROR.")
    ] = "INFO",
    disable: Annotated[
        str, _env_option("--disable", "Mechanisms to disable, for tests.")
    ] = "",
) -> None:
    """Run an entry instance until SIGTERM."""
    settings = Settings.from_values(
        disabled=disable,
        peers=peers,
        name=name,
        zone=zone,
        listen=listen,
        internal_listen=internal_listen,
        peer_key=peer_key,
        platform=platform,
        advertise=advertise,
        source=source,
        heartbeat_interval_s=heartbeat_interval_s,
        lease_s=lease_s,
        drain_s=drain_s,
        log_level=log_level,
        extra_load_share=extra_load_share,
    )
    from heatherdyke.instance import Instance
    from heatherdyke.net.http_connection import set_source_host
    from heatherdyke.observe.log_output import configure_logging

    configure_logging(settings.log_level)
    set_source_host(settings.source)

    asyncio.run(Instance.from_settings(settings).serve())


@app.command()
def search(
    query: str,
    address: Annotated[
        str, _env_option("--address", "IP address and port of an instance.")
    ],
    key: Annotated[str, _env_option("--key", "Your team's key.")],
    service: Annotated[
        list[str],
        typer.Option("--service", help="Service to search; repeatable."),
    ],
    urgency: Annotated[
        str,
        _env_option("--urgency", "Urgency class from your team's section."),
    ] = "default",
    deadline_ms: Annotated[
        int | None, _env_option("--deadline-ms", "Deadline in milliseconds.")
    ] = None,
    wanted_coverage: Annotated[
        float | None,
        _env_option("--wanted-coverage", "Coverage to aim for, 0 to 1."),
    ] = None,
    limit: Annotated[
        int, _env_option("--limit", "Maximum number of items.")
    ] = 10,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Search services and print the answer with its coverage."""
    from heatherdyke.callers.client import CallerClient
    from heatherdyke.callers.client import describe_answer
    from heatherdyke.codec import encode
    from heatherdyke.messages import SearchRequest

    request = SearchRequest(
        service, query, urgency, deadline_ms, wanted_coverage, limit
    )
    answer = asyncio.run(CallerClient(address, key).search(request))
    typer.echo(encode(answer) if as_json else describe_answer(answer))


@app.command()
def demo() -> None:
    """Run searches and an archive pull against embedded stand-ins."""
    from heatherdyke.standin.demo import run_demo

    asyncio.run(run_demo(typer.echo))


app.command()(timeline)
app.command()(stats)
app.command()(explain)
app.command()(check_settings)
app.command()(usage)
app.add_typer(standin)
app.add_typer(config_app)
app.add_typer(zone_app)
app.add_typer(quarantine_app)


def main() -> None:
    """Run the command line; print errors with their remedy to standard error.

    Exit codes: 0 success, 1 failure, 2 invalid flags or input, 3 accepted but
    not active on every instance in time, 4 platform unavailable, 5 conflict
    with another edit.
    """
    try:
        app()
    except HeatherdykeError as error:
        typer.echo(f"Error: {error}", err=True)
        sys.exit(error.exit_code)
