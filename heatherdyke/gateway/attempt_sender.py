"""Sends the attempts of one request and records their outcomes."""

from collections.abc import Callable

from heatherdyke.gateway.attempt import Attempt
from heatherdyke.gateway.events import EXTRA_SEND
from heatherdyke.gateway.header_rules import attempt_message
from heatherdyke.gateway.header_rules import request_head
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import Failure
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.timing import LatencyEstimate

# How long attempts may continue after the request was answered: a connection
# whose response arrives in this time can be reused.
LINGER_S = 0.3
# Subtracted from the remaining time of the request that is sent to a leaf, so
# that the leaf's response arrives before the request's deadline.
LEAF_DEADLINE_MARGIN_S = 0.003


class AttemptSender:
    """Sends the attempts of one request.

    ``on_end`` is called with each attempt that ends and its outcome, until
    ``finish`` or ``abandon`` is called.
    """

    __slots__ = (
        "shared",
        "request",
        "route",
        "latency",
        "deadline_at",
        "sent",
        "_head",
        "_attempts",
        "_on_end",
        "_finished",
    )

    def __init__(
        self,
        shared: SharedState,
        request: ClientRequest,
        latency: LatencyEstimate,
        deadline_at: float,
        on_end: Callable[[Attempt, AttemptOutcome], None],
        route: str = "",
    ) -> None:
        self.shared = shared
        self.request = request
        self.route = route
        self.latency = latency
        self.deadline_at = deadline_at
        self.sent = 0
        self._head = request_head(request)
        self._attempts: set[Attempt] = set()
        self._on_end = on_end
        self._finished = False

    @property
    def running(self) -> int:
        """Return the number of attempts in flight."""
        return len(self._attempts)

    @property
    def has_reached_leafs(self) -> bool:
        """Return whether a leaf may have got a request that is in flight.

        It has not while the connection to it is being opened, and will not
        once the attempts are abandoned.
        """
        return any(
            attempt.connection is not None for attempt in self._attempts
        )

    def send(
        self, leaf: Leaf, service: str, at_most_once: bool = False
    ) -> Attempt:
        """Send the request to a leaf.

        ``at_most_once`` is set for a request that must not be repeated.
        """
        shared = self.shared
        remaining_s = (
            self.deadline_at - shared.loop.time() - LEAF_DEADLINE_MARGIN_S
        )
        pool = shared.pools.of(leaf)
        attempt = Attempt(
            number=shared.pools.next_attempt_number(),
            request_id=self.request.request_id,
            message=attempt_message(
                self._head, self.request.body, remaining_s, leaf.leaf_id
            ),
            is_head=self.request.method == b"HEAD",
            pool=pool,
            on_end=self._on_attempt_end,
            service=service,
        )
        self.sent += 1
        self._attempts.add(attempt)
        pool.send(attempt, at_most_once)
        return attempt

    def send_extra(
        self,
        leaf: Leaf,
        service: str,
        reason: str,
        at_most_once: bool = False,
    ) -> Attempt:
        """Send a retry or hedge; the caller has taken it from the budget."""
        shared = self.shared
        shared.metrics.count("extra_sends", reason)
        shared.log.record(
            EXTRA_SEND,
            request_id=self.request.id_text,
            service=service,
            leaf=leaf.leaf_id,
            why=reason,
        )
        return self.send(leaf, service, at_most_once)

    def finish(self, until: float | None = None) -> None:
        """Report no more outcomes; abandon the attempts at ``until``.

        Without ``until`` the attempts are abandoned after LINGER_S.
        """
        self._finished = True
        if self._attempts:
            now = self.shared.loop.time()
            lingers = self.shared.has(Mechanism.LINGERING)
            linger_s = LINGER_S if lingers else 0.0
            at = now + linger_s if until is None else max(now, until)
            self.shared.loop.call_at(at, self.abandon)

    def abandon(self) -> None:
        """Abandon all attempts now.

        The order is not fixed.  The connections are closed, on which the leafs
        drop the requests.
        """
        self._finished = True
        now = self.shared.loop.time()
        checks_silence = self.shared.has(Mechanism.SILENCE_CHECK)
        for attempt in self._attempts:
            attempt.pool.abandon(attempt)
            if checks_silence and attempt.pool.leaf.is_silent(
                attempt.sent_at, now
            ):
                self.shared.pools.on_silent(attempt.pool, attempt.sent_at)
        self._attempts.clear()

    def _on_attempt_end(
        self, attempt: Attempt, outcome: AttemptOutcome
    ) -> None:
        self._attempts.discard(attempt)
        leaf = attempt.pool.leaf
        leaf.finish(attempt.number)
        now = self.shared.loop.time()
        record_outcome(leaf, self.latency, attempt, outcome, now)
        self._record_end(attempt, outcome)
        if outcome.response is not None:
            self.shared.links.record_response(leaf, now)
            self.shared.pools.record_statements(
                leaf, outcome.response, attempt.sent_at
            )
        elif outcome.failure is Failure.BROKEN:
            self.shared.links.record_failure(leaf, attempt.sent_at)
        if not self._finished:
            self._on_end(attempt, outcome)

    def _record_end(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Record whether the leaf survived the request."""
        if outcome.not_run or outcome.failure is Failure.EVICTED:
            return
        crash_guard = self.shared.crash_guard
        leaf_id = attempt.pool.leaf.leaf_id
        if outcome.response is not None:
            crash_guard.record_completed(
                self.request, leaf_id, attempt.sent_at
            )
        else:
            crash_guard.record_broken(self.request, self.route, leaf_id)
            self.shared.pools.check_after_break(attempt.pool)


def record_outcome(
    leaf: Leaf,
    latency: LatencyEstimate,
    attempt: Attempt,
    outcome: AttemptOutcome,
    now: float,
) -> None:
    """Update the leaf's state and the latency estimate from an outcome."""
    response = outcome.response
    if response is None:
        if outcome.failure is Failure.BROKEN:
            leaf.record_failure(now)
    elif response.status == 421:
        leaf.misdirected = True
    elif response.not_run:
        leaf.record_rejection(now)
    elif response.is_signed_success:
        latency_s = now - attempt.sent_at
        latency.add(latency_s)
        leaf.record_response(now, latency_s, latency.median_s)
    else:
        leaf.record_failure(now)
