"""Serves one request from one leaf of a service."""

import asyncio

from heatherdyke.gateway.attempts import Sender
from heatherdyke.gateway.events import FAILED
from heatherdyke.gateway.events import LEFT
from heatherdyke.gateway.events import REFUSED
from heatherdyke.gateway.events import SERVED
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.header_rules import forwarded_headers
from heatherdyke.gateway.leaf_connection import Attempt
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import Answer
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.messages import Outcome
from heatherdyke.gateway.refusal import RefusalReason
from heatherdyke.gateway.refusal import make_refusal
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.timing import answer_due_at
from heatherdyke.gateway.timing import final_answer_deadline

# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Forward:
    """One request from its arrival to its answer."""

    __slots__ = (
        "_shared",
        "_exchange",
        "_route",
        "_service",
        "_latency",
        "_sender",
        "_tried",
        "_deadline_at",
        "_due_at",
        "_timer",
        "_may_have_run",
        "_failure",
        "_why",
    )

    def __init__(
        self,
        shared: SharedState,
        exchange: Exchange,
        route: Route,
        service: str,
    ) -> None:
        request = exchange.request
        self._shared = shared
        self._exchange = exchange
        self._route = route
        self._service = service
        self._latency = shared.latencies.of(
            route.name, service, route.objective_s
        )
        self._deadline_at = final_answer_deadline(
            request.arrived_at, request.wait_s, route.timeout_s
        )
        self._due_at = answer_due_at(
            request.arrived_at,
            route.objective_s,
            request.first_on_connection,
            shared.settings.cores,
        )
        self._sender = Sender(
            shared, request, self._latency, self._deadline_at, self._on_end
        )
        self._tried: list[Leaf] = []
        self._timer: asyncio.TimerHandle | None = None
        self._may_have_run = False
        self._failure: LeafResponse | None = None
        self._why = RefusalReason.NO_LEAF

    def start(self) -> None:
        """Send to the best leaf, or refuse if there is none."""
        shared = self._shared
        now = shared.loop.time()
        shared.budget.count_request(self._service, now)
        if now >= self._deadline_at:
            self._refuse(RefusalReason.NO_TIME_LEFT)
            return
        leaf = self._choose()
        if leaf is None:
            self._refuse(RefusalReason.NO_LEAF)
            return
        self._exchange.on_left(self._client_left)
        self._send(leaf)
        self._set_timer()

    def _choose(self) -> Leaf | None:
        return self._shared.choose(
            self._service, self._route, self._tried, self._latency.median_s
        )

    def _send(self, leaf: Leaf, why: str | None = None) -> None:
        self._tried.append(leaf)
        at_most_once = not self._route.idempotent
        if why is None:
            self._sender.send(leaf, self._service, at_most_once)
        else:
            self._sender.send_extra(leaf, self._service, why, at_most_once)

    def _send_extra(self, why: str) -> bool:
        """Ask another leaf if attempts and budget allow it."""
        shared = self._shared
        if len(self._tried) >= self._route.max_attempts:
            return False
        if shared.loop.time() >= self._deadline_at:
            return False
        leaf = self._choose()
        if leaf is None:
            return False
        if not shared.budget.try_acquire(self._service, shared.loop.time()):
            self._why = RefusalReason.RETRY_BUDGET
            return False
        self._send(leaf, why)
        return True

    def _on_end(self, attempt: Attempt, outcome: Outcome) -> None:
        response = outcome.response
        if not outcome.not_run:
            self._may_have_run = True
        if response is not None and _is_final(response):
            self._deliver(response)
            return
        if outcome.not_run:
            self._why = RefusalReason.LEAFS_FULL
        else:
            self._failure = response or self._failure
        may_repeat = outcome.not_run or self._route.idempotent
        why = "rejected" if outcome.not_run else "failed"
        if may_repeat and self._send_extra(why):
            return
        if self._sender.running == 0:
            self._end_without_success()

    def _set_timer(self) -> None:
        hedge_at = self._deadline_at
        if self._route.idempotent and self._route.max_attempts > 1:
            now = self._shared.loop.time()
            delay_s = self._latency.hedge_delay_s(self._due_at - now)
            hedge_at = min(hedge_at, now + delay_s)
        self._timer = self._shared.loop.call_at(hedge_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._shared.loop.time() >= self._deadline_at:
            self._time_out()
            return
        self._send_extra("straggler")
        self._timer = self._shared.loop.call_at(
            self._deadline_at, self._on_timer
        )

    def _deliver(self, response: LeafResponse) -> None:
        self._stop_timer()
        headers = forwarded_headers(response.headers, frozenset())
        answer = Answer(response.status, headers, response.body)
        self._exchange.answer(answer)
        self._sender.abandon()
        if response.is_good:
            self._report_success()
        else:
            self._report_failure(answer.status, "leaf_status")

    def _end_without_success(self) -> None:
        """Give the final answer when no leaf is left to ask."""
        failure = self._failure
        if not self._may_have_run:
            self._refuse(self._why)
        elif failure is not None and _may_pass(failure):
            self._deliver(failure)
        else:
            self._fail(502, RefusalReason.MAY_HAVE_RUN)

    def _time_out(self) -> None:
        not_run = not self._may_have_run and self._sender.running == 0
        if not_run:
            self._refuse(RefusalReason.TIMEOUT)
        else:
            self._fail(504, RefusalReason.TIMEOUT)

    def _fail(self, status: int, why: RefusalReason) -> None:
        self._stop_timer()
        self._exchange.answer(Answer(status))
        self._sender.abandon()
        self._report_failure(status, why.value)

    def _refuse(self, why: RefusalReason) -> None:
        self._stop_timer()
        shared = self._shared
        request = self._exchange.request
        left_s = None
        if request.wait_s is not None:
            elapsed_s = shared.loop.time() - request.arrived_at
            left_s = max(0.0, request.wait_s - elapsed_s)
        refusal = make_refusal(why, left_s, shared.random)
        self._exchange.answer(refusal.answer)
        shared.metrics.count("answers", "503")
        shared.log.record(
            REFUSED,
            request_id=request.id_text,
            route=self._route.name,
            status=503,
            why=why.value,
            retry_after_s=round(refusal.retry_after_s, 3),
            inputs=f"asked {[leaf.leaf_id for leaf in self._tried]}; "
            f"{shared.describe_leafs(self._service)}",
        )

    def _client_left(self) -> None:
        """Stop what may be repeated; let the rest end at its leaf."""
        self._shared.metrics.count("clients_left", self._route.name)
        self._shared.log.record(
            LEFT,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            elapsed_ms=self._elapsed_ms(),
        )
        self._stop_timer()
        if self._route.idempotent:
            self._sender.abandon()
        else:
            self._sender.finish(self._deadline_at)

    def _report_success(self) -> None:
        shared = self._shared
        elapsed_ms = self._elapsed_ms()
        shared.metrics.record_latency(
            "forward", self._route.name, elapsed_ms / 1000
        )
        shared.metrics.count("answers", "200")
        shared.log.record(
            SERVED,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            elapsed_ms=elapsed_ms,
            extra_sends=self._sender.sent - 1,
        )

    def _report_failure(self, status: int, why: str) -> None:
        self._shared.metrics.count("answers", str(status))
        self._shared.log.record(
            FAILED,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            status=status,
            why=f"{why}: {[leaf.leaf_id for leaf in self._tried]}",
            elapsed_ms=self._elapsed_ms(),
            attempts=self._sender.sent,
        )

    def _elapsed_ms(self) -> float:
        now = self._shared.loop.time()
        return round((now - self._exchange.request.arrived_at) * 1000, 1)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _is_final(response: LeafResponse) -> bool:
    """Tell whether no other leaf could give a better answer."""
    if response.is_good:
        return True
    client_fault = 300 <= response.status < 500
    return client_fault and _may_pass(response) and not response.not_run


def _may_pass(response: LeafResponse) -> bool:
    """Tell whether a leaf's failure can be passed on as it is.

    A success that is not whole and a status that promises more than the
    leaf's word does cannot.
    """
    return response.status >= 300 and response.status not in NOT_RUN_STATUSES
