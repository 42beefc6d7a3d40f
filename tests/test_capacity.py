"""The capacity page and the fits that it is computed from."""

from pathlib import Path

import pytest

import heatherdyke_bench
from heatherdyke_bench.capacity import read_slopes
from heatherdyke_bench.capacity_page import render_page
from heatherdyke_bench.capacity_rows import Row
from heatherdyke_bench.slopes import MIN_POINTS
from heatherdyke_bench.slopes import Point
from heatherdyke_bench.slopes import Series
from heatherdyke_bench.slopes import fit_line

ROOT = Path(heatherdyke_bench.__file__).parent.parent


class TestCapacityPage:
    def test_page_is_rendered_from_the_stored_slopes(self):
        page = (ROOT / "docs" / "CAPACITY-OWN-INTERFACE.md").read_text()
        assert page == render_page(read_slopes()), (
            "run python -m heatherdyke_bench.capacity page "
            "> docs/CAPACITY-OWN-INTERFACE.md"
        )

    def test_each_slope_has_enough_points(self):
        slopes = read_slopes().values()
        assert all(len(slope.points) >= MIN_POINTS for slope in slopes)

    def test_verdict_gives_the_factor_by_which_a_limit_is_exceeded(self):
        row = Row("home", "calls", 300.0, "/s", 100.0, "")
        assert row.verdict == "**does not fit: 3 x 100**"


class TestFit:
    def test_exact_line_has_no_error(self):
        points = [Point(x, 3 + 2 * x) for x in (1, 2, 4, 8)]
        slope = fit_line(Series("s", "x", "y", points))
        assert slope.slope == pytest.approx(2)
        assert slope.value_at(10) == pytest.approx(23)
        assert slope.slope_error == pytest.approx(0, abs=1e-9)

    def test_too_few_points_are_rejected(self):
        with pytest.raises(ValueError, match="4 or more"):
            fit_line(Series("s", "x", "y", [Point(1, 1)] * 3))
