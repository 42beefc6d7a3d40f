"""Sends one request's attempts and takes in what each leaf's end tells."""

from collections.abc import Callable

from heatherdyke.gateway.core import Core
from heatherdyke.gateway.events import EXTRA_SEND
from heatherdyke.gateway.header_rules import attempt_message
from heatherdyke.gateway.header_rules import request_head
from heatherdyke.gateway.leaf_connection import Attempt
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import AttemptFailure
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.timing import Pace

# How long answers that are not needed any more may still come in, so that
# their connections can be used again.
LINGER_S = 0.3
# A leaf gets a little less time than the request has left.
LEAF_MARGIN_S = 0.003


class AttemptSender:
    """The attempts of one request; ``on_end`` hears how each ended."""

    __slots__ = (
        "core",
        "request",
        "pace",
        "limit_at",
        "sent",
        "_head",
        "_running",
        "_on_end",
        "_finished",
    )

    def __init__(
        self,
        core: Core,
        request: ClientRequest,
        pace: Pace,
        limit_at: float,
        on_end: Callable[[Attempt, AttemptOutcome], None],
    ) -> None:
        self.core = core
        self.request = request
        self.pace = pace
        self.limit_at = limit_at
        self.sent = 0
        self._head = request_head(request)
        self._running: set[Attempt] = set()
        self._on_end = on_end
        self._finished = False

    @property
    def running(self) -> int:
        """Return the number of attempts without an end."""
        return len(self._running)

    def send(self, leaf: Leaf, service: str, once: bool = False) -> Attempt:
        """Send the request to a leaf."""
        core = self.core
        remaining_s = self.limit_at - core.loop.time() - LEAF_MARGIN_S
        pool = core.pools.of(leaf)
        attempt = Attempt(
            number=core.pools.number(),
            request_id=self.request.request_id,
            message=attempt_message(
                self._head, self.request.body, remaining_s, leaf.leaf_id
            ),
            is_head=self.request.method == b"HEAD",
            pool=pool,
            on_end=self._ended,
            context=service,
        )
        self.sent += 1
        self._running.add(attempt)
        pool.send(attempt, once)
        return attempt

    def send_extra(
        self,
        leaf: Leaf,
        service: str,
        why: str,
        once: bool = False,
    ) -> Attempt:
        """Send the request to one more leaf; the budget has been asked."""
        core = self.core
        core.metrics.count("extra_sends", why)
        core.log.record(
            EXTRA_SEND,
            request_id=self.request.id_text,
            service=service,
            leaf=leaf.leaf_id,
            why=why,
        )
        return self.send(leaf, service, once)

    def finish(self, until: float | None = None) -> None:
        """Let answers that are not needed come in for a while."""
        self._finished = True
        if self._running:
            now = self.core.loop.time()
            at = now + LINGER_S if until is None else max(now, until)
            self.core.loop.call_at(at, self.abandon)

    def abandon(self) -> None:
        """Stop all attempts; leafs drop what they have not finished."""
        self._finished = True
        now = self.core.loop.time()
        for attempt in self._running:
            attempt.pool.abandon(attempt)
            if attempt.pool.leaf.is_silent(attempt.sent_at, now):
                self.core.pools.silent(attempt.pool)
        self._running.clear()

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self._running.discard(attempt)
        leaf = attempt.pool.leaf
        leaf.finish(attempt.number)
        now = self.core.loop.time()
        record_outcome(leaf, self.pace, attempt, outcome, now)
        if outcome.response is not None:
            self.core.isolation.hear_answer(leaf.entry.zone, now)
        elif outcome.failure is AttemptFailure.BROKEN:
            self.core.isolation.hear_failure(leaf.entry.zone)
        if not self._finished:
            self._on_end(attempt, outcome)


def record_outcome(
    leaf: Leaf,
    pace: Pace,
    attempt: Attempt,
    outcome: AttemptOutcome,
    now: float,
) -> None:
    """Let the beliefs on the leaf and the pace follow an outcome."""
    response = outcome.response
    if response is None:
        if not outcome.not_run:
            leaf.hear_failure(now)
    elif response.status == 421:
        leaf.misdirected = True
    elif response.not_run:
        leaf.hear_rejection(now)
    elif response.is_signed_success:
        took_s = now - attempt.sent_at
        pace.add(took_s)
        leaf.hear_answer(now, took_s, pace.usual_s)
    else:
        leaf.hear_failure(now)
