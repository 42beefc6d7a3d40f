"""Hybrid logical clock, journal, merged timeline and event registry."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from heatherdyke.clock import Clock
from heatherdyke.observe.event_catalogue import HEADING_BY_THOUSAND
from heatherdyke.observe.event_catalogue import load_all_kinds
from heatherdyke.observe.events import CLOCK_REJECTED
from heatherdyke.observe.events import EVENT_FIELDS_MISMATCHED
from heatherdyke.observe.events import INSTANCE_STARTED
from heatherdyke.observe.events import INSTANCE_STOPPING
from heatherdyke.observe.events import LOOP_STALLED
from heatherdyke.observe.events import PARTS_RECEIVED
from heatherdyke.observe.hybrid_clock import MAX_CLOCK_SKEW_MS
from heatherdyke.observe.hybrid_clock import HybridTimestamp
from heatherdyke.observe.hybrid_clock import receive
from heatherdyke.observe.hybrid_clock import tick
from heatherdyke.observe.journal import Journal
from heatherdyke.observe.timeline import EventFilter
from heatherdyke.observe.timeline import merge_events

ACCEPT_ALL = EventFilter()


class FakeClock(Clock):
    """A wall clock with a fixed time."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float = 1000.0) -> None:
        self.seconds = seconds

    def wall(self) -> float:
        return self.seconds


class TestHybridClock:
    def test_encoded_timestamps_sort_as_the_timestamps(self):
        stamps = [HybridTimestamp(w, c) for w in (1, 255, 256) for c in (0, 9)]
        texts = [stamp.encode() for stamp in stamps]
        assert texts == sorted(texts)
        assert [HybridTimestamp.decode(text) for text in texts] == stamps

    def test_full_counter_advances_to_the_next_millisecond(self):
        full = HybridTimestamp(5, 0xFFFF)
        assert tick(full, 5) == HybridTimestamp(6, 0)

    def test_clock_far_ahead_is_rejected(self):
        ahead = HybridTimestamp(MAX_CLOCK_SKEW_MS + 2, 0)
        with pytest.raises(ValueError, match="ahead"):
            receive(HybridTimestamp(), ahead, 1)

    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2), st.integers(0, 2), st.integers(0, 50)
            ),
            max_size=40,
        )
    )
    def test_causes_have_smaller_timestamps(self, messages):
        last = [HybridTimestamp() for _ in range(3)]
        for sender, receiver, wall_ms in messages:
            sent = tick(last[sender], wall_ms)
            last[sender] = sent
            received = receive(last[receiver], sent, 50 - wall_ms)
            assert received > sent
            assert received > last[receiver] or receiver == sender
            last[receiver] = received


class TestJournal:
    def test_ring_is_bounded_and_overwritten_events_are_counted(self):
        journal = Journal("a", capacity=3)
        for _ in range(5):
            journal.record(INSTANCE_STOPPING)
        page = journal.read()
        assert [event.sequence for event in page.events] == [3, 4, 5]
        assert page.overwritten == 2
        assert journal.read(after=3).overwritten == 0

    def test_debug_events_do_not_overwrite_other_events(self):
        journal = Journal("a", capacity=4)
        journal.record(INSTANCE_STOPPING)
        for _ in range(9):
            journal.record(
                PARTS_RECEIVED, request_id="r", origin="b", leaves=[]
            )
        page = journal.read()
        assert [event.sequence for event in page.events] == [1, 7, 8, 9, 10]
        assert page.overwritten == 5

    def test_next_page_continues_after_the_last_event(self):
        journal = Journal("a", capacity=8)
        for _ in range(5):
            journal.record(INSTANCE_STOPPING)
        first = journal.read(limit=2)
        second = journal.read(after=first.next_after)
        assert [event.sequence for event in second.events] == [3, 4, 5]
        assert journal.read(after=second.next_after).events == []

    def test_position_beyond_the_last_event_reads_from_the_start(self):
        journal = Journal("a")
        journal.record(INSTANCE_STOPPING)
        assert len(journal.read(after=900).events) == 1

    def test_mismatched_fields_are_recorded(self):
        journal = Journal("a")
        journal.record(INSTANCE_STARTED, address="127.0.0.1:1", colour="red")
        numbers = [event.number for event in journal.read().events]
        assert numbers == [
            EVENT_FIELDS_MISMATCHED.number,
            INSTANCE_STARTED.number,
        ]
        fields = journal.read().events[0].fields
        assert fields["missing"] == ["zone"]
        assert fields["unknown"] == ["colour"]

    def test_malformed_or_far_ahead_timestamp_is_recorded_and_ignored(self):
        journal = Journal("a", clock=FakeClock())
        for stamp in ("nonsense", HybridTimestamp(2**40, 0).encode()):
            journal.observe(stamp)
        events = journal.read().events
        assert [e.number for e in events] == [CLOCK_REJECTED.number] * 2
        assert journal.stamp() < HybridTimestamp(2**40, 0).encode()


class TestTimeline:
    def test_causal_order_holds_if_a_clock_is_behind(self):
        ahead = Journal("z", clock=FakeClock(1000.0))
        behind = Journal("a", clock=FakeClock(990.0))
        ahead.record(INSTANCE_STOPPING)
        behind.observe(ahead.stamp())
        behind.record(INSTANCE_STOPPING)
        ahead.observe(behind.stamp())
        ahead.record(INSTANCE_STOPPING)
        streams = [behind.read().events, ahead.read().events]
        merged = merge_events(streams, ACCEPT_ALL)
        assert [event.instance for event in merged] == ["z", "a", "z"]

    def test_event_in_two_streams_is_returned_once(self):
        journal = Journal("a")
        journal.record(INSTANCE_STOPPING)
        events = journal.read().events
        assert len(merge_events([events, events], ACCEPT_ALL)) == 1

    def test_filters(self):
        journal = Journal("a", zone="brescia")
        journal.record(INSTANCE_STARTED, address="127.0.0.1:1", zone="brescia")
        journal.record(LOOP_STALLED, stall_s=2.0)
        events = journal.read().events

        def count(**criteria) -> int:
            return len(merge_events([events], EventFilter(**criteria)))

        assert count(number=1010) == 1
        assert count(zone="brescia") == 2
        assert count(zone="verona") == 0
        assert count(team="trincea") == 0


class TestRegistry:
    def test_numbers_are_in_known_ranges_and_names_are_unique(self):
        kinds = load_all_kinds()
        thousands = {kind.number // 1000 for kind in kinds}
        assert thousands <= set(HEADING_BY_THOUSAND) == set(range(1, 8))
        assert all(kind.number % 1000 > 0 for kind in kinds)
        names = [kind.name for kind in kinds]
        assert len(names) == len(set(names))
