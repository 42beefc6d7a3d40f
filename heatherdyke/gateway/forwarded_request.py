"""Serves one request from one leaf of a service."""

import asyncio

from heatherdyke.gateway.attempt_sender import AttemptSender
from heatherdyke.gateway.core import Core
from heatherdyke.gateway.events import CLIENT_DISCONNECTED
from heatherdyke.gateway.events import REQUEST_FAILED
from heatherdyke.gateway.events import REQUEST_REFUSED
from heatherdyke.gateway.events import REQUEST_SERVED
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.header_rules import passed_on
from heatherdyke.gateway.leaf_connection import Attempt
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.refusal import Why
from heatherdyke.gateway.refusal import refuse
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.timing import answer_due
from heatherdyke.gateway.timing import last_moment

# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class ForwardedRequest:
    """One request from its arrival to its answer."""

    __slots__ = (
        "_core",
        "_exchange",
        "_route",
        "_service",
        "_pace",
        "_sender",
        "_tried",
        "_limit_at",
        "_due_at",
        "_timer",
        "_may_have_run",
        "_failure",
        "_why",
    )

    def __init__(
        self, core: Core, exchange: Exchange, route: Route, service: str
    ) -> None:
        request = exchange.request
        self._core = core
        self._exchange = exchange
        self._route = route
        self._service = service
        self._pace = core.paces.of(route.name, service, route.objective_s)
        self._limit_at = last_moment(
            request.arrived_at, request.wait_s, route.timeout_s
        )
        self._due_at = answer_due(
            request.arrived_at,
            route.objective_s,
            request.first_on_connection,
            core.settings.cores,
        )
        self._sender = AttemptSender(
            core, request, self._pace, self._limit_at, self._on_end
        )
        self._tried: list[Leaf] = []
        self._timer: asyncio.TimerHandle | None = None
        self._may_have_run = False
        self._failure: LeafResponse | None = None
        self._why = Why.NO_LEAF

    def start(self) -> None:
        """Send to the best leaf, or refuse if there is none."""
        core = self._core
        now = core.loop.time()
        core.budget.count_request(self._service, now)
        if now >= self._limit_at:
            self._refuse(Why.NO_TIME)
            return
        leaf = self._choose()
        if leaf is None:
            self._refuse(Why.NO_LEAF)
            return
        self._exchange.on_disconnect(self._client_left)
        self._send(leaf)
        self._set_timer()

    def _choose(self) -> Leaf | None:
        return self._core.choose(
            self._service, self._route, self._tried, self._pace.usual_s
        )

    def _send(self, leaf: Leaf, why: str | None = None) -> None:
        self._tried.append(leaf)
        once = not self._route.idempotent
        if why is None:
            self._sender.send(leaf, self._service, once)
        else:
            self._sender.send_extra(leaf, self._service, why, once)

    def _send_extra(self, why: str) -> bool:
        """Ask another leaf if attempts and budget allow it."""
        core = self._core
        if len(self._tried) >= self._route.max_attempts:
            return False
        if core.loop.time() >= self._limit_at:
            return False
        leaf = self._choose()
        if leaf is None:
            return False
        if not core.budget.take(self._service, core.loop.time()):
            self._why = Why.BUDGET
            return False
        self._send(leaf, why)
        return True

    def _on_end(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        response = outcome.response
        if not outcome.not_run:
            self._may_have_run = True
        if response is not None and _is_final(response):
            self._deliver(response)
            return
        if outcome.not_run:
            self._why = Why.LEAFS_FULL
        else:
            self._failure = response or self._failure
        may_repeat = outcome.not_run or self._route.idempotent
        why = "rejected" if outcome.not_run else "failed"
        if may_repeat and self._send_extra(why):
            return
        if self._sender.running == 0:
            self._end_without_success()

    def _set_timer(self) -> None:
        hedge_at = self._limit_at
        if self._route.idempotent and self._route.max_attempts > 1:
            now = self._core.loop.time()
            delay_s = self._pace.hedge_delay_s(self._due_at - now)
            hedge_at = min(hedge_at, now + delay_s)
        self._timer = self._core.loop.call_at(hedge_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._core.loop.time() >= self._limit_at:
            self._time_out()
            return
        self._send_extra("straggler")
        self._timer = self._core.loop.call_at(self._limit_at, self._on_timer)

    def _deliver(self, response: LeafResponse) -> None:
        self._stop_timer()
        headers = passed_on(response.headers, frozenset())
        answer = ClientResponse(response.status, headers, response.body)
        self._exchange.answer(answer)
        self._sender.abandon()
        if response.is_signed_success:
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
            self._fail(502, Why.MAY_HAVE_RUN)

    def _time_out(self) -> None:
        not_run = not self._may_have_run and self._sender.running == 0
        if not_run:
            self._refuse(Why.TIMEOUT)
        else:
            self._fail(504, Why.TIMEOUT)

    def _fail(self, status: int, why: Why) -> None:
        self._stop_timer()
        self._exchange.answer(ClientResponse(status))
        self._sender.abandon()
        self._report_failure(status, why.value)

    def _refuse(self, why: Why) -> None:
        self._stop_timer()
        core = self._core
        request = self._exchange.request
        left_s = None
        if request.wait_s is not None:
            elapsed_s = core.loop.time() - request.arrived_at
            left_s = max(0.0, request.wait_s - elapsed_s)
        refusal = refuse(why, left_s, core.random)
        self._exchange.answer(refusal.answer)
        core.metrics.count("answers", "503")
        core.log.record(
            REQUEST_REFUSED,
            request_id=request.id_text,
            route=self._route.name,
            status=503,
            why=why.value,
            retry_after_s=round(refusal.retry_after_s, 3),
            inputs=f"asked {[leaf.leaf_id for leaf in self._tried]}; "
            f"{core.describe_leafs(self._service)}",
        )

    def _client_left(self) -> None:
        """Stop what may be repeated; let the rest end at its leaf."""
        self._core.metrics.count("clients_left", self._route.name)
        self._core.log.record(
            CLIENT_DISCONNECTED,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            elapsed_ms=self._elapsed_ms(),
        )
        self._stop_timer()
        if self._route.idempotent:
            self._sender.abandon()
        else:
            self._sender.finish(self._limit_at)

    def _report_success(self) -> None:
        core = self._core
        elapsed_ms = self._elapsed_ms()
        core.metrics.record_latency(
            "forward", self._route.name, elapsed_ms / 1000
        )
        core.metrics.count("answers", "200")
        core.log.record(
            REQUEST_SERVED,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            elapsed_ms=elapsed_ms,
            extra_sends=self._sender.sent - 1,
        )

    def _report_failure(self, status: int, why: str) -> None:
        self._core.metrics.count("answers", str(status))
        self._core.log.record(
            REQUEST_FAILED,
            request_id=self._exchange.request.id_text,
            route=self._route.name,
            status=status,
            why=f"{why}: {[leaf.leaf_id for leaf in self._tried]}",
            elapsed_ms=self._elapsed_ms(),
            attempts=self._sender.sent,
        )

    def _elapsed_ms(self) -> float:
        now = self._core.loop.time()
        return round((now - self._exchange.request.arrived_at) * 1000, 1)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _is_final(response: LeafResponse) -> bool:
    """Tell whether no other leaf could give a better answer."""
    if response.is_signed_success:
        return True
    client_fault = 300 <= response.status < 500
    return client_fault and _may_pass(response) and not response.not_run


def _may_pass(response: LeafResponse) -> bool:
    """Tell whether a leaf's failure can be passed on as it is.

    A success that is not whole and a status that promises more than the
    leaf's word does cannot.
    """
    return response.status >= 300 and response.status not in NOT_RUN_STATUSES
