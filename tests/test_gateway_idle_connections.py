"""A fault in which many instances send to the same leafs, each rarely."""

from dataclasses import dataclass
from dataclasses import field

import pytest
from gateway_entries import entry

from heatherdyke.gateway.connection_share import connection_share
from heatherdyke.gateway.connection_share import may_exceed_limit
from heatherdyke.gateway.leaf_connection import LeafConnection
from heatherdyke.gateway.leaf_pool import LeafPool
from heatherdyke.gateway.leaf_table import Leaf

LIMIT = 120
IDLE_S = 3.5


class Transport:
    def __init__(self) -> None:
        self.closed = False

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed


@dataclass
class Clock:
    """Stands in for the event loop and for the observer of a pool."""

    at: float = 100.0
    loop: "Clock" = field(init=False)

    def __post_init__(self) -> None:
        self.loop = self

    def time(self) -> float:
        return self.at

    def on_connections_broken(self, pool: LeafPool) -> None:
        """Handle nothing."""


def use(pool: LeafPool, clock: Clock) -> Transport:
    """Have the pool's connection answer a request; return its transport."""
    connection = pool._pop_idle(clock.at, at_most_once=False)
    if connection is None:
        connection = LeafConnection(pool)
        connection.transport = Transport()
    connection.idle_until = clock.at + IDLE_S
    pool.release(connection, reusable=True)
    return connection.transport


def make_pool(clock: Clock, closes_unused: bool) -> LeafPool:
    pool = LeafPool(Leaf(entry("x")), clock, limit=6)
    pool.closes_unused = closes_unused
    return pool


def idle_connections(instances: int, interval_s: float, seconds: float) -> int:
    """Return how many connections the leaf holds in the end.

    Each instance sends it a request every ``interval_s``.
    """
    clock = Clock()
    closes_unused = may_exceed_limit(LIMIT, instances)
    pools = [make_pool(clock, closes_unused) for _ in range(instances)]
    for _ in range(int(seconds / interval_s)):
        for pool in pools:
            clock.at += interval_s / instances
            use(pool, clock)
    return sum(len(pool._idle) for pool in pools)


class TestManyInstancesThatRarelySendToALeaf:
    # Guards against a leaf that resets new connections, as all instances hold
    # idle ones to it after a fault in which each had to use it once.
    @pytest.mark.parametrize("instances", [195, 1121])
    def test_they_leave_room_for_new_connections(self, instances):
        assert idle_connections(instances, 3.0, 12.0) < LIMIT / 4

    def test_the_few_that_use_it_again_soon_keep_theirs(self):
        clock = Clock()
        pool = make_pool(clock, closes_unused=True)
        transports = []
        for _ in range(20):
            clock.at += 0.3
            transports.append(use(pool, clock))
        assert not transports[-1].closed
        assert transports[1] is transports[-1]

    def test_with_few_instances_all_are_kept(self):
        assert idle_connections(7, 3.0, 12.0) == 7


class TestMayExceedLimit:
    @pytest.mark.parametrize("instances", [1, 7, 30])
    def test_equal_shares_keep_it(self, instances):
        assert not may_exceed_limit(LIMIT, instances)

    @pytest.mark.parametrize("instances", [59, 195, 1121])
    def test_larger_shares_may_not(self, instances):
        assert connection_share(LIMIT, instances) * instances > LIMIT
        assert may_exceed_limit(LIMIT, instances)
