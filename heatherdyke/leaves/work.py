"""Work for one leaf, and the messages that its worker accepts."""

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
    """One search or run for a leaf, with its outcome.

    ``deliver`` is called once with the finished work.  ``sent`` tells
    whether the request may have reached the leaf.  ``load``, ``level``,
    ``incarnation`` and ``draining`` describe the leaf when the work is
    delivered.  Times are monotonic seconds.
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
    """Adds work to the worker's queue."""

    work: LeafWork


@dataclass(frozen=True, slots=True)
class CancelWork:
    """Cancels work, whether it is queued or running."""

    work: LeafWork


@dataclass(frozen=True, slots=True)
class RejectIfQueued:
    """Refuses work that is still queued if the worker is overloaded."""

    work: LeafWork


@dataclass(frozen=True, slots=True)
class WakeUp:
    """Makes the worker process its queue again."""


@dataclass(frozen=True, slots=True)
class LeafListed:
    """Reports whether the instance list shows an incarnation as leaving."""

    leaving: bool
    incarnation: str


@dataclass(slots=True)
class WorkerPolicy:
    """The settings and callbacks that the dispatcher gives its workers.

    ``slots_allowed`` is called immediately before each send, with the
    longest time in seconds that the work may take.  With ``match_parts``, a
    response to another request, or of another shard or snapshot, is an error.
    With ``honour_drain``, a draining leaf gets no new work.
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
    """Return a refusal of the work by this home."""
    request = work.request
    return LeafRefusal(request.request_id, request.shard, kind)
