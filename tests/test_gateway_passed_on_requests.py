"""Requests that one instance passes on after leafs have rejected them."""

import asyncio
from collections import Counter
from dataclasses import replace

import pytest
from gateway_entries import entry
from gateway_entries import route
from gateway_fleet import config
from gateway_fleet import route as route_entry
from gateway_fleet import send_request
from gateway_scenarios import run
from gateway_scenarios import set_up_forwarding
from instance_scenarios import OWN_ZONE
from instance_scenarios import client_request
from instance_scenarios import with_shared
from test_gateway_unreachable_leafs import add_cut_off_gateway
from test_gateway_unreachable_leafs import refusing_address

from heatherdyke.gateway.attempt import Attempt
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.forwarded_request import ForwardedRequest
from heatherdyke.gateway.leaf_pools import LeafPools
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.messages import Failure
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.peer_api import PeerApi
from heatherdyke.gateway.peer_messages import FORWARD_PATH
from heatherdyke.gateway.peer_messages import ForwardRequest
from heatherdyke.gateway.peer_messages import decode_message
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_requests import forward_request
from heatherdyke.gateway.peers import PEER_SERVICE
from heatherdyke.gateway.prior_attempts import PriorAttempts
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.platform_standin.leaf import Behaviour
from heatherdyke.platform_standin.store import StandinStore

# The users' bound on the arrivals beyond the first of each request: this share
# of the requests of a window, and a slack.
EXTRA_SHARE = 0.2
EXTRA_SLACK = 50
ZONES = ("brescia", "brescia", "verona", "verona")
ROUTE = route("one", "/o/")
LEAFS = ("s-0", "s-1", "s-2")
REJECTION = AttemptOutcome(LeafResponse(503, [], b"", not_run=True))
UNREACHABLE = AttemptOutcome(failure=Failure.UNREACHABLE)


def arrivals_by_id(fleet) -> Counter[bytes]:
    return Counter(
        arrival.request_id
        for leaf in fleet.leafs
        for arrival in leaf.received_requests
    )


async def send_beside_a_lost_leaf(fleet, path: str, count: int) -> None:
    """Send to instances whose leafs reject all, but one that is down."""
    leafs = await set_up_forwarding(fleet, 3)
    fleet.set_config(
        config(
            3,
            [
                route_entry("two", "/two/", service="one"),
                route_entry(
                    "single", "/single/", service="one", **{"max-attempts": 1}
                ),
            ],
            ["one"],
        )
    )
    for number, zone in enumerate(ZONES):
        await fleet.add_gateway(f"g{number}", zone)
    for gateway in fleet.gateways:
        await gateway.wait_ready()
    # They have listed each other by then.
    await asyncio.sleep(1.0)
    for leaf in leafs:
        leaf.behaviour = Behaviour.REJECT
    await leafs[0].listener.stop()
    for number in range(count):
        gateway = fleet.gateways[number % len(fleet.gateways)]
        await send_request(gateway, path, f"r{number}")


class TestRejectedRequestsOfRealInstances:
    # Guards against work that nobody sent: leafs that are full got each
    # request they had rejected again, over another instance.
    def test_they_keep_to_the_retry_budget(self, tmp_path):
        async def scenario(fleet):
            count = 400
            await send_beside_a_lost_leaf(fleet, "/two/x", count)
            arrivals = arrivals_by_id(fleet)
            extras = sum(arrivals.values()) - len(arrivals)
            assert extras <= EXTRA_SHARE * count + EXTRA_SLACK
            assert max(arrivals.values()) <= 2

        run(scenario, tmp_path)

    # Guards against a second leaf for a request that only one may get.
    def test_they_keep_to_the_route_s_attempts(self, tmp_path):
        async def scenario(fleet):
            await send_beside_a_lost_leaf(fleet, "/single/x", 60)
            assert max(arrivals_by_id(fleet).values()) == 1

        run(scenario, tmp_path)

    # Guards against the refusal of what another instance can still serve.
    def test_a_leaf_in_reach_of_another_instance_serves_them(self, tmp_path):
        async def scenario(fleet):
            store = StandinStore()
            full, free = await set_up_forwarding(fleet)
            full.behaviour = Behaviour.REJECT
            await (await fleet.add_gateway("near", "brescia")).wait_ready()
            with refusing_address() as address:
                cut_off = await add_cut_off_gateway(fleet, store, address)
                store.put("servers", full.leaf_id, full.entry())
                await asyncio.sleep(0.5)
                answers = [
                    await send_request(
                        cut_off, "/u/x", f"u{number}", "POST", b"x"
                    )
                    for number in range(20)
                ]
            assert [answer.status for answer in answers] == [200] * 20
            assert len(free.runs) == 20
            assert max(arrivals_by_id(fleet).values()) <= 2
            await store.listener.stop()

        run(scenario, tmp_path)


