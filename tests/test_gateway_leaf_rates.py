"""The request rates that leafs state, for all instances together."""

import asyncio

import pytest
from gateway_fleet import send_request
from gateway_scenarios import ready_gateway
from gateway_scenarios import run
from gateway_scenarios import set_up_forwarding
from hypothesis import given
from hypothesis import strategies as st

from heatherdyke.gateway.leaf_rate_limit import SPAN_S
from heatherdyke.gateway.leaf_rate_limit import LeafRateLimiter
from heatherdyke.platform.headers import parse_rate

LEAF = "leaf"
WINDOW_S = 4.0
STEP_S = 0.05


def bound(rate: float) -> float:
    """Return how many requests the users allow in a window."""
    return 1.5 * rate * WINDOW_S + 5


def names(count: int) -> list[str]:
    return [f"instance-{number}" for number in range(count)]


def limiters(instances: list[str], views: dict[str, list[str]] | None = None):
    """Return a limiter for each instance, with its view of all instances."""
    views = views or {}
    by_instance = {name: LeafRateLimiter(name) for name in instances}
    for name, limiter in by_instance.items():
        limiter.set_instances(views.get(name, instances), 0.0)
    return by_instance


def busiest_window(sent_at: list[float]) -> int:
    """Return the most requests in any window."""
    return max(
        (
            sum(at <= other <= at + WINDOW_S for other in sent_at)
            for at in sent_at
        ),
        default=0,
    )


def send_whenever_allowed(by_instance, rate: float, until: float):
    """Return the send times of instances with requests at any moment."""
    sent_at: list[float] = []
    for limiter in by_instance.values():
        limiter.record_rate(LEAF, rate, 0.0)
    now = 0.0
    while now < until:
        for limiter in by_instance.values():
            if limiter.wait_s(LEAF, now) == 0.0:
                limiter.count_send(LEAF, now)
                sent_at.append(now)
        now += STEP_S
    return sent_at


class TestSumOverInstances:
    @pytest.mark.parametrize("rate", [0.1, 1.0, 2.2, 6.8, 30.0])
    @pytest.mark.parametrize("count", [1, 2, 6, 59, 200])
    def test_instances_that_always_send_keep_to_the_rate(self, count, rate):
        sent_at = send_whenever_allowed(limiters(names(count)), rate, 30.0)
        probes = 2
        assert busiest_window(sent_at) <= max(1.0, rate * WINDOW_S) + probes
        assert busiest_window(sent_at) <= bound(rate)

    @pytest.mark.parametrize("count", [2, 6, 59])
    def test_the_rate_is_used_although_each_share_is_rounded(self, count):
        sent_at = send_whenever_allowed(limiters(names(count)), 6.8, 40.0)
        assert len(sent_at) >= 0.85 * 6.8 * (40.0 - 2 * WINDOW_S)

    @given(st.integers(3, 40), st.integers(0, 1000))
    def test_a_fourth_of_the_instances_not_listed_yet(self, count, seed):
        """Old and new lists share the rate out in different ways."""
        new = [f"new-{seed}-{number}" for number in range(count // 4)]
        old = names(count)
        views = dict.fromkeys(old, old)
        by_instance = limiters(old + new, views)
        sent_at = send_whenever_allowed(by_instance, 1.0, 10.0)
        assert busiest_window(sent_at) <= bound(1.0)

    def test_an_instance_without_a_share_probes_in_its_turn(self):
        """It would otherwise never learn that the rate has ended."""
        by_instance = limiters(names(7))
        without_share = [
            limiter
            for limiter in by_instance.values()
            if not limiter.record_rate(LEAF, 1.0, 0.0)
            or limiter.wait_s(LEAF, SPAN_S) > 0.0
        ]
        assert 1 <= len(without_share) < 7
        for limiter in without_share:
            assert limiter.wait_s(LEAF, 7 * SPAN_S) == 0.0

    def test_nothing_is_sent_before_the_list_of_instances(self):
        limiter = LeafRateLimiter("a")
        limiter.record_rate(LEAF, 50.0, 0.0)
        assert limiter.wait_s(LEAF, 1000.0) > 0.0
        limiter.set_instances(["a", "b"], 1000.0)
        assert limiter.wait_s(LEAF, 1000.0 + SPAN_S) == 0.0


class TestEndOfARate:
    def limited(self) -> LeafRateLimiter:
        limiter = LeafRateLimiter("a")
        limiter.set_instances(["a"], 0.0)
        limiter.record_rate(LEAF, 1.0, 10.0)
        return limiter

    def test_a_later_request_without_a_stated_rate_ends_it(self):
        limiter = self.limited()
        assert limiter.record_no_rate(LEAF, 10.1, 10.2) is not None
        assert limiter.wait_s(LEAF, 10.2) == 0.0

    def test_a_response_that_was_overtaken_does_not(self):
        limiter = self.limited()
        assert limiter.record_no_rate(LEAF, 9.9, 10.2) is None
        assert limiter.wait_s(LEAF, 10.2) > 0.0

    def test_a_new_rate_counts_from_the_last_request(self):
        limiter = self.limited()
        limiter.count_send(LEAF, 20.0)
        limiter.record_rate(LEAF, 10.0, 20.05)
        assert limiter.wait_s(LEAF, 20.0 + SPAN_S / 40) == 0.0

    @pytest.mark.parametrize("text", [b"", b"x", b"0", b"-1", b"nan", b"inf"])
    def test_a_text_that_is_no_rate_is_ignored(self, text):
        assert parse_rate(text) is None


class TestRealInstances:
    # Guards against instances that ignore the rate that a leaf states: it got
    # the requests of all instances, however few it accepted.
    def test_leafs_get_no_more_than_they_state(self, tmp_path):
        async def scenario(fleet):
            leafs = await set_up_forwarding(fleet)
            gateways = [
                await ready_gateway(fleet, name) for name in ("a", "b", "c")
            ]
            for leaf in leafs:
                leaf.rate_limit = 1.0
            answers = await send_for(gateways, 7.0)
            for leaf in leafs:
                times = [item.at for item in leaf.received_requests]
                counted = [at for at in times if at > times[0] + 0.5]
                assert counted
                assert busiest_window(counted) <= bound(1.0)
            assert {answer.status for answer in answers} == {200, 503}
            retry_after_s = [
                float(answer.value_by_header["retry-after"])
                for answer in answers
                if answer.status == 503
            ]
            assert min(retry_after_s) > 0
            leafs[0].rate_limit = None
            await wait_until_unlimited(fleet, gateways)

        run(scenario, tmp_path)


async def send_for(gateways, seconds: float):
    """Send requests to all instances in turn; return the responses."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    answers = []
    while loop.time() < end_at:
        for gateway in gateways:
            request_id = f"r{len(answers)}"
            answers.append(await send_request(gateway, "/o/x", request_id))
        await asyncio.sleep(0.05)
    return answers


async def wait_until_unlimited(fleet, gateways) -> None:
    """Send until the leafs that state no rate any more get all requests."""
    async with asyncio.timeout(30.0):
        while True:
            answers = await send_for(gateways, 0.3)
            if all(answer.status == 200 for answer in answers):
                return
