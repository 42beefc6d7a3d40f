"""Forwards a request to a leaf of a service; retries and hedges at others."""

import asyncio

from heatherdyke.gateway.attempt import Attempt
from heatherdyke.gateway.attempt_sender import AttemptSender
from heatherdyke.gateway.crash_guard import Admission
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.header_rules import forwarded_headers
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.messages import Failure
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.outcome_report import OutcomeReport
from heatherdyke.gateway.peer_forward import PeerForward
from heatherdyke.gateway.prior_attempts import NO_ATTEMPTS
from heatherdyke.gateway.prior_attempts import PriorAttempts
from heatherdyke.gateway.refusal import RefusalReason
from heatherdyke.gateway.refusal import make_refusal
from heatherdyke.gateway.refused_request import refuse_quarantined
from heatherdyke.gateway.refused_request import send_refusal
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.timing import answer_due_at
from heatherdyke.gateway.timing import final_answer_deadline

# Statuses from which a client concludes that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class ForwardedRequest:
    """One forwarded request, from its arrival to its response.

    ``prior`` is given for a request that another instance has passed on; it
    is not passed on again.
    """

    __slots__ = (
        "_shared",
        "_exchange",
        "_route",
        "_service",
        "_latency",
        "_sender",
        "_prior",
        "_tried_leafs",
        "_rejected_by",
        "_is_counted",
        "_deadline_at",
        "_due_at",
        "_timer",
        "_may_have_run",
        "_careful",
        "_broken_count",
        "_last_failure",
        "_refusal_reason",
        "_may_relay",
        "_relay",
        "_report",
    )

    def __init__(
        self,
        shared: SharedState,
        exchange: Exchange,
        route: Route,
        service: str,
        prior: PriorAttempts | None = None,
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
        self._sender = AttemptSender(
            shared,
            request,
            self._latency,
            self._deadline_at,
            self._on_attempt_end,
            route.name,
        )
        self._prior = prior or NO_ATTEMPTS
        self._tried_leafs: list[Leaf] = []
        self._rejected_by: list[str] = []
        self._is_counted = self._prior.is_counted
        self._timer: asyncio.TimerHandle | None = None
        self._may_have_run = False
        self._careful = False
        self._broken_count = 0
        self._last_failure: LeafResponse | None = None
        self._refusal_reason = RefusalReason.NO_LEAF
        self._may_relay = prior is None
        self._relay: PeerForward | None = None
        self._report = OutcomeReport(shared, request, route, "forward")

    def start(self) -> None:
        """Send the request to the best leaf, or refuse it without one.

        If other instances may reach a leaf that this one cannot, one of them
        forwards it.
        """
        shared = self._shared
        now = shared.loop.time()
        if now >= self._deadline_at:
            self._refuse(RefusalReason.NO_TIME_LEFT)
            return
        admission = shared.crash_guard.admission(self._exchange.request)
        if admission is Admission.REFUSED:
            refuse_quarantined(shared, self._exchange, self._route.name)
            return
        self._careful = (
            self._prior.is_careful or admission is Admission.CAREFUL
        )
        self._exchange.on_disconnect(self._on_client_disconnect)
        self._exchange.on_shutdown(self._on_shutdown)
        if shared.has_lost_leafs and self._start_relay():
            return
        leaf = self._choose()
        if leaf is not None:
            self._send_first(leaf)
        elif not self._start_relay():
            self._refuse_without_leaf()

    def _send_first(self, leaf: Leaf) -> None:
        """Send to the first leaf here, a retry if one has rejected it."""
        budget = self._shared.budget
        now = self._shared.loop.time()
        if self._prior.is_uncharged_retry and not budget.try_acquire(
            self._service, now
        ):
            self._refuse(RefusalReason.RETRY_BUDGET)
            return
        if not self._is_counted:
            self._is_counted = True
            budget.count_request(self._service, now)
        is_retry = bool(self._prior.rejected_by)
        self._send(leaf, "rejected_elsewhere" if is_retry else None)
        self._set_timer()

    def _start_relay(self) -> bool:
        """Ask another instance; return False if none may help."""
        if not self._may_relay:
            return False
        self._may_relay = False
        shared = self._shared
        is_retry = bool(self._rejected_by)
        if not shared.may_relay(self._service, self._route, is_retry):
            return False
        prior = PriorAttempts(
            tuple(self._rejected_by),
            is_counted=self._is_counted,
            is_careful=self._careful,
        )
        if prior.attempts_left(self._route.max_attempts) <= 0:
            return False
        relay = PeerForward(
            shared,
            self._exchange,
            self._route,
            self._service,
            self._deadline_at,
            prior,
            self._on_relay_end,
        )
        if not relay.start():
            return False
        self._relay = relay
        self._stop_timer()
        self._timer = shared.loop.call_at(self._deadline_at, self._on_timer)
        return True

    def _on_relay_end(self, answer: ClientResponse | None) -> None:
        self._relay = None
        self._stop_timer()
        if answer is not None:
            self._shared.metrics.count("answers", str(answer.status))
            self._exchange.answer(answer)
            return
        shared = self._shared
        relays = shared.relays_of(is_retry=bool(self._rejected_by))
        relays.record_failure((self._service,), shared.loop.time())
        self._refuse_without_leaf()

    def _choose(self) -> Leaf | None:
        rejected_before = self._shared.leafs.find(self._prior.rejected_by)
        return self._shared.selector.choose(
            self._service,
            self._route,
            [*rejected_before, *self._tried_leafs],
            self._latency.median_s,
        )

    def _send(self, leaf: Leaf, reason: str | None = None) -> None:
        self._tried_leafs.append(leaf)
        at_most_once = not self._route.idempotent
        if reason is None:
            self._sender.send(leaf, self._service, at_most_once)
        else:
            self._sender.send_extra(leaf, self._service, reason, at_most_once)

    def _send_extra(self, reason: str) -> bool:
        """Send a retry or hedge if the limits and the budget allow it."""
        shared = self._shared
        if self._careful or shared.crash_guard.may_crash_more(
            self._broken_count
        ):
            return False
        if len(self._tried_leafs) >= self._route.max_attempts:
            return False
        remaining_s = self._deadline_at - shared.loop.time()
        if remaining_s <= 0.0:
            return False
        if not shared.can_finish(self._route, self._service, remaining_s):
            self._refusal_reason = RefusalReason.STOPPING
            return False
        leaf = self._choose()
        if leaf is None:
            return False
        if not shared.budget.try_acquire(self._service, shared.loop.time()):
            self._refusal_reason = RefusalReason.RETRY_BUDGET
            return False
        self._send(leaf, reason)
        return True

    def _on_attempt_end(
        self, attempt: Attempt, outcome: AttemptOutcome
    ) -> None:
        response = outcome.response
        if not outcome.not_run:
            self._may_have_run = True
        if outcome.failure is Failure.BROKEN:
            self._broken_count += 1
        if response is not None and _is_final(response):
            self._pass_on(response)
            return
        if outcome.not_run:
            if response is not None:
                self._rejected_by.append(attempt.pool.leaf.leaf_id)
            self._refusal_reason = RefusalReason.LEAFS_FULL
        else:
            self._last_failure = response or self._last_failure
        may_repeat = self._shared.has(Mechanism.RETRIES) and (
            outcome.not_run or self._route.idempotent
        )
        reason = "rejected" if outcome.not_run else "failed"
        if may_repeat and self._send_extra(reason):
            return
        if self._sender.running == 0:
            self._respond_without_success()

    def _set_timer(self) -> None:
        hedge_at = self._deadline_at
        may_hedge = self._route.idempotent and self._route.max_attempts > 1
        if may_hedge and self._shared.has(Mechanism.HEDGING):
            now = self._shared.loop.time()
            delay_s = self._latency.hedge_delay_s(self._due_at - now)
            hedge_at = min(hedge_at, now + delay_s)
        self._timer = self._shared.loop.call_at(hedge_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._shared.loop.time() >= self._deadline_at:
            self._on_deadline()
            return
        self._send_extra("straggler")
        self._timer = self._shared.loop.call_at(
            self._deadline_at, self._on_timer
        )

    def _pass_on(self, response: LeafResponse) -> None:
        self._stop_timer()
        headers = forwarded_headers(response.headers, frozenset())
        answer = ClientResponse(response.status, headers, response.body)
        self._exchange.answer(answer)
        self._sender.abandon()
        if response.is_signed_success:
            self._report.answered(self._sender.sent - 1)
        else:
            self._report_failure(answer.status, "leaf_status")

    def _respond_without_success(self) -> None:
        """Respond when no attempt is in flight and no retry is possible."""
        failure = self._last_failure
        if not self._may_have_run:
            if not self._start_relay():
                self._refuse(self._refusal_reason)
        elif failure is not None and _can_pass_on(failure):
            self._pass_on(failure)
        else:
            self._fail(502, RefusalReason.MAY_HAVE_RUN)

    def _on_deadline(self) -> None:
        self._give_up(RefusalReason.TIMEOUT)

    def _on_shutdown(self) -> None:
        self._give_up(RefusalReason.STOPPING)

    def _give_up(self, reason: RefusalReason) -> None:
        """Answer without waiting for the attempts in flight."""
        if self._relay is not None:
            self._relay.abandon()
            self._may_have_run = self._relay.may_have_run
        if self._may_have_run or self._sender.has_reached_leafs:
            self._fail(504, reason)
        else:
            self._sender.abandon()
            self._refuse(reason)

    def _fail(self, status: int, reason: RefusalReason) -> None:
        self._stop_timer()
        self._exchange.answer(ClientResponse(status))
        self._sender.abandon()
        self._report_failure(status, reason.value)

    def _refuse_without_leaf(self) -> None:
        wait_s = self._shared.selector.rate_wait_s(
            (self._service,), self._route, 1
        )
        if wait_s is None:
            self._refuse(RefusalReason.NO_LEAF)
        else:
            self._refuse(RefusalReason.LEAF_RATES, wait_s)

    def _refuse(self, reason: RefusalReason, min_after_s: float = 0.0) -> None:
        self._stop_timer()
        shared = self._shared
        request = self._exchange.request
        remaining_s = None
        if request.wait_s is not None:
            elapsed_s = shared.loop.time() - request.arrived_at
            remaining_s = max(0.0, request.wait_s - elapsed_s)
        refusal = make_refusal(reason, remaining_s, shared.random, min_after_s)
        send_refusal(
            shared,
            self._exchange,
            self._route.name,
            reason,
            refusal,
            f"sent to {[leaf.leaf_id for leaf in self._tried_leafs]}; "
            f"{shared.selector.describe(self._service)}",
        )

    def _on_client_disconnect(self) -> None:
        """Cancel an idempotent request; let others complete at the leaf."""
        self._report.client_left()
        self._stop_timer()
        if self._relay is not None:
            self._relay.abandon()
        if self._route.idempotent:
            self._sender.abandon()
        else:
            self._sender.finish(self._deadline_at)

    def _report_failure(self, status: int, reason: str) -> None:
        why = f"{reason}: {[leaf.leaf_id for leaf in self._tried_leafs]}"
        self._report.failed(status, why, self._sender.sent)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _is_final(response: LeafResponse) -> bool:
    """Return whether a retry cannot give a better response."""
    if response.is_signed_success:
        return True
    is_client_error = 300 <= response.status < 500
    return is_client_error and _can_pass_on(response) and not response.not_run


def _can_pass_on(response: LeafResponse) -> bool:
    """Return whether an unsuccessful response can be passed on unchanged.

    Neither a success that failed validation can, nor a status from which the
    client would conclude that the request has not run.
    """
    return response.status >= 300 and response.status not in NOT_RUN_STATUSES
