"""What a request is told that is not served (pure).

A refusal is a promise that the request has not run and never will; it names
the time after which coming back is of use.  Times are spread out, so that
those who were refused together do not return together.
"""

from dataclasses import dataclass
from enum import Enum
from random import Random

from heatherdyke.gateway.messages import Answer

SPREAD = 0.5
# Callers heed a time only up to this share of what they have left.
HEEDED_SHARE = 0.3
SHORTEST_S = 0.01


class RefusalReason(Enum):
    """Why a request is not served."""

    STARTING = "starting"
    NO_ROUTE = "no_route"
    UNSURE_ROUTE = "unsure_route"
    NO_LEAF = "no_leaf"
    LEAFS_FULL = "leafs_full"
    RETRY_BUDGET = "retry_budget"
    MAY_HAVE_RUN = "may_have_run"
    TIMEOUT = "timeout"
    SHARE_NOT_REACHED = "share_not_reached"
    NO_TIME_LEFT = "no_time_left"
    MALFORMED = "malformed"


RETRY_AFTER_BY_WHY = {
    RefusalReason.STARTING: 0.5,
    RefusalReason.UNSURE_ROUTE: 0.5,
    RefusalReason.NO_LEAF: 0.3,
    RefusalReason.LEAFS_FULL: 0.15,
    RefusalReason.RETRY_BUDGET: 0.15,
    RefusalReason.NO_TIME_LEFT: 0.1,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal's answer and its ``Retry-After``, for the log."""

    answer: Answer
    retry_after_s: float


def refuse(
    why: RefusalReason, left_s: float | None, random: Random
) -> Refusal:
    """Return a 503 that says when to come back.

    ``left_s`` is how long the client still waits, None if unknown.
    """
    base_s = RETRY_AFTER_BY_WHY.get(why, 0.3)
    after_s = base_s * (1.0 + SPREAD * (2.0 * random.random() - 1.0))
    if left_s is not None:
        after_s = min(after_s, HEEDED_SHARE * left_s)
    after_s = max(SHORTEST_S, after_s)
    headers = [(b"Retry-After", b"%.3f" % after_s)]
    return Refusal(Answer(503, headers), after_s)


def fail(why: RefusalReason, not_run: bool, random: Random) -> Answer:
    """Return the final answer of a request that leafs were asked for."""
    if not_run:
        return refuse(why, None, random).answer
    return Answer(504 if why is RefusalReason.TIMEOUT else 502)
