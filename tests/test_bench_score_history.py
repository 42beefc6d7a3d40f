"""Worth, score and prices of scored runs, read from journal entries."""

from datetime import datetime

import msgspec
import pytest

from heatherdyke.platform.bench_journal import read_runs
from heatherdyke_bench.errors import FleetError
from heatherdyke_bench.score_history import mean_prices
from heatherdyke_bench.score_history import plot_history
from heatherdyke_bench.score_history import read_scores
from heatherdyke_bench.score_history import values_by_day


def day(name: str, worth: float, memory: float) -> dict:
    return {
        "name": name,
        "slot": "trouble",
        "G": worth,
        "score": min(1.0, worth),
        "rules": {},
        "prices": [["memory", 9.0, memory], ["exits", 0.0, 0.0]],
        "unknown": 1,
    }


def entry(number: int, days: list[dict], command: str = "score") -> bytes:
    started = datetime(2026, 1, 1, number).isoformat()
    return msgspec.json.encode(
        {
            "id": f"e{number}",
            "cmd": command,
            "site": "s",
            "at": [started, started],
            "days": days,
        }
    )


@pytest.fixture()
def journal(tmp_path):
    files = [
        entry(2, [day("trouble-1", 0.8, 0.02), day("fresh-1", 0.1, 0.04)]),
        entry(1, [day("trouble-1", 0.7, 0.03)]),
        entry(3, [day("trouble-1", 0.5, 0.9)], "run"),
        entry(4, []),
        b"no entry",
    ]
    for number, content in enumerate(files):
        (tmp_path / f"{number}.json").write_bytes(content)
    return tmp_path


class TestReadRuns:
    def test_runs_are_sorted_and_unreadable_files_are_named(self, journal):
        runs, unreadable = read_runs(journal)
        assert [run.run_id for run in runs] == ["e1", "e2", "e3"]
        assert len(unreadable) == 1
        assert unreadable[0].startswith("4.json: ")


class TestHistory:
    def test_values_and_prices_are_those_of_the_scored_runs(self, journal):
        runs = read_scores(journal, "s")
        assert values_by_day(runs, "worth") == {"trouble-1": [0.7, 0.8]}
        prices = mean_prices(runs)
        assert prices == {"memory": [0.03, pytest.approx(0.03)]}

    def test_unknown_site_lists_the_known_sites(self, journal):
        with pytest.raises(FleetError, match="name one of: s"):
            read_scores(journal, "t")

    def test_plot_is_written_as_png(self, journal, tmp_path):
        path = tmp_path / "history.png"
        plot_history(read_scores(journal, "s"), path)
        assert path.read_bytes().startswith(b"\x89PNG")
