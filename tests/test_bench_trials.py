"""Trials on the users' bench, compared from their journal entries."""

from datetime import UTC
from datetime import datetime

import pytest

from heatherdyke.platform.bench_journal import DayResult
from heatherdyke.platform.bench_journal import Price
from heatherdyke.platform.bench_journal import RunResult
from heatherdyke_bench.ablation import collect_journal
from heatherdyke_bench.errors import TrialError
from heatherdyke_bench.trials import compare_trials
from heatherdyke_bench.trials import days_of
from heatherdyke_bench.trials import format_changes


def run(
    reason: str, worth: float, day: str = "d", seed: int = 1, site: str = "s"
) -> RunResult:
    return RunResult(
        run_id="r",
        command="run",
        reason=reason,
        site=site,
        started_at=datetime(2026, 1, 1, tzinfo=UTC),
        days=(
            DayResult(
                name=day,
                quiet=False,
                seed=seed,
                worth=worth,
                score=worth,
                credit=worth + 0.1,
                refused=0.0,
                failed=0.0,
                violation_count=0,
                prices=(Price("GB between zones", 0.02),),
            ),
        ),
    )


RUNS = [
    run("Trial a: first", 0.1),
    run("Trial a: again", 0.7),
    run("Trial a: first", 0.8, seed=2),
    run("Trial a: first", 0.8, site="t"),
    run("Trial b: other", 0.8),
    run("Trial b: other", 0.7, seed=2),
    run("Trial b: other", 0.1, day="e"),
    run("Trial ab: other", 0.1),
]


class TestTrials:
    def test_a_trial_is_found_by_its_name_and_site(self):
        days = days_of(RUNS, "a", "s")
        assert {key: day.worth for key, day in days.items()} == {
            ("d", 1): 0.7,
            ("d", 2): 0.8,
        }

    def test_days_of_both_trials_are_compared(self):
        labels, changes = compare_trials(
            days_of(RUNS, "a", "s"), days_of(RUNS, "b", "s")
        )
        worth = changes[0]
        assert labels == ["d:1", "d:2"]
        assert worth.before == pytest.approx(0.75)
        assert worth.after == pytest.approx(0.75)
        assert worth.spread == pytest.approx(0.1414, abs=1e-3)
        table = format_changes(labels, changes)
        assert "| worth | 0.750 | 0.750 | +0.000 | 0.141 |" in table

    def test_an_unknown_trial_is_named(self):
        with pytest.raises(TrialError, match="no trial 'c' of site 's'"):
            days_of(RUNS, "c", "s")

    def test_trials_without_a_common_day_are_rejected(self):
        with pytest.raises(TrialError, match="no day in common"):
            compare_trials(
                days_of(RUNS, "a", "s"),
                {("e", 1): days_of(RUNS, "b", "s")[("e", 1)]},
            )


class TestCollectJournal:
    def test_entries_of_a_copy_are_added_as_written(self, tmp_path):
        copy, tree = tmp_path / "copy", tmp_path / "tree"
        (copy / "journal" / "blobs").mkdir(parents=True)
        (copy / "journal" / "new.json").write_text("new")
        (copy / "journal" / "blobs" / "x.txt").write_text("blob")
        (copy / "journal" / "known.json").write_text("changed")
        (tree / "journal").mkdir(parents=True)
        (tree / "journal" / "known.json").write_text("known")
        collect_journal(copy, tree)
        assert (tree / "journal" / "new.json").read_text() == "new"
        assert (tree / "journal" / "blobs" / "x.txt").read_text() == "blob"
        assert (tree / "journal" / "known.json").read_text() == "known"
