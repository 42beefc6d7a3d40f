"""Command line of the experiment tool."""

import asyncio
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import HeatherdykeError
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.mechanisms import parse_disabled
from heatherdyke.platform.bench_journal import read_runs
from heatherdyke_bench.ablation import Ablation
from heatherdyke_bench.ablation import Play
from heatherdyke_bench.ablation import format_effects
from heatherdyke_bench.deployments import deployments
from heatherdyke_bench.experiment import Experiment
from heatherdyke_bench.fleet import Policy
from heatherdyke_bench.lost_requests import count_lost
from heatherdyke_bench.lost_requests import format_lost
from heatherdyke_bench.lost_requests import read_lines
from heatherdyke_bench.report import RunReport
from heatherdyke_bench.report_plot import plot_reports
from heatherdyke_bench.report_table import format_tables
from heatherdyke_bench.scenario import load_scenario
from heatherdyke_bench.scenario import scenario_names
from heatherdyke_bench.score_history import plot_history
from heatherdyke_bench.score_history import read_scores
from heatherdyke_bench.trials import compare_trials
from heatherdyke_bench.trials import days_of
from heatherdyke_bench.trials import format_changes

BASELINE = Policy("baseline", "home-routing,replica-choice,hedging,cold-ramp")
FULL = Policy("full")

app = typer.Typer(no_args_is_help=True, add_completion=False)

_Deployment = Annotated[str, typer.Option(help="A deployment's name.")]
_Seeds = Annotated[str, typer.Option(help="Comma-separated random seeds.")]
_Rate = Annotated[
    float, typer.Option(help="Multiplier of the full search rate.")
]
_Json = Annotated[Path | None, typer.Option("--json", help="File to write.")]
_Plot = Annotated[Path | None, typer.Option("--plot", help="PNG to write.")]


@app.command("scenarios")
def list_scenarios() -> None:
    """Print the names and descriptions of all scenarios."""
    for name in scenario_names():
        typer.echo(f"{name}: {load_scenario(name).description}")


@app.command()
def history(
    site: Annotated[str, typer.Argument(help="The site's name.")],
    journal: Annotated[
        Path, typer.Option(help="Directory of the journal entries.")
    ] = Path("journal"),
    plot: Annotated[Path, typer.Option(help="PNG to write.")] = Path(
        "history.png"
    ),
) -> None:
    """Plot a site's worth, score and prices over all its scored runs."""
    runs = read_scores(journal, site)
    plot_history(runs, plot)
    typer.echo(f"plotted {len(runs)} scored runs of {site} to {plot}")


@app.command()
def trials(
    before: Annotated[str, typer.Argument(help="A trial's name.")],
    after: Annotated[str, typer.Argument(help="Another trial's name.")],
    site: Annotated[str, typer.Option(help="The site's name.")],
    journal: Annotated[
        Path, typer.Option(help="Directory of the journal entries.")
    ] = Path("journal"),
) -> None:
    """Compare two trials by the days that both played."""
    runs, _ = read_runs(journal)
    labels, changes = compare_trials(
        days_of(runs, before, site), days_of(runs, after, site)
    )
    typer.echo(format_changes(labels, changes))


@app.command()
def lost(
    logs: Annotated[list[Path], typer.Argument(help="Gateway logs.")],
    interval_s: Annotated[
        float, typer.Option(min=0.1, help="Length of an interval, seconds.")
    ] = 2.0,
) -> None:
    """Print when requests were late, refused or failed, and why."""
    typer.echo(format_lost(count_lost(read_lines(logs), interval_s)))


@app.command()
def ablate(
    sites: Annotated[list[Path], typer.Argument(help="Site files.")],
    bench: Annotated[Path, typer.Option(help="The users' bench program.")],
    work: Annotated[
        Path, typer.Option(help="Directory for copies of the source tree.")
    ],
    days: Annotated[
        str, typer.Option(help="Comma-separated days.")
    ] = "trouble-1,scale-1",
    seeds: Annotated[
        str, typer.Option(help="Seeds of variations of the days.")
    ] = "",
    mechanisms: Annotated[
        str, typer.Option(help="Mechanisms to disable, all by default.")
    ] = "",
    jobs: Annotated[int, typer.Option(help="Days played at a time.")] = 2,
) -> None:
    """Print what each mechanism of the gateway is worth at each site."""
    chosen = parse_disabled(mechanisms) or frozenset(Mechanism)
    ablation = Ablation(
        bench,
        Path.cwd(),
        work,
        [
            Play(site, day, seed)
            for site in sites
            for day in days.split(",")
            for seed in ("", *filter(None, seeds.split(",")))
        ],
        [mechanism for mechanism in Mechanism if mechanism in chosen],
        jobs,
        lambda line: typer.echo(line, err=True),
    )
    typer.echo(format_effects(asyncio.run(ablation.run())))


@app.command()
def run(
    scenario: str,
    deployment: _Deployment = "trincea-calda",
    disable: str = "",
    seeds: _Seeds = "1",
    rate: _Rate = 1.0,
    json: _Json = None,
    plot: _Plot = None,
) -> None:
    """Run a scenario under one policy."""
    policy = Policy("policy" if disable else "full", disable)
    _run(scenario, deployment, [policy], seeds, rate, json, plot)


@app.command()
def compare(
    scenario: str,
    deployment: _Deployment = "trincea-calda",
    disable: Annotated[
        str, typer.Option(help="Mechanisms disabled in the first policy.")
    ] = BASELINE.disable,
    other_disable: Annotated[
        str, typer.Option(help="Mechanisms disabled in the second policy.")
    ] = "",
    tree: Annotated[
        str, typer.Option(help="Source tree of the first policy.")
    ] = ".",
    other_tree: Annotated[
        str, typer.Option(help="Source tree of the second policy.")
    ] = ".",
    seeds: _Seeds = "1,2,3",
    rate: _Rate = 1.0,
    json: _Json = None,
    plot: _Plot = None,
) -> None:
    """Compare two policies or source trees, alternating their runs."""
    is_baseline = disable == BASELINE.disable
    policies = [
        Policy(BASELINE.name if is_baseline else "first", disable, tree),
        Policy(
            "second" if other_disable else FULL.name, other_disable, other_tree
        ),
    ]
    _run(scenario, deployment, policies, seeds, rate, json, plot)


@app.command()
def show(file: Path) -> None:
    """Print the tables of a report file written with ``--json``."""
    reports = decode(file.read_bytes(), list[RunReport])
    typer.echo(format_tables(reports))


def _run(
    scenario: str,
    deployment: str,
    policies: list[Policy],
    seeds: str,
    rate: float,
    json: Path | None,
    plot: Path | None,
) -> None:
    loaded = load_scenario(scenario)
    experiment = Experiment(
        loaded,
        loaded.adjust_deployment(deployments.find(deployment)),
        policies,
        [int(seed) for seed in seeds.split(",")],
        rate,
    )
    reports = asyncio.run(
        experiment.run(lambda line: typer.echo(line, err=True))
    )
    typer.echo(format_tables(reports))
    if json is not None:
        json.write_bytes(msgspec.json.format(encode(reports)))
    if plot is not None:
        plot_reports(reports, plot)


def main() -> None:
    """Run the command line; print known errors without a traceback."""
    try:
        app()
    except HeatherdykeError as error:
        typer.echo(f"Error: {error}", err=True)
        raise SystemExit(error.exit_code) from None


if __name__ == "__main__":
    main()
