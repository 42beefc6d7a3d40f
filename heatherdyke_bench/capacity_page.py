"""Renders docs/CAPACITY.md from measured slopes."""

from importlib.resources import files

from heatherdyke_bench.capacity_rows import Row
from heatherdyke_bench.capacity_rows import Slopes
from heatherdyke_bench.capacity_rows import row_builders
from heatherdyke_bench.slopes import Slope

TEXT = "capacity_text.md"
ROWS_MARK = "<!-- rows -->"
SLOPES_MARK = "<!-- slopes -->"
ROWS_HEAD = (
    "| role | what | at the target | verdict | mechanism |\n"
    "| --- | --- | ---: | --- | --- |\n"
)
SLOPES_HEAD = (
    "| slope | points (size: cost) | at 0 | slope | standard error | rms | "
    "unit |\n| --- | --- | ---: | ---: | ---: | ---: | --- |\n"
)


def render_page(slopes: Slopes) -> str:
    """Return the page: the text around it with both tables filled in."""
    rows = [row for make in row_builders for row in make(slopes)]
    text = (files("heatherdyke_bench") / TEXT).read_text()
    table = ROWS_HEAD + "".join(_render_row(row) for row in rows)
    measured = SLOPES_HEAD + "".join(
        _render_slope(slopes[name]) for name in sorted(slopes)
    )
    text = text.replace(ROWS_MARK, table.rstrip())
    return text.replace(SLOPES_MARK, measured.rstrip())


def _render_row(row: Row) -> str:
    amount = f"{row.amount:,.4g}" if row.amount < 1e4 else f"{row.amount:,.0f}"
    return (
        f"| {row.role} | {row.what} | {amount} {row.unit} | "
        f"{row.verdict} | {row.mechanism} |\n"
    )


def _render_slope(slope: Slope) -> str:
    points = ", ".join(f"{p.x:g}: {p.y:.4g}" for p in slope.points)
    return (
        f"| {slope.name} | {points} | {slope.intercept:.4g} | "
        f"{slope.slope:.4g} | {slope.slope_error:.2g} | "
        f"{slope.rms_error:.2g} | {slope.y_unit} by {slope.x_unit} |\n"
    )
