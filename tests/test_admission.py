"""Admission by load and urgency, and spending limits across instances."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from heatherdyke.config.model import SpendingConfig
from heatherdyke.search.admission import AdmissionController
from heatherdyke.usage.counters import TeamUsage
from heatherdyke.usage.counters import UsageCounters
from heatherdyke.usage.counters import total_by_team
from heatherdyke.usage.spending_limiter import SpendingLimiter

URGENT, PLANNER, ARCHIVE = 1, 3, 9
FAN_OUT = 50
LATE, IN_TIME = 0.9, 0.5


def make_controller(
    deadline_share_used: float = LATE, **options
) -> AdmissionController:
    """Return a controller that measured 1,000 leaf searches per second.

    Its last searches ended at 2 s and took ``deadline_share_used`` of the
    time until their deadline.
    """
    admission = AdmissionController(**options)
    now = 0.0
    for _ in range(40):
        admission.decide(URGENT, FAN_OUT, 1.0, now)
        now += 0.05
        admission.record_finished(
            URGENT, FAN_OUT, FAN_OUT, deadline_share_used, now
        )
    return admission


class TestAdmission:
    def test_admits_before_the_first_measurement(self):
        assert (
            AdmissionController().decide(ARCHIVE, 10_000, 0.001, 0.0).admitted
        )

    def test_rejects_searches_that_would_miss_their_deadline(self):
        admission = make_controller()
        admitted = 0
        while admission.decide(PLANNER, FAN_OUT, 0.5, 3.0).admitted:
            admitted += 1
        assert admitted == 4
        refused = admission.decide(PLANNER, FAN_OUT, 0.5, 3.0)
        assert 0.1 <= refused.retry_after_s <= 0.1

    def test_rejects_no_search_while_deadlines_are_met(self):
        admission = make_controller(IN_TIME)
        decisions = [
            admission.decide(PLANNER, FAN_OUT, 0.5, 3.0) for _ in range(100)
        ]
        assert all(decision.admitted for decision in decisions)

    def test_late_planner_searches_do_not_reject_urgent_ones(self):
        admission = make_controller(IN_TIME)
        admission.record_finished(PLANNER, 0, 0, LATE, 3.0)
        for priority, admitted in ((URGENT, True), (PLANNER, False)):
            last = [
                admission.decide(priority, FAN_OUT, 0.5, 3.0).admitted
                for _ in range(20)
            ][-1]
            assert last is admitted

    def test_urgent_work_does_not_wait_for_less_urgent_work(self):
        admission = make_controller()
        while admission.decide(ARCHIVE, FAN_OUT, 0.5, 3.0).admitted:
            pass
        assert admission.decide(URGENT, FAN_OUT, 0.5, 3.0).admitted

    def test_without_urgency_all_work_waits_alike(self):
        admission = make_controller(by_urgency=False)
        while admission.decide(ARCHIVE, FAN_OUT, 0.5, 3.0).admitted:
            pass
        assert not admission.decide(URGENT, FAN_OUT, 0.5, 3.0).admitted

    def test_no_class_is_starved(self):
        admission = make_controller()
        while admission.decide(URGENT, FAN_OUT, 0.5, 3.0).admitted:
            pass
        admitted = 0
        for n in range(1, 101):
            now = 3.0 + n / 10
            admission.record_finished(URGENT, 0, 0, LATE, now)
            admitted += admission.decide(ARCHIVE, FAN_OUT, 0.5, now).admitted
        assert 1 <= admitted <= 5

    def test_admits_again_after_the_backlog_is_done(self):
        admission = make_controller()
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
        requests=st.lists(
            st.tuples(
                st.integers(0, 7), st.floats(0, 0.3), st.integers(0, 60)
            ),
            max_size=150,
        ),
    )
    def test_the_limit_holds_across_instances(
        self, rate, burst, live, missed, cost, requests
    ):
        missed = min(missed, live - 1)
        instances = [SpendingLimiter() for _ in range(live)]
        limit = SpendingConfig(rate, burst)
        now = 0.0
        spent = 0
        for index, pause_s, unsent in requests:
            now += pause_s
            spending = instances[index % live]
            seen = live - missed
            if not spending.take("team", limit, cost, seen, now):
                spending.refund("team", min(unsent, cost))
                spent += cost - min(unsent, cost)
        bound = live / (live - missed) * (rate * now + burst) + live * cost
        assert spent <= bound + 1e-6

    def test_a_rejection_gives_the_time_of_the_next_retry(self):
        spending = SpendingLimiter()
        limit = SpendingConfig(100.0, 10.0)
        assert spending.take("team", limit, 60, 1, 0.0) == 0.0
        wait_s = spending.take("team", limit, 60, 1, 0.0)
        assert abs(wait_s - 0.5) < 1e-9
        assert spending.take("team", limit, 60, 1, wait_s + 0.01) == 0.0

    def test_admits_all_if_disabled_or_without_a_limit(self):
        limit = SpendingConfig(1.0, 1.0)
        assert not any(
            SpendingLimiter(False).take("team", limit, 60, 1, 0.0)
            for _ in range(9)
        )
        assert SpendingLimiter().take("team", None, 60, 1, 0.0) == 0.0


class TestUsage:
    def test_a_page_reported_twice_counts_once(self):
        counters = UsageCounters("a", "1")
        counters.count("team", searches=1, leaf_searches=50, hedges=2)
        older = counters.page()
        counters.count("team", searches=1, leaf_searches=50)
        ended = UsageCounters("a", "0")
        ended.count("team", runs=1)
        pages = [older, counters.page(), older, ended.page()]
        assert total_by_team(pages) == {"team": TeamUsage(2, 100, 2, 1, 0)}
