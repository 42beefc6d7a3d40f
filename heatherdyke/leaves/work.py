"""Work for one leaf and the messages that its worker takes."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherdyke.errors import TransportError
from heatherdyke.messages import LeafAnswer
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRun
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import LeafSearch
from heatherdyke.search.observer import SearchObserver

Outcome = LeafAnswer | LeafRefusal | LeafRunAnswer | TransportError


@dataclass(slots=True, eq=False)
class LeafWork:
    """One search or run for a leaf, and where its outcome goes.

    ``deliver`` is called once with the work; ``sent`` tells whether it may
    have reached the leaf.  Times are monotonic seconds.
    """

    leaf_id: str
    request: LeafSearch | LeafRun
    priority: int
    submitted_at: float
    expires_at: float
    deliver: Callable[["LeafWork"], None]
    outcome: Outcome | None = None
    sent: bool = False
    started_at: float = 0.0
    took_s: float = 0.0
    load: float = 0.0
    level: int = 0
    incarnation: str = ""
    draining: bool = False


@dataclass(frozen=True, slots=True)
class SubmitWork:
    """Asks the worker to do a piece of work."""

    work: LeafWork


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Asks the worker to drop a piece of work, running or not."""

    work: LeafWork


@dataclass(frozen=True, slots=True)
class RejectIfQueued:
    """Asks the worker to refuse a piece of work that waits behind others."""

    work: LeafWork


@dataclass(frozen=True, slots=True)
class WakeUp:
    """Makes the worker look at its queue again."""


@dataclass(frozen=True, slots=True)
class LeafListed:
    """The platform's list says whether this run of the leaf is leaving."""

    leaving: bool
    incarnation: str


@dataclass(slots=True)
class WorkerPolicy:
    """What the home tells its workers to use.

    ``slots_allowed`` is asked immediately before each send, with the
    longest time in seconds that the work may last.
    """

    is_home: Callable[[], bool]
    slots_allowed: Callable[[float], int]
    typical_latency_s: Callable[[], float]
    record_latency: Callable[[float, bool], None]
    observer: SearchObserver
    silence_timeout: bool = True
    match_parts: bool = True
    honour_drain: bool = True


def refuse(work: LeafWork, kind: str) -> LeafRefusal:
    """Return a refusal of the work that its home decided on."""
    request = work.request
    return LeafRefusal(request.request_id, request.shard, kind)
