"""The priority queue of one leaf: urgent work first, none lost."""

from hypothesis import given
from hypothesis import strategies as st

from heatherdyke.leaves.queue import PRIORITY_STEP_S
from heatherdyke.leaves.queue import LeafQueue
from heatherdyke.leaves.work import LeafWork
from heatherdyke.messages import LeafSearch


def work_of(expires_at, priority=0):
    request = LeafSearch("r", "s", 1, "q", 1, 1000.0)
    return LeafWork("l", request, priority, 0.0, expires_at, print)


def drain(queue):
    return [queue.pop() for _ in range(len(queue))]


class TestLeafQueue:
    def test_the_earliest_deadline_comes_first(self):
        queue = LeafQueue()
        late, soon = work_of(2.0), work_of(1.0)
        queue.push(late)
        queue.push(soon)
        assert queue.first() is soon
        assert drain(queue) == [soon, late]

    def test_a_priority_level_counts_as_a_later_deadline(self):
        queue = LeafQueue()
        less_urgent = work_of(1.0, priority=1)
        urgent = work_of(1.0 + PRIORITY_STEP_S / 2)
        queue.push(less_urgent)
        queue.push(urgent)
        assert drain(queue) == [urgent, less_urgent]

    def test_equal_work_keeps_its_order(self):
        queue = LeafQueue()
        works = [work_of(1.0) for _ in range(5)]
        for work in works:
            queue.push(work)
        assert drain(queue) == works

    @given(
        deadlines=st.lists(st.floats(0, 10), min_size=1),
        removed=st.integers(0),
    )
    def test_removal_keeps_the_other_work_in_order(self, deadlines, removed):
        queue = LeafQueue()
        works = [work_of(deadline) for deadline in deadlines]
        for work in works:
            queue.push(work)
        removed_work = works.pop(removed % len(works))
        queue.remove(removed_work)
        taken = drain(queue)
        assert sorted(works, key=lambda w: w.expires_at) == taken

    def test_pop_all_empties_the_queue(self):
        queue = LeafQueue()
        queue.push(work_of(1.0))
        assert len(queue.pop_all()) == 1
        assert len(queue) == 0
