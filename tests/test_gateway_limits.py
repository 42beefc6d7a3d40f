"""Tests of limits that hold across all instances, without network."""

from dataclasses import replace

import pytest
from gateway_entries import BOUNDS
from hypothesis import given
from hypothesis import strategies as st

from heatherdyke.gateway.cold_rate_limit import ColdRateLimiter
from heatherdyke.gateway.cold_rate_limit import cold_allowance
from heatherdyke.gateway.connection_share import ACTIVE_INSTANCES
from heatherdyke.gateway.connection_share import MIN_EQUAL_SHARE
from heatherdyke.gateway.connection_share import SHARE_USED
from heatherdyke.gateway.connection_share import connection_share
from heatherdyke.gateway.retry_budget import RetryBudget
from heatherdyke.gateway.store_watcher import BATCH_DELAY_S
from heatherdyke.gateway.store_watcher import IDLE_AFTER_S
from heatherdyke.gateway.store_watcher import IDLE_BATCH_DELAY_S
from heatherdyke.gateway.store_watcher import MAX_STORE_CALLS_PER_S
from heatherdyke.gateway.store_watcher import RETRY_FIRST_S
from heatherdyke.gateway.store_watcher import RETRY_SPREAD
from heatherdyke.gateway.store_watcher import batch_delay_s
from heatherdyke.gateway.watch_timing import MAX_WATCH_S
from heatherdyke.gateway.watch_timing import MIN_MARGIN_S
from heatherdyke.gateway.watch_timing import MIN_WATCH_S
from heatherdyke.gateway.watch_timing import WatchTiming

MEDIAN_S = 0.02


class TestRetryBudget:
    """All instances hedge at once because the leafs become slow together."""

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 6),
                st.floats(0.0, 0.4),
                st.booleans(),
            ),
            max_size=400,
        )
    )
    def test_the_bound_holds_across_instances(self, steps):
        share, slack, window = 0.2, 54.0, 10.0
        budgets = [RetryBudget(share, slack, window, 7) for _ in range(7)]
        now = 100.0
        requests: list[float] = []
        extras: list[float] = []
        for instance, pause_s, is_request in steps:
            now += pause_s
            if is_request:
                budgets[instance].count_request("s", now)
                requests.append(now)
            elif budgets[instance].try_acquire("s", now):
                extras.append(now)
        for at in extras:
            in_window = sum(at - window < other <= at for other in extras)
            served = sum(at - window < other <= at for other in requests)
            assert in_window <= share * served + slack

    def test_a_burst_of_failures_is_limited(self):
        budget = RetryBudget(0.2, 54.0, 10.0, 7)
        for step in range(100):
            budget.count_request("s", 100.0 + step / 100)
        taken = sum(budget.try_acquire("s", 101.0) for _ in range(100))
        assert 15 <= taken <= 0.2 * 100 + 54.0 / 7

    def test_services_have_separate_budgets(self):
        budget = RetryBudget(0.2, 4.0, 10.0, 1)
        while budget.try_acquire("s", 1.0):
            pass
        assert budget.try_acquire("t", 1.0)


class TestColdLimit:
    """Many instances send to one cold leaf; some do not know the others."""

    @pytest.mark.parametrize("instances", [1, 3, 7, 77, 1100])
    @pytest.mark.parametrize("bound", [5.0, 35.0, 200.0])
    def test_the_sum_of_all_allowances_keeps_the_bound(self, bound, instances):
        parts = [
            cold_allowance(bound, instances, number == 0, known=True)
            for number in range(instances)
        ]
        assert sum(parts) <= bound

    def test_two_owners_at_once_keep_the_bound(self):
        part = cold_allowance(5.0, 7, is_owner=True, known=True)
        assert 1 <= part
        assert 2 * part <= 5.0

    def test_an_instance_that_knows_no_others_sends_nothing(self):
        assert cold_allowance(5.0, 0, is_owner=True, known=False) == 0

    def test_the_allowance_holds_in_any_second(self):
        limit = ColdRateLimiter(started_at=-10.0)
        sent = [
            step / 10
            for step in range(100)
            if limit.try_acquire("x", 2, step / 10)
        ]
        assert len(sent) > 10
        for at in sent:
            assert sum(at - 1.0 < other <= at for other in sent) <= 2

    def test_a_restarted_process_waits_for_one_second(self):
        limit = ColdRateLimiter(started_at=5.0)
        assert not limit.try_acquire("x", 2, 5.9)
        assert limit.try_acquire("x", 2, 6.2)


