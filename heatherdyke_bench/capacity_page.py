"""Renders docs/CAPACITY-OWN-INTERFACE.md from measured slopes."""

from importlib.resources import files

from heatherdyke_bench.capacity_rows import Row
from heatherdyke_bench.capacity_rows import Slopes
from heatherdyke_bench.capacity_rows import row_builders
from heatherdyke_bench.slopes import Slope

TEXT_FILE = "capacity_text.md"
ROWS_PLACEHOLDER = "<!-- rows -->"
SLOPES_PLACEHOLDER = "<!-- slopes -->"
ROWS_HEADER = (
    "| role | quantity | at the target | verdict | mechanism |\n"
    "| --- | --- | ---: | --- | --- |\n"
)
SLOPES_HEADER = (
    "| series | points (size: cost) | intercept | slope | standard error | "
    "rms error | unit |\n| --- | --- | ---: | ---: | ---: | ---: | --- |\n"
)


def render_page(slopes: Slopes) -> str:
    """Return the page: the fixed text with both tables inserted."""
    rows = [row for make in row_builders for row in make(slopes)]
    text = (files("heatherdyke_bench") / TEXT_FILE).read_text()
    table = ROWS_HEADER + "".join(_render_row(row) for row in rows)
    measured = SLOPES_HEADER + "".join(
        _render_slope(slopes[name]) for name in sorted(slopes)
    )
    text = text.replace(ROWS_PLACEHOLDER, table.rstrip())
    return text.replace(SLOPES_PLACEHOLDER, measured.rstrip())


def _render_row(row: Row) -> str:
    amount = f"{row.amount:,.4g}" if row.amount < 1e4 else f"{row.amount:,.0f}"
    return (
        f"| {row.role} | {row.quantity} | {amount} {row.unit} | "
        f"{row.verdict} | {row.mechanism} |\n"
    )


def _render_slope(slope: Slope) -> str:
    points = ", ".join(f"{p.x:g}: {p.y:.4g}" for p in slope.points)
    return (
        f"| {slope.name} | {points} | {slope.intercept:.4g} | "
        f"{slope.slope:.4g} | {slope.slope_error:.2g} | "
        f"{slope.rms_error:.2g} | {slope.y_unit} by {slope.x_unit} |\n"
    )
