"""Measures cost slopes and renders the capacity page from them.

``python -m heatherdyke_bench.capacity measure [NAME...]`` measures and
stores slopes; ``python -m heatherdyke_bench.capacity page >
docs/CAPACITY-OWN-INTERFACE.md`` computes the page from the stored slopes.
"""

from pathlib import Path

import msgspec
import typer
from loguru import logger

from heatherdyke.codec import encode
from heatherdyke_bench import measure_fleet  # noqa: F401
from heatherdyke_bench import measure_in_process  # noqa: F401
from heatherdyke_bench.capacity_page import render_page
from heatherdyke_bench.slopes import Slope
from heatherdyke_bench.slopes import fit_line
from heatherdyke_bench.slopes import measurements

SLOPES_PATH = Path(__file__).with_name("slopes.json")

app = typer.Typer(no_args_is_help=True, add_completion=False)


def read_slopes() -> dict[str, Slope]:
    """Return the stored slopes by name."""
    if not SLOPES_PATH.exists():
        return {}
    return msgspec.json.decode(SLOPES_PATH.read_bytes(), type=dict[str, Slope])


def write_slopes(slope_by_name: dict[str, Slope]) -> None:
    """Store the slopes, sorted by name."""
    ordered = dict(sorted(slope_by_name.items()))
    SLOPES_PATH.write_bytes(msgspec.json.format(encode(ordered)) + b"\n")


@app.command()
def measure(names: list[str] = typer.Argument(default=None)) -> None:
    """Run the measurements NAMES, or all, and store their slopes."""
    logger.remove()
    slope_by_name = read_slopes()
    for name in names or list(measurements.by_name):
        for series in measurements.find(name)():
            slope = fit_line(series)
            slope_by_name[slope.name] = slope
            typer.echo(
                f"{slope.name}: {slope.slope:.6g} {slope.y_unit} by "
                f"{slope.x_unit}, intercept {slope.intercept:.6g}, standard "
                f"error {slope.slope_error:.2g}"
            )
            write_slopes(slope_by_name)


@app.command()
def page() -> None:
    """Print the page, computed from the stored slopes."""
    typer.echo(render_page(read_slopes()), nl=False)


if __name__ == "__main__":
    app()
