"""Admission by load and urgency, and spending limits over instances."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from heatherdyke.config.model import SpendingConfig
from heatherdyke.search.admission import AdmissionController
from heatherdyke.usage.book import TeamUsage
from heatherdyke.usage.book import UsageCounters
from heatherdyke.usage.book import total_by_team
from heatherdyke.usage.spending import Spending

URGENT, PLANNER, ARCHIVE = 1, 3, 9
FAN_OUT = 50


LATE, IN_TIME = 0.9, 0.5


def measured(took_share: float = LATE, **options) -> AdmissionController:
    """Return an admission that has seen 1,000 leaf searches a second.

    The last searches ended at 2 s and took ``took_share`` of their time.
    """
    admission = AdmissionController(**options)
    now = 0.0
    for _ in range(40):
        admission.decide(URGENT, FAN_OUT, 1.0, now)
        now += 0.05
        admission.record_finished(URGENT, FAN_OUT, FAN_OUT, took_share, now)
    return admission


class TestAdmission:
    def test_admits_before_anything_is_measured(self):
        assert (
            AdmissionController().decide(ARCHIVE, 10_000, 0.001, 0.0).admitted
        )

    def test_refuses_what_cannot_be_done_in_time(self):
        admission = measured()
        admitted = 0
        while admission.decide(PLANNER, FAN_OUT, 0.5, 3.0).admitted:
            admitted += 1
        assert admitted == 4
        refused = admission.decide(PLANNER, FAN_OUT, 0.5, 3.0)
        assert 0.1 <= refused.retry_after_s <= 0.1

    def test_refuses_nothing_while_searches_are_in_time(self):
        admission = measured(IN_TIME)
        decisions = [
            admission.decide(PLANNER, FAN_OUT, 0.5, 3.0) for _ in range(100)
        ]
        assert all(decision.admitted for decision in decisions)

    def test_late_planners_do_not_turn_urgent_work_away(self):
        admission = measured(IN_TIME)
        admission.record_finished(PLANNER, 0, 0, LATE, 3.0)
        for priority, admitted in ((URGENT, True), (PLANNER, False)):
            last = [
                admission.decide(priority, FAN_OUT, 0.5, 3.0).admitted
                for _ in range(20)
            ][-1]
            assert last is admitted

    def test_urgent_work_does_not_wait_for_the_rest(self):
        admission = measured()
        while admission.decide(ARCHIVE, FAN_OUT, 0.5, 3.0).admitted:
            pass
        assert admission.decide(URGENT, FAN_OUT, 0.5, 3.0).admitted

    def test_without_urgency_it_does(self):
        admission = measured(by_urgency=False)
        while admission.decide(ARCHIVE, FAN_OUT, 0.5, 3.0).admitted:
            pass
        assert not admission.decide(URGENT, FAN_OUT, 0.5, 3.0).admitted

    def test_no_class_is_starved(self):
        admission = measured()
        while admission.decide(URGENT, FAN_OUT, 0.5, 3.0).admitted:
            pass
        admitted = 0
        for n in range(1, 101):
            now = 3.0 + n / 10
            admission.record_finished(URGENT, 0, 0, LATE, now)
            admitted += admission.decide(ARCHIVE, FAN_OUT, 0.5, now).admitted
        assert 1 <= admitted <= 5

    def test_admits_again_when_the_backlog_is_gone(self):
        admission = measured()
        while admission.decide(PLANNER, FAN_OUT, 0.5, 3.0).admitted:
            pass
        for _ in range(4):
            admission.record_finished(PLANNER, FAN_OUT, FAN_OUT, LATE, 3.5)
        assert admission.in_flight == 0
        assert admission.decide(PLANNER, FAN_OUT, 0.5, 3.5).admitted


class TestSpending:
    @settings(derandomize=True, max_examples=200)
    @given(
        rate=st.floats(1, 1000),
        burst=st.floats(1, 1000),
        live=st.integers(1, 8),
        missed=st.integers(0, 3),
        cost=st.integers(1, 60),
        asks=st.lists(
            st.tuples(
                st.integers(0, 7), st.floats(0, 0.3), st.integers(0, 60)
            ),
            max_size=150,
        ),
    )
    def test_the_bound_holds_over_all_instances(
        self, rate, burst, live, missed, cost, asks
    ):
        missed = min(missed, live - 1)
        instances = [Spending() for _ in range(live)]
        limit = SpendingConfig(rate, burst)
        now = 0.0
        spent = 0
        for place, pause, unsent in asks:
            now += pause
            spending = instances[place % live]
            seen = live - missed
            if not spending.take("team", limit, cost, seen, now):
                spending.give_back("team", min(unsent, cost))
                spent += cost - min(unsent, cost)
        bound = live / (live - missed) * (rate * now + burst) + live * cost
        assert spent <= bound + 1e-6

    def test_a_refusal_names_when_to_come_back(self):
        spending = Spending()
        limit = SpendingConfig(100.0, 10.0)
        assert spending.take("team", limit, 60, 1, 0.0) == 0.0
        wait_s = spending.take("team", limit, 60, 1, 0.0)
        assert abs(wait_s - 0.5) < 1e-9
        assert spending.take("team", limit, 60, 1, wait_s + 0.01) == 0.0

    def test_off_or_without_limit_everything_passes(self):
        limit = SpendingConfig(1.0, 1.0)
        assert not any(
            Spending(False).take("team", limit, 60, 1, 0.0) for _ in range(9)
        )
        assert Spending().take("team", None, 60, 1, 0.0) == 0.0


class TestUsage:
    def test_a_page_told_twice_counts_once(self):
        counters = UsageCounters("a", "1")
        counters.count("team", searches=1, leaf_searches=50, hedges=2)
        older = counters.page()
        counters.count("team", searches=1, leaf_searches=50)
        ended = UsageCounters("a", "0")
        ended.count("team", runs=1)
        pages = [older, counters.page(), older, ended.page()]
        assert total_by_team(pages) == {"team": TeamUsage(2, 100, 2, 1, 0)}
