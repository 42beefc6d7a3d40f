"""A shard is attempted once per replica and a bounded number of times."""

from heatherdyke.search.shard_attempts import MAX_MOVES_PER_SHARD
from heatherdyke.search.shard_attempts import MOVE_RETRY_DELAY_S
from heatherdyke.search.shard_attempts import RETRY_DELAY_S
from heatherdyke.search.shard_attempts import ShardAttempts


class TestShardAttempts:
    def test_attempts_each_replica_once(self):
        attempts = ShardAttempts({"s": ["a", "b"]})
        attempts.start("s", "a")
        assert attempts.untried_leaves("s") == ["b"]
        attempts.start("s", "b")
        assert attempts.untried_leaves("s") == []

    def test_retries_at_a_new_home_a_bounded_number_of_times(self):
        attempts = ShardAttempts({"s": ["a"]})
        for move in range(MAX_MOVES_PER_SHARD):
            attempts.start("s", "a")
            attempts.finish("s")
            attempts.retry_at_new_home("s", "a", float(move))
            assert attempts.pop_due(move + MOVE_RETRY_DELAY_S) == ["s"]
            assert attempts.untried_leaves("s") == ["a"]
        attempts.start("s", "a")
        attempts.retry_at_new_home("s", "a", 9.0)
        assert attempts.untried_leaves("s") == []

    def test_all_replicas_are_eligible_again_after_a_delay(self):
        attempts = ShardAttempts({"s": ["a"]})
        attempts.start("s", "a")
        attempts.finish("s")
        attempts.retry_all_replicas("s", 1.0)
        assert attempts.next_retry_at == 1.0 + RETRY_DELAY_S
        assert attempts.pop_due(1.0) == []
        assert attempts.pop_due(1.0 + RETRY_DELAY_S) == ["s"]
        assert attempts.untried_leaves("s") == ["a"]