class Sender:
    """An instance without network: what it sends is kept."""

    def __init__(self, shared: SharedState, monkeypatch) -> None:
        self.shared = shared
        self.attempts: list[Attempt] = []
        self.messages: list[ForwardRequest] = []
        # The last attempt at another instance.
        self.peer_attempt: Attempt | None = None
        self.answers: list[ClientResponse] = []
        monkeypatch.setattr(
            LeafPools, "of", lambda pools, leaf: FakePool(self, leaf)
        )
        now = shared.loop.time()
        for leaf_id in LEAFS:
            shared.leafs.apply(entry(leaf_id, "s", OWN_ZONE), now)

    def send(self, **fields) -> None:
        exchange = Exchange(client_request(self.shared), self.answers.append)
        ForwardedRequest(
            self.shared, exchange, replace(ROUTE, **fields), "s"
        ).start()

    def lose(self, leaf_id: str) -> None:
        """Let a leaf seem unreachable."""
        leaf = self.shared.leafs.leaf_by_id[leaf_id]
        leaf.record_unreachable(self.shared.loop.time())

    def end(self, outcome: AttemptOutcome) -> None:
        """End the oldest attempt at a leaf."""
        attempt = self.attempts.pop(0)
        attempt.on_end(attempt, outcome)

    @property
    def extras(self) -> int:
        window = self.shared.budget._extras_by_service.get("s")
        return 0 if window is None else window.total

    @property
    def requests(self) -> int:
        window = self.shared.budget._requests_by_service.get("s")
        return 0 if window is None else window.total


class FakePool:
    """The connections to a leaf or an instance."""

    def __init__(self, sender: Sender, leaf) -> None:
        self._sender = sender
        self.leaf = leaf

    def has_capacity(self) -> bool:
        return True

    def send(self, attempt, at_most_once: bool = False) -> None:
        if self.leaf.entry.service == PEER_SERVICE:
            body = attempt.continuation()
            self._sender.messages.append(decode_message(body, ForwardRequest))
            self._sender.peer_attempt = attempt
        else:
            self._sender.attempts.append(attempt)

    def abandon(self, attempt) -> None:
        pass


def spend_budget(shared: SharedState) -> None:
    while shared.budget.try_acquire("s", shared.loop.time()):
        pass