class TestConnectionShare:
    def test_equal_shares_fit_the_limit(self):
        assert 7 * connection_share(31, 7) <= 31
        assert 7 * connection_share(100, 7) <= 100

    @given(limit=st.integers(20, 600), instances=st.integers(1, 20))
    def test_simultaneous_connections_fit_the_limit(self, limit, instances):
        """After a power failure all instances connect to all leafs."""
        share = connection_share(limit, instances)
        if int(limit * SHARE_USED) // instances >= MIN_EQUAL_SHARE:
            assert share * instances <= limit
        else:
            assert ACTIVE_INSTANCES * share <= max(limit, ACTIVE_INSTANCES)

    def test_many_instances_may_each_open_a_few(self):
        assert connection_share(52, 59) >= 2

    def test_the_share_is_small_while_instances_are_unknown(self):
        assert 4 * connection_share(31, 0) <= 31


class TestBatchDelay:
    """Leafs are replaced one by one while all instances watch the store."""

    @pytest.mark.parametrize("instances", [7, 77, 300, 1100, 5000])
    def test_all_calls_together_stay_within_the_rate(self, instances):
        calls_per_s = instances / batch_delay_s(0.0, instances)
        assert calls_per_s <= MAX_STORE_CALLS_PER_S

    def test_few_instances_receive_changes_soon(self):
        assert batch_delay_s(0.0, 77) == BATCH_DELAY_S

    def test_an_idle_instance_calls_rarely(self):
        """Hundreds of leafs start before the first request arrives."""
        assert batch_delay_s(IDLE_AFTER_S + 1.0, 77) == IDLE_BATCH_DELAY_S
        assert batch_delay_s(float("inf"), 77) == IDLE_BATCH_DELAY_S


class TestWatchTimeout:
    """A response is lost, and with it a change that is due soon (review/5).

    The time at which the change is due counts from the change itself.
    """

    @pytest.mark.parametrize(
        "stable_s, config_s, drain_s", [(4, 3, 3), (5, 5, 5), (4, 5, 3)]
    )
    def test_a_lost_call_is_detected_before_a_change_is_due(
        self, stable_s, config_s, drain_s
    ):
        bounds = replace(
            BOUNDS, stable_s=stable_s, config_s=config_s, drain_s=drain_s
        )
        timing = WatchTiming()
        for delay_s in (0.004, 0.25, 0.5, 3.0):
            timing.add_delay(delay_s)
            detected_s = timing.next_watch(bounds).timeout_s
            retried_s = detected_s + RETRY_FIRST_S * (1.0 + RETRY_SPREAD)
            assert retried_s < max(stable_s, min(config_s, drain_s))

    def test_two_losses_in_a_row_are_detected_in_time(self):
        """The second watch begins just before the store serves again."""
        probe = WatchTiming().probe()
        retried_s = probe.timeout_s + RETRY_FIRST_S * (1.0 + RETRY_SPREAD)
        assert retried_s < 4

    @pytest.mark.parametrize("delay_s", [0.004, 0.2, 0.4])
    def test_a_response_of_a_slow_store_is_awaited(self, delay_s):
        timing = WatchTiming()
        assert timing.next_watch(BOUNDS).margin_s > delay_s
        timing.add_delay(delay_s)
        assert timing.next_watch(BOUNDS).margin_s >= 2.0 * delay_s

    def test_a_slower_store_is_awaited_once_its_delay_is_known(self):
        timing = WatchTiming()
        assert timing.probe().margin_s > 1.2
        timing.add_delay(1.2)
        assert timing.next_watch(BOUNDS).margin_s > 1.2

    def test_the_delay_is_forgotten(self):
        timing = WatchTiming()
        timing.add_delay(1.0)
        for _ in range(10):
            timing.add_delay(0.004)
        assert timing.next_watch(BOUNDS).margin_s == MIN_MARGIN_S

    def test_the_duration_stays_between_its_bounds(self):
        short = replace(BOUNDS, stable_s=0, config_s=1, drain_s=1)
        long = replace(BOUNDS, stable_s=60, config_s=60, drain_s=60)
        assert WatchTiming().next_watch(short).wait_s == MIN_WATCH_S
        assert WatchTiming().next_watch(long).wait_s == MAX_WATCH_S
