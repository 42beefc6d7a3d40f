"""The upper bound on searches in time while shards are slow."""

from dataclasses import replace

import pytest

from heatherdyke.errors import SettingsError
from heatherdyke_models.upper_bound import SlowShards
from heatherdyke_models.upper_bound import upper_bound

LOAD = SlowShards(
    shards=30,
    slow=6,
    slowness=8.0,
    leafs=2,
    slots=3,
    work_s=0.04,
    spread=0.35,
    due_s=0.24,
    min_share=0.89,
    searches_per_s=27.0,
)
SAMPLES = 500


class TestUpperBound:
    def test_the_same_seed_gives_the_same_bound(self):
        assert upper_bound(LOAD, 1, SAMPLES) == upper_bound(LOAD, 1, SAMPLES)

    def test_leafs_that_are_fast_enough_answer_all_searches(self):
        bound = upper_bound(replace(LOAD, slowness=1.0), 1, SAMPLES)
        assert bound.in_time > 0.99
        assert bound.credit > 0.99

    def test_leafs_that_are_much_too_slow_answer_none(self):
        bound = upper_bound(replace(LOAD, slowness=40.0), 1, SAMPLES)
        assert bound.in_time == 0.0

    def test_shards_that_may_be_missing_cost_only_credit(self):
        """24 of 30 shards are fast and reach the minimum share alone."""
        load = replace(LOAD, slowness=40.0, min_share=0.8)
        bound = upper_bound(load, 1, SAMPLES)
        assert bound.in_time == 1.0
        assert bound.credit == pytest.approx(0.64)

    def test_more_searches_get_fewer_attempts_each(self):
        few = upper_bound(LOAD, 1, SAMPLES)
        many = upper_bound(replace(LOAD, searches_per_s=90.0), 1, SAMPLES)
        assert many.attempts < few.attempts
        assert many.in_time <= few.in_time

    def test_all_faults_are_named(self):
        with pytest.raises(SettingsError, match="--slow must .* --due-s must"):
            upper_bound(replace(LOAD, slow=31, due_s=0.0), 1)