class TestRejectedRequest:
    def play(self, monkeypatch, scenario) -> None:
        with_shared(lambda shared: scenario(Sender(shared, monkeypatch)))

    # Guards against a limit that starts anew at the next instance.
    def test_the_message_tells_what_was_done(self, monkeypatch):
        def scenario(sender):
            sender.lose("s-2")
            sender.send(max_attempts=4)
            sender.end(REJECTION)
            sender.end(REJECTION)
            (message,) = sender.messages
            assert sorted(message.rejected_by) == ["s-0", "s-1"]
            assert message.max_attempts == 2
            assert message.counted
            assert message.charged
            assert sender.extras == 2

        self.play(monkeypatch, scenario)

    @pytest.mark.parametrize("max_attempts", [1, 2])
    def test_no_further_leaf_gets_it_than_allowed(
        self, monkeypatch, max_attempts
    ):
        def scenario(sender):
            sender.lose("s-2")
            sender.send(max_attempts=max_attempts)
            for _ in range(max_attempts):
                sender.end(REJECTION)
            assert sender.messages == []
            assert [answer.status for answer in sender.answers] == [503]

        self.play(monkeypatch, scenario)

    def test_without_a_budget_another_instance_may_have_one(self, monkeypatch):
        def scenario(sender):
            for leaf_id in LEAFS[1:]:
                sender.lose(leaf_id)
            spend_budget(sender.shared)
            sender.send()
            sender.end(REJECTION)
            (message,) = sender.messages
            assert not message.charged

        self.play(monkeypatch, scenario)

    # Guards against the refusal of what no leaf has got yet.
    def test_one_that_reached_no_leaf_needs_no_budget(self, monkeypatch):
        def scenario(sender):
            for leaf_id in LEAFS[1:]:
                sender.lose(leaf_id)
            spend_budget(sender.shared)
            sender.send()
            sender.lose("s-0")
            sender.end(UNREACHABLE)
            (message,) = sender.messages
            assert message.rejected_by == []
            assert message.max_attempts == ROUTE.max_attempts

        self.play(monkeypatch, scenario)

    def test_what_no_instance_sent_is_given_back(self, monkeypatch):
        def scenario(sender):
            for leaf_id in LEAFS[1:]:
                sender.lose(leaf_id)
            sender.send()
            sender.end(REJECTION)
            assert sender.extras == 1
            declined = AttemptOutcome(LeafResponse(503, [], b""))
            sender.peer_attempt.on_end(sender.peer_attempt, declined)
            assert sender.extras == 0
            assert [answer.status for answer in sender.answers] == [503]

        self.play(monkeypatch, scenario)


class TestInstanceThatServesARejectedRequest:
    """The other instance: it goes on where the first has ended."""

    def serve(
        self,
        monkeypatch,
        prior: PriorAttempts,
        check,
        has_budget: bool = True,
    ) -> None:
        def scenario(shared):
            sender = Sender(shared, monkeypatch)
            if not has_budget:
                spend_budget(shared)
            message = forward_request(
                client_request(shared), ROUTE, "s", 1, prior
            )
            message.limit_s = 1.0
            request = replace(
                client_request(shared),
                target=FORWARD_PATH,
                body=encode_message(message),
            )
            PeerApi(shared, lambda version: None, lambda news: news).handle(
                Exchange(request, sender.answers.append)
            )
            check(sender)

        with_shared(scenario)

    def test_it_sends_to_no_leaf_that_has_rejected_it(self, monkeypatch):
        def check(sender):
            (attempt,) = sender.attempts
            assert attempt.pool.leaf.leaf_id == "s-2"

        self.serve(monkeypatch, PriorAttempts(("s-0", "s-1")), check)

    def test_it_declines_if_all_its_leafs_have_rejected_it(self, monkeypatch):
        def check(sender):
            assert sender.attempts == []
            assert [answer.status for answer in sender.answers] == [503]

        self.serve(monkeypatch, PriorAttempts(LEAFS), check)

    # Guards against sends that no instance takes from its budget.
    @pytest.mark.parametrize("is_charged", [False, True])
    def test_a_retry_is_charged_once(self, monkeypatch, is_charged):
        def check(sender):
            assert len(sender.attempts) == 1
            assert sender.extras == (0 if is_charged else 1)

        prior = PriorAttempts(("s-0",), is_charged=is_charged)
        self.serve(monkeypatch, prior, check)

    def test_a_retry_that_nobody_can_charge_is_declined(self, monkeypatch):
        def check(sender):
            assert sender.attempts == []
            assert [answer.status for answer in sender.answers] == [503]

        self.serve(monkeypatch, PriorAttempts(("s-0",)), check, False)

    def test_a_first_send_needs_no_budget(self, monkeypatch):
        def check(sender):
            assert len(sender.attempts) == 1

        self.serve(monkeypatch, PriorAttempts(), check, False)

    @pytest.mark.parametrize("is_counted", [False, True])
    def test_a_request_is_counted_once(self, monkeypatch, is_counted):
        def check(sender):
            assert len(sender.attempts) == 1
            assert sender.requests == (0 if is_counted else 1)

        prior = PriorAttempts(is_counted=is_counted)
        self.serve(monkeypatch, prior, check)

    def test_a_careful_one_gets_no_second_leaf(self, monkeypatch):
        def check(sender):
            sender.end(REJECTION)
            assert sender.attempts == []

        self.serve(monkeypatch, PriorAttempts(is_careful=True), check)
