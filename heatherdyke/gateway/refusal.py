"""Responses to requests that are not served (pure).

A refusal guarantees that the request has not run and never will; its
``Retry-After`` header says when a retry is useful.  The times have jitter, so
that clients refused together do not retry together.
"""

from dataclasses import dataclass
from enum import Enum
from math import ceil
from random import Random

from heatherdyke.gateway.messages import ClientResponse

JITTER = 0.5
# Clients honour a time only up to this share of their remaining time.
MAX_REMAINING_SHARE = 0.3
MIN_RETRY_AFTER_S = 0.01
RETRY_AFTER = b"Retry-After"


class RefusalReason(Enum):
    """The reason why a request is not served."""

    STARTING = "starting"
    # The process ends before the request would.
    STOPPING = "stopping"
    NO_ROUTE = "no_route"
    UNSURE_ROUTE = "unsure_route"
    NO_LEAF = "no_leaf"
    LEAFS_FULL = "leafs_full"
    LEAF_RATES = "leaf_rates"
    RETRY_BUDGET = "retry_budget"
    MAY_HAVE_RUN = "may_have_run"
    TIMEOUT = "timeout"
    SHARE_NOT_REACHED = "share_not_reached"
    NO_TIME_LEFT = "no_time_left"
    MALFORMED = "malformed"
    # Messages that are needed fill the memory.
    MEMORY = "memory"
    # The request seems to crash the leafs that run it.
    QUARANTINED = "quarantined"
    # It may, and no leaf is available to find out.
    SUSPECT = "suspect"


RETRY_AFTER_S_BY_REASON = {
    RefusalReason.STARTING: 0.5,
    # Another instance can serve the request now.
    RefusalReason.STOPPING: 0.05,
    RefusalReason.UNSURE_ROUTE: 0.5,
    # Suspect leafs are checked after 0.25 to 2 s.
    RefusalReason.NO_LEAF: 0.8,
    RefusalReason.LEAFS_FULL: 0.15,
    # Spreads the retries, which come after the wait for the rates.
    RefusalReason.LEAF_RATES: 0.3,
    RefusalReason.RETRY_BUDGET: 0.15,
    RefusalReason.NO_TIME_LEFT: 0.1,
    # The leaf that a suspect request needs may be back by then.
    RefusalReason.SUSPECT: 1.0,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal's answer and its ``Retry-After`` value, for the log.

    The value is None if a retry would be refused too.
    """

    answer: ClientResponse
    retry_after_s: float | None


def make_refusal(
    reason: RefusalReason,
    remaining_s: float | None,
    random: Random,
    min_after_s: float = 0.0,
) -> Refusal:
    """Return a 503 response with a ``Retry-After`` header.

    ``remaining_s`` is how long the client still waits, None if unknown.  An
    earlier retry than ``min_after_s`` is known to be refused too.
    """
    base_s = RETRY_AFTER_S_BY_REASON.get(reason, 0.3)
    spread = JITTER * random.random()
    after_s = base_s * (1.0 - JITTER + 2.0 * spread)
    after_s = max(after_s, min_after_s + base_s * spread)
    if remaining_s is not None:
        after_s = min(after_s, MAX_REMAINING_SHARE * remaining_s)
    after_s = max(MIN_RETRY_AFTER_S, after_s)
    headers = [(RETRY_AFTER, b"%.3f" % after_s)]
    return Refusal(ClientResponse(503, headers), after_s)


def make_quarantine_refusal(after_s: float, random: Random) -> Refusal:
    """Return a 503 response to a request that no leaf gets for ``after_s``.

    Unlike others it does not end within the time that the client still waits.
    """
    after_s = ceil(after_s * (1.0 + JITTER * random.random()))
    headers = [(RETRY_AFTER, b"%d" % after_s)]
    return Refusal(ClientResponse(503, headers), after_s)


def make_failure_answer(
    reason: RefusalReason, not_run: bool, random: Random
) -> ClientResponse:
    """Return the final answer to a request that was sent to leafs."""
    if not_run:
        return make_refusal(reason, None, random).answer
    return ClientResponse(504 if reason is RefusalReason.TIMEOUT else 502)
