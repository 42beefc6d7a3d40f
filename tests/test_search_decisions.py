"""Coverage, merging, load balancing and hedging."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from heatherdyke.messages import Item
from heatherdyke.messages import Part
from heatherdyke.messages import PartState
from heatherdyke.search.coverage import CoverageTracker
from heatherdyke.search.hedging import ExtraLoadBudget
from heatherdyke.search.hedging import LatencyQuantile
from heatherdyke.search.load_balancing import ReplicaStatsTable
from heatherdyke.search.load_balancing import choose_least_loaded
from heatherdyke.search.merge import merge_items

SHARDS = ("a", "b", "c", "d")
CHILDREN = ("a.0", "a.1")
PARTS = st.lists(
    st.builds(
        Part,
        st.sampled_from(SHARDS + CHILDREN),
        st.sampled_from(("leaf-1", "leaf-2")),
        st.sampled_from(list(PartState)),
        st.integers(0, 9),
        children=st.just(list(CHILDREN)),
    ),
    max_size=30,
)


class TestCoverage:
    @settings(derandomize=True, database=None)
    @given(PARTS)
    def test_counts_each_shard_once_and_only_if_whole(self, parts):
        tracker = CoverageTracker(dict.fromkeys(SHARDS, 1.0))
        for part in parts:
            tracker.add(part)
        whole = {p.shard for p in parts if p.state is PartState.WHOLE}
        coverage = tracker.result()
        assert 0.0 <= coverage.share <= 1.0
        for shard in SHARDS[1:]:
            if shard not in whole and shard not in CHILDREN:
                split = any(
                    p.shard == shard and p.state is PartState.SPLIT
                    for p in parts
                )
                assert split or shard in coverage.missing
        assert whole.isdisjoint(coverage.missing)

    def test_a_truncated_part_is_not_whole(self):
        tracker = CoverageTracker({"a": 1.0})
        tracker.add(Part("a", "leaf", PartState.TRUNCATED, 5))
        assert tracker.result().share == 0.0
        assert tracker.result().missing == ["a"]
        assert tracker.total() == 5

    def test_without_the_mechanism_a_truncated_part_counts(self):
        tracker = CoverageTracker({"a": 1.0}, exclude_truncated=False)
        tracker.add(Part("a", "leaf", PartState.TRUNCATED, 5))
        assert tracker.result().share == 1.0

    def test_a_split_shard_counts_by_its_children(self):
        tracker = CoverageTracker({"a": 2.0, "b": 2.0})
        tracker.add(
            Part("a", "leaf", PartState.SPLIT, children=list(CHILDREN))
        )
        tracker.add(Part("a.0", "leaf", PartState.WHOLE, 3))
        assert tracker.result().covered_weight == pytest.approx(1.0)
        tracker.add(Part("a.1", "leaf", PartState.WHOLE, 3))
        assert tracker.result().covered_weight == pytest.approx(2.0)


class TestMerge:
    @settings(derandomize=True, database=None)
    @given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 9))))
    def test_hedged_duplicates_appear_once(self, hits):
        items = [Item(str(n), float(n), shard=s) for s, n in hits]
        merged = merge_items(items + items, 5)
        identities = [(item.shard, item.id) for item in merged]
        assert len(set(identities)) == len(identities)
        assert [i.score for i in merged] == sorted(
            (i.score for i in merged), reverse=True
        )


class TestLoadBalancing:
    def test_avoids_a_leaf_that_refused(self):
        table = ReplicaStatsTable()
        table.record_part(Part("s", "leaf-1", PartState.REFUSED), now=0.0)
        chosen = choose_least_loaded(
            ["leaf-1", "leaf-2"], table, 0.1, Random(1)
        )
        assert chosen == "leaf-2"

    def test_prefers_the_shorter_queue(self):
        table = ReplicaStatsTable()
        table.record_sent("leaf-1")
        chosen = choose_least_loaded(
            ["leaf-1", "leaf-2"], table, 0.0, Random(1)
        )
        assert chosen == "leaf-2"

    def test_equal_leaves_share_the_work_despite_stragglers(self):
        random = Random(1)
        counts = [_count_choices(random, searches=400) for _ in range(50)]
        assert max(max(count) for count in counts) / 200 < 1.2


def _count_choices(random: Random, searches: int) -> list[int]:
    """Count how often 7 instances choose each of two equal leaves."""
    count = [0, 0]
    tables = [ReplicaStatsTable() for _ in range(7)]
    for number in range(searches):
        now = number / 28
        table = random.choice(tables)
        leaf = choose_least_loaded(["0", "1"], table, now, random)
        count[int(leaf)] += 1
        table.record_sent(leaf)
        ms = random.lognormvariate(3.4, 0.3)
        ms *= 15 if random.random() < 0.01 else 1
        load = random.choice([0.0, 0.0, 0.33, 0.66, 1.0])
        part = Part("s", leaf, PartState.WHOLE, leaf_ms=ms, load=load)
        table.record_part(part, now + ms / 1000)
    return count


class TestExtraLoadBudget:
    def test_allows_no_more_than_its_share(self):
        budget = ExtraLoadBudget(0.05, tokens=0.0)
        budget.deposit(1000)
        hedges = sum(budget.try_withdraw() for _ in range(1000))
        assert hedges == 40

    def test_sheds_stop_extra_load(self):
        budget = ExtraLoadBudget(0.05, tokens=3.0)
        for _ in range(3):
            budget.penalize_shed()
        assert not budget.try_withdraw()


class TestLatencyQuantile:
    def test_converges_to_the_quantile(self):
        random = Random(7)
        quantile = LatencyQuantile(0.95)
        for _ in range(5000):
            quantile.add(random.uniform(0.0, 0.1))
        assert 0.085 <= quantile.value_s <= 0.1
