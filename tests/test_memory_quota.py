"""The quota of the messages that a process keeps, without network."""

import gc

from hypothesis import given
from hypothesis import strategies as st

from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.net.memory_quota import Reservation
from heatherdyke.net.memory_quota import Source

LIMIT_BYTES = 1000


def evictable(
    quota: MemoryQuota, size: int, evicted: list, name: str, source: Source
) -> Reservation:
    reservation = quota.reserve(source)
    reservation.resize(size, lambda: evicted.append(name))
    return reservation


class TestMemoryQuota:
    # Guards against one faulty sender that crowds out the others.
    def test_the_largest_of_the_source_that_holds_most_goes(self):
        evicted: list[str] = []
        quota = MemoryQuota(LIMIT_BYTES)
        held = [
            evictable(quota, 300, evicted, "large client", Source.CLIENT),
            evictable(quota, 200, evicted, "leaf 1", Source.LEAF),
            evictable(quota, 250, evicted, "leaf 2", Source.LEAF),
            evictable(quota, 100, evicted, "client", Source.CLIENT),
        ]
        held[1].resize(400, lambda: evicted.append("leaf 1"))
        assert evicted == ["leaf 1"]
        assert quota.used_bytes == 650

    # Guards against a request that a leaf may be running and is then cut.
    def test_what_is_needed_stays(self):
        evicted: list[str] = []
        quota = MemoryQuota(LIMIT_BYTES)
        needed = quota.reserve(Source.CLIENT)
        needed.resize(900)
        other = evictable(quota, 200, evicted, "other", Source.LEAF)
        assert evicted == ["other"]
        needed.resize(1100)
        assert quota.is_exceeded
        assert other.size == 0

    # Guards against evictions that nest in each other: from 250 at once on
    # the recursion ended, and memory was freed whose owner had not been told.
    def test_a_lower_limit_evicts_all_that_exceeds_it(self):
        evicted: list[str] = []
        quota = MemoryQuota(LIMIT_BYTES)
        held = [
            evictable(quota, 1, evicted, f"client {number}", Source.CLIENT)
            for number in range(LIMIT_BYTES)
        ]
        quota.set_limit(100)
        assert len(evicted) == LIMIT_BYTES - 100
        assert sum(item.size for item in held) == quota.used_bytes == 100

    # Guards against a quota that fills up over time.
    def test_a_message_that_is_gone_frees_its_memory(self):
        quota = MemoryQuota(LIMIT_BYTES)
        reservation = quota.reserve(Source.LEAF)
        reservation.resize(700)
        del reservation
        gc.collect()
        assert quota.used_bytes == 0

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 9),
                st.integers(0, 600),
                st.sampled_from(Source),
                st.booleans(),
            ),
            max_size=60,
        )
    )
    def test_only_what_is_needed_may_exceed_the_limit(self, steps):
        quota = MemoryQuota(LIMIT_BYTES)
        by_number: dict[int, Reservation] = {}
        needed: set[int] = set()
        for number, size, source, is_needed in steps:
            reservation = by_number.setdefault(number, quota.reserve(source))
            needed.discard(number)
            if is_needed:
                needed.add(number)
            reservation.resize(size, None if is_needed else (lambda: None))
            sizes = {key: item.size for key, item in by_number.items()}
            assert quota.used_bytes == sum(sizes.values())
            if quota.is_exceeded:
                kept = {key for key, size in sizes.items() if size}
                assert kept <= needed
