"""What a request is told that is not served (pure).

A refusal is a promise that the request has not run and never will; it names
the time after which coming back is of use.  Times are spread out, so that
those who were refused together do not return together.
"""

from dataclasses import dataclass
from enum import Enum
from random import Random

from heatherdyke.gateway.messages import ClientResponse

SPREAD = 0.5
# Callers heed a time only up to this share of what they have left.
HEEDED_SHARE = 0.3
SHORTEST_S = 0.01


class Why(Enum):
    """Why a request is not served."""

    STARTING = "starting"
    NO_ROUTE = "no_route"
    UNSURE_ROUTE = "unsure_route"
    NO_LEAF = "no_leaf"
    LEAFS_FULL = "leafs_full"
    BUDGET = "retry_budget"
    MAY_HAVE_RUN = "may_have_run"
    TIMEOUT = "timeout"
    SHARE = "share_not_reached"
    NO_TIME = "no_time_left"
    MALFORMED = "malformed"


RETRY_AFTER_BY_WHY = {
    Why.STARTING: 0.5,
    Why.UNSURE_ROUTE: 0.5,
    Why.NO_LEAF: 0.3,
    Why.LEAFS_FULL: 0.15,
    Why.BUDGET: 0.15,
    Why.NO_TIME: 0.1,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal's answer and its ``Retry-After``, for the log."""

    answer: ClientResponse
    retry_after_s: float


def refuse(why: Why, left_s: float | None, random: Random) -> Refusal:
    """Return a 503 that says when to come back.

    ``left_s`` is how long the client still waits, None if unknown.
    """
    base_s = RETRY_AFTER_BY_WHY.get(why, 0.3)
    after_s = base_s * (1.0 + SPREAD * (2.0 * random.random() - 1.0))
    if left_s is not None:
        after_s = min(after_s, HEEDED_SHARE * left_s)
    after_s = max(SHORTEST_S, after_s)
    headers = [(b"Retry-After", b"%.3f" % after_s)]
    return Refusal(ClientResponse(503, headers), after_s)


def fail(why: Why, not_run: bool, random: Random) -> ClientResponse:
    """Return the final answer of a request that leafs were asked for."""
    if not_run:
        return refuse(why, None, random).answer
    return ClientResponse(504 if why is Why.TIMEOUT else 502)
