"""A shard is asked on each replica once, and a few times in all."""

from heatherdyke.search.shard_attempts import MAX_MOVES_PER_SHARD
from heatherdyke.search.shard_attempts import MOVE_PAUSE_S
from heatherdyke.search.shard_attempts import RETRY_PAUSE_S
from heatherdyke.search.shard_attempts import ShardAttempts


class TestShardTries:
    def test_asks_each_replica_once(self):
        tries = ShardAttempts({"s": ["a", "b"]})
        tries.start("s", "a")
        assert tries.untried("s") == ["b"]
        tries.start("s", "b")
        assert tries.untried("s") == []

    def test_follows_a_moving_home_a_bounded_number_of_times(self):
        tries = ShardAttempts({"s": ["a"]})
        for move in range(MAX_MOVES_PER_SHARD):
            tries.start("s", "a")
            tries.finish("s")
            tries.follow_home("s", "a", float(move))
            assert tries.take_due(move + MOVE_PAUSE_S) == ["s"]
            assert tries.untried("s") == ["a"]
        tries.start("s", "a")
        tries.follow_home("s", "a", 9.0)
        assert tries.untried("s") == []

    def test_all_replicas_may_be_asked_again_after_a_pause(self):
        tries = ShardAttempts({"s": ["a"]})
        tries.start("s", "a")
        tries.finish("s")
        tries.try_all_again("s", 1.0)
        assert tries.next_due_at == 1.0 + RETRY_PAUSE_S
        assert tries.take_due(1.0) == []
        assert tries.take_due(1.0 + RETRY_PAUSE_S) == ["s"]
        assert tries.untried("s") == ["a"]
