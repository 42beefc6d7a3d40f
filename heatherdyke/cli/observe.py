"""The commands ``timeline`` and ``stats``."""

import asyncio
from datetime import UTC
from datetime import datetime
from typing import Annotated

import typer

from heatherdyke.codec import encode
from heatherdyke.errors import SettingsError
from heatherdyke.net.address import split_address
from heatherdyke.observe.fleet_client import UnreachableInstance
from heatherdyke.observe.hybrid_clock import HybridTimestamp
from heatherdyke.observe.journal import Event
from heatherdyke.observe.report import StatsReport
from heatherdyke.observe.report import describe_unreachable
from heatherdyke.observe.report import follow_timeline
from heatherdyke.observe.report import read_stats
from heatherdyke.observe.report import read_timeline
from heatherdyke.observe.timeline import EventFilter

InstanceOption = Annotated[
    str,
    typer.Option(
        envvar="HEATHERDYKE_INSTANCE",
        help="Address of an instance, which lists the others.",
    ),
]
PlatformOption = Annotated[
    str,
    typer.Option(
        envvar="HEATHERDYKE_PLATFORM",
        help="Address of the platform, which lists the instances.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def timeline(
    instance: InstanceOption = "",
    platform: PlatformOption = "",
    request: Annotated[str, typer.Option(help="Request id or key.")] = "",
    team: Annotated[str, typer.Option(help="Team.")] = "",
    server: Annotated[str, typer.Option(help="Leaf id.")] = "",
    zone: Annotated[str, typer.Option(help="Availability zone.")] = "",
    event: Annotated[int, typer.Option(help="Event number.")] = 0,
    follow: Annotated[
        bool, typer.Option(help="Print new events until ^C.")
    ] = False,
    as_json: JsonOption = False,
) -> None:
    """Print the events of all reachable instances in causal order."""
    check_addresses(instance, platform)
    event_filter = EventFilter(request, team, server, zone, event)
    show = print_event_json if as_json else print_event
    if follow:
        asyncio.run(
            follow_timeline(instance, platform, event_filter, show, warn)
        )
        return
    report = asyncio.run(read_timeline(instance, platform, event_filter))
    if as_json:
        typer.echo(encode(report).decode())
        return
    for found in report.events:
        print_event(found)
    for name, count in sorted(report.overwritten_by_instance.items()):
        warn(f"{name}: {count} older events were overwritten")
    warn_unreachable(report.unreachable)


def stats(
    instance: InstanceOption = "",
    platform: PlatformOption = "",
    as_json: JsonOption = False,
) -> None:
    """Print latencies and counters merged across reachable instances."""
    check_addresses(instance, platform)
    report = asyncio.run(read_stats(instance, platform))
    if as_json:
        typer.echo(encode(report).decode())
        return
    for line in render_stats(report):
        typer.echo(line)
    warn_unreachable(report.unreachable)


def check_addresses(instance: str, platform: str) -> None:
    """Raise SettingsError if no address is given or one is invalid."""
    faults = []
    if not instance and not platform:
        faults.append("no address given: give --instance or --platform")
    for flag, address in (("instance", instance), ("platform", platform)):
        try:
            if address:
                split_address(address)
        except ValueError:
            faults.append(
                f"--{flag} {address!r} is not an IP address and port: "
                "write it as 127.0.0.1:8080"
            )
    if faults:
        raise SettingsError(faults)


def render_stats(report: StatsReport) -> list[str]:
    """Format the report as lines of text."""
    lines = [f"{report.instances} instances"]
    lines.append(
        f"{'latency':24} {'label':20} {'count':>9} {'p50 ms':>9} "
        f"{'p99 ms':>9} {'p99.9 ms':>9} {'max ms':>9}"
    )
    for row in report.latencies:
        lines.append(
            f"{row.name:24} {row.label:20} {row.count:9} {row.p50_ms:9.2f} "
            f"{row.p99_ms:9.2f} {row.p999_ms:9.2f} {row.max_ms:9.2f}"
        )
    lines.append(f"{'counter':24} {'label':20} {'count':>9}")
    for counter in report.counters:
        lines.append(f"{counter.name:24} {counter.label:20} {counter.count:9}")
    return lines


def render_event(event: Event) -> str:
    """Format the event as one line; the time is in UTC."""
    timestamp = HybridTimestamp.decode(event.stamp)
    time = datetime.fromtimestamp(timestamp.wall_ms / 1000, UTC)
    fields = " ".join(
        f"{name}={value}" for name, value in event.fields.items()
    )
    line = (
        f"{time:%H:%M:%S}.{timestamp.wall_ms % 1000:03}+{timestamp.counter} "
        f"{event.zone}/{event.instance} {event.number} {event.name} {fields}"
    )
    return line.rstrip()


def print_event(event: Event) -> None:
    """Print an event as a line of text."""
    typer.echo(render_event(event))


def print_event_json(event: Event) -> None:
    """Print an event as a line of JSON."""
    typer.echo(encode(event).decode())


def warn(text: str) -> None:
    """Print a warning to standard error."""
    typer.echo(text, err=True)


def warn_unreachable(unreachable: list[UnreachableInstance]) -> None:
    """Print a warning for each instance missing from the output."""
    for missing in unreachable:
        warn(describe_unreachable(missing))
