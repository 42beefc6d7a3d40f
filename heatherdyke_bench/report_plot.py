"""A plot of useful answers and worst latency over time, per policy."""

from pathlib import Path

from heatherdyke_bench.report import RunReport


def plot_reports(reports: list[RunReport], path: Path) -> None:
    """Write a PNG with one line per policy, from its first seed."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (useful, worst) = pyplot.subplots(2, 1, sharex=True)
    plotted_policies: set[str] = set()
    for report in reports:
        if report.policy in plotted_policies:
            continue
        plotted_policies.add(report.policy)
        _draw(report, useful, worst)
    useful.set_ylabel("useful answers / s")
    worst.set_ylabel("worst latency (ms)")
    worst.set_xlabel("time (s)")
    useful.set_title(f"{reports[0].scenario}, {reports[0].deployment}")
    useful.legend()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)


def _draw(report: RunReport, useful, worst) -> None:
    useful_by_second: dict[int, int] = {}
    worst_by_second: dict[int, float] = {}
    for phase in report.phase_by_name.values():
        useful_by_second.update(phase.useful_by_second)
        worst_by_second.update(phase.worst_ms_by_second)
    useful.plot(
        list(useful_by_second),
        list(useful_by_second.values()),
        label=report.policy,
    )
    worst.plot(list(worst_by_second), list(worst_by_second.values()))
