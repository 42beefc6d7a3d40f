"""Mechanisms that can be disabled, and the ablation that compares them."""

from pathlib import Path

import msgspec
import pytest
from gateway_entries import entry

from heatherdyke.errors import SettingsError
from heatherdyke.errors import UnreadableObject
from heatherdyke.gateway.leaf_choice import choose_leaf
from heatherdyke.gateway.leaf_choice import enabled_costs
from heatherdyke.gateway.leaf_table import LeafTable
from heatherdyke.gateway.mechanisms import DISABLE_VARIABLE
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.mechanisms import parse_disabled
from heatherdyke.platform.bench_report import DayReport
from heatherdyke.platform.bench_report import read_day_report
from heatherdyke_bench.ablation import Ablation
from heatherdyke_bench.ablation import Play
from heatherdyke_bench.ablation import disable_in
from heatherdyke_bench.ablation import effect_of
from heatherdyke_bench.ablation import format_effects
from heatherdyke_bench.errors import AblationError

MEDIAN_S = 0.02


class TestParseDisabled:
    def test_names_are_separated_by_commas(self):
        assert parse_disabled("hedging,groups") == {
            Mechanism.HEDGING,
            Mechanism.GROUPS,
        }
        assert parse_disabled("") == frozenset()

    def test_an_unknown_name_is_rejected_with_the_known_ones(self):
        with pytest.raises(SettingsError, match="'hedgin' .* use one of hed"):
            parse_disabled("hedgin,groups")


class TestDisabledCosts:
    """Each property counts in the choice of a leaf only if enabled."""

    @pytest.mark.parametrize(
        "mechanism",
        [
            Mechanism.SLOW_LEAFS,
            Mechanism.STALLED_LEAFS,
            Mechanism.FAILING_LEAFS,
            Mechanism.NEAR_LEAFS,
        ],
    )
    def test_without_its_cost_the_worse_leaf_is_chosen(self, mechanism):
        table = LeafTable()
        table.apply(entry("worse", zone="b"), 0.0)
        table.apply(entry("better", zone="a"), 0.0)
        worse = table.leaf_by_id["worse"]
        better = table.leaf_by_id["better"]
        if mechanism is Mechanism.SLOW_LEAFS:
            for step in range(9):
                worse.record_response(step / 10, 9 * MEDIAN_S, MEDIAN_S)
        if mechanism is Mechanism.STALLED_LEAFS:
            worse.start(1, 0.5)
            better.start(2, 1.0)
        if mechanism is Mechanism.FAILING_LEAFS:
            worse.record_failure(1.0)
        others = set(Mechanism) - {mechanism}
        leafs = [worse, better]
        only = enabled_costs(others)
        assert choose_leaf(leafs, (), "a", MEDIAN_S, 1.0, only) is better
        none = enabled_costs(Mechanism)
        assert choose_leaf(leafs, (), "a", MEDIAN_S, 1.0, none) is worse


class TestAblation:
    def test_the_deploy_file_names_the_disabled_mechanism(self):
        text = "[roles.gateway]\nrun = 'x'\n"
        changed = disable_in(text, Mechanism.GROUPS)
        assert f'{DISABLE_VARIABLE} = "groups"' in changed
        assert changed.endswith("run = 'x'\n")

    def test_an_effect_is_the_mean_loss_over_the_plays_of_a_site(self):
        plays = [Play(Path("s.toml"), "d", seed) for seed in ("", "1")]
        other = Play(Path("t.toml"), "d", "")
        baseline = {
            play: DayReport(0.8, 0.9, 0.9, ()) for play in [*plays, other]
        }
        without = {
            plays[0]: DayReport(0.7, 0.8, 0.9, ("LOST",)),
            plays[1]: DayReport(0.6, 0.9, 0.8, ()),
            other: DayReport(0.1, 0.1, 0.1, ("DRAIN",)),
        }
        effect = effect_of(Mechanism.HEDGING, "s", baseline, without)
        assert effect.worth == pytest.approx(0.15)
        assert effect.spread == pytest.approx(0.0707, abs=1e-3)
        assert effect.violations == ("LOST",)
        assert "| hedging | s | +0.150 |" in format_effects([effect])

    def test_a_missing_file_is_named(self, tmp_path):
        play = Play(tmp_path / "missing.toml", "d", "")
        with pytest.raises(AblationError, match="missing.toml is not a file"):
            Ablation(Path(__file__), tmp_path, tmp_path, [play], [], 1, print)

    def test_a_report_is_read_or_named(self, tmp_path):
        path = tmp_path / "report.json"
        wire = {
            "G": 0.7,
            "parts": [["whole day", 0.5, 0.9]],
            "breaks": {"LOST": {}},
            "all": {"n": 10, "in_aim": 9},
        }
        path.write_bytes(msgspec.json.encode(wire))
        assert read_day_report(path) == DayReport(0.7, 0.9, 0.9, ("LOST",))
        path.write_text("{")
        with pytest.raises(UnreadableObject, match="report.json"):
            read_day_report(path)
