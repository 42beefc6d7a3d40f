"""Plots worth, score and prices of a site over its scored runs."""

from pathlib import Path

from heatherdyke.platform.bench_journal import DayResult
from heatherdyke.platform.bench_journal import RunResult
from heatherdyke.platform.bench_journal import read_runs
from heatherdyke_bench.errors import FleetError

# Days generated for a single run, whose names do not recur.
ONE_RUN_DAY_PREFIX = "fresh"
# Prices below this in all runs would be flat lines at zero.
MIN_PLOTTED_PRICE = 0.001


def read_scores(directory: Path, site: str) -> list[RunResult]:
    """Return the site's scored runs, oldest first.

    Raises FleetError if there are none.
    """
    runs, _ = read_runs(directory)
    scores = [r for r in runs if r.command == "score" and r.site == site]
    if not scores:
        known = ", ".join(sorted({run.site for run in runs}))
        raise FleetError(
            f"{directory} has no scored run of {site!r}",
            f"name one of: {known}",
        )
    return scores


def values_by_day(
    runs: list[RunResult], value: str
) -> dict[str, list[float | None]]:
    """Return ``worth`` or ``score`` by day; None for runs without it."""
    names = {
        day.name
        for run in runs
        for day in run.days
        if not day.name.startswith(ONE_RUN_DAY_PREFIX)
    }
    return {
        name: [_value(run, name, value) for run in runs]
        for name in sorted(names)
    }


def mean_prices(runs: list[RunResult]) -> dict[str, list[float]]:
    """Return by kind the mean loss of worth per day, for each run.

    Kinds below MIN_PLOTTED_PRICE in all runs are left out.
    """
    kinds = {
        price.kind for run in runs for day in run.days for price in day.prices
    }
    means_by_kind = {
        kind: [_mean_price(run.days, kind) for run in runs] for kind in kinds
    }
    return {
        kind: means
        for kind, means in sorted(means_by_kind.items())
        if max(means) >= MIN_PLOTTED_PRICE
    }


def plot_history(runs: list[RunResult], path: Path) -> None:
    """Write a PNG with worth and score by day, and prices by kind."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(3, 1, sharex=True, figsize=(9, 12))
    numbers = range(1, len(runs) + 1)
    for axis, value in zip(axes, ("worth", "score"), strict=False):
        for name, values in values_by_day(runs, value).items():
            axis.plot(numbers, values, marker="o", label=name)
        axis.set_ylabel(value)
        axis.legend(fontsize="small")
    for kind, means in mean_prices(runs).items():
        axes[2].plot(numbers, means, marker="o", label=kind)
    axes[2].set_ylabel("mean loss of worth per day")
    axes[2].legend(fontsize="small")
    axes[2].set_xticks(list(numbers), [run.run_id for run in runs])
    axes[2].tick_params(axis="x", labelrotation=60)
    axes[0].set_title(f"{runs[0].site}: {len(runs)} scored runs")
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)


def _value(run: RunResult, name: str, value: str) -> float | None:
    for day in run.days:
        if day.name == name:
            return getattr(day, value)
    return None


def _mean_price(days: tuple[DayResult, ...], kind: str) -> float:
    losses = [p.worth for day in days for p in day.prices if p.kind == kind]
    return sum(losses) / max(1, len(days))
