"""Typed messages between callers, instances, leaves and the platform.

Durations end in ``_ms`` or ``_s``.  Deadlines are sent as ``remaining_ms``,
the time remaining when the message was sent, because instances do not share a
clock.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any


@dataclass(frozen=True, slots=True)
class Item:
    """One search hit; higher scores rank first."""

    id: str
    score: float
    text: str = ""
    shard: str = ""


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """A caller's search over the shards of one or more services.

    All services have to belong to one index, so that one snapshot covers
    them.  ``wanted_coverage`` is a share from 0 to 1.  If
    ``wanted_coverage`` or ``deadline_ms`` is None, the value of the urgency
    class applies.
    """

    services: list[str]
    query: str
    urgency: str = "default"
    deadline_ms: int | None = None
    wanted_coverage: float | None = None
    limit: int = 10


@dataclass(frozen=True, slots=True)
class Coverage:
    """The part of the pinned snapshot's weight that an answer covers.

    ``missing`` names the shards that the answer does not cover.
    """

    covered_weight: float
    total_weight: float
    missing: list[str] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Return the covered share, from 0 to 1; 1 if nothing has weight."""
        if self.total_weight <= 0:
            return 1.0
        return self.covered_weight / self.total_weight


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """The answer to a search; ``cost`` is the number of leaf searches sent."""

    request_id: str
    snapshot: int
    coverage: Coverage
    coverage_share: float
    items: list[Item]
    total: int
    cost: int
    elapsed_ms: float
    instance: str


class PartState(Enum):
    """The result state of one shard's part of a search."""

    WHOLE = "whole"
    TRUNCATED = "truncated"
    REFUSED = "refused"
    LOST = "lost"
    LATE = "late"
    SNAPSHOT_GONE = "snapshot_gone"
    SPLIT = "split"
    NOT_HOME = "not_home"


@dataclass(frozen=True, slots=True)
class PartRequest:
    """One shard to search on one leaf, sent to the leaf's home instance.

    A ``movable`` part can be served by another replica; the home instance
    returns it unsent if it cannot send it soon.
    """

    shard: str
    leaf: str
    movable: bool = False


@dataclass(frozen=True, slots=True)
class PeerSearch:
    """The sub-queries of one search for leaves with the same home instance.

    The home instance responds with a stream of PeerParts lines: the first
    when all parts are done or ``report_after_ms`` has passed, then one per
    later part.  ``clock`` is the sender's hybrid logical timestamp.
    """

    request_id: str
    origin: str
    snapshot: int
    query: str
    priority: int
    remaining_ms: float
    report_after_ms: float
    limit: int
    parts: list[PartRequest]
    clock: str = ""


@dataclass(frozen=True, slots=True)
class Part:
    """One shard's result as the leaf's home instance reports it.

    - ``snapshots``: the snapshots that the leaf holds, if it no longer has
      the pinned one.
    - ``children``: the shards into which this one was split.
    - ``asked``: the number of searches sent to the leaf.
    - ``leaf_ms``: the time from submission to the leaf's answer.
    - ``level``: the concurrency limit of the home instance for the leaf's
      ``incarnation``.
    - ``load``: the work for the leaf that is queued or in flight at the home
      instance, divided by ``level``.
    """

    shard: str
    leaf: str
    state: PartState
    total: int = 0
    snapshots: list[int] = field(default_factory=list)
    children: list[str] = field(default_factory=list)
    leaf_ms: float = 0.0
    asked: int = 0
    draining: bool = False
    load: float = 0.0
    level: int = 0
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class PeerParts:
    """Results of some parts of a PeerSearch, with their items merged.

    ``last`` marks the final line of the stream.
    """

    request_id: str
    parts: list[Part]
    items: list[Item]
    last: bool = False
    clock: str = ""


@dataclass(frozen=True, slots=True)
class PeerCancel:
    """Cancels the shards of a search whose answers are no longer needed."""

    request_id: str
    shards: list[str]


@dataclass(frozen=True, slots=True)
class LeafSearch:
    """One search of one shard, as sent to a leaf."""

    request_id: str
    shard: str
    snapshot: int
    query: str
    limit: int
    remaining_ms: float
    instance: str = ""


@dataclass(frozen=True, slots=True)
class LeafAnswer:
    """A leaf's answer to a LeafSearch.

    ``request_id``, ``shard`` and ``snapshot`` are copied from the request.
    """

    request_id: str
    shard: str
    snapshot: int
    leaf: str
    incarnation: str
    items: list[Item]
    total: int
    truncated: bool = False
    draining: bool = False
    uptime_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class LeafRefusal:
    """The reason why a leaf did not execute a request.

    ``kind`` is one of shed, draining, deadline, snapshot_gone, shard_split,
    unknown_shard, cancelled, or, if the leaf's home instance refused the
    request itself, not_sent or not_home.
    """

    request_id: str
    shard: str
    kind: str
    incarnation: str = ""
    retry_after_ms: float = 0.0
    snapshots: list[int] = field(default_factory=list)
    children: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LeafRun:
    """A request to execute at most once: an archive pull, a billing lookup."""

    request_id: str
    key: str
    shard: str
    operation: str
    argument: str
    remaining_ms: float
    instance: str = ""


@dataclass(frozen=True, slots=True)
class LeafRunAnswer:
    """The result of a LeafRun.

    ``request_id`` and ``key`` are copied from the request.
    """

    request_id: str
    key: str
    shard: str
    leaf: str
    incarnation: str
    result: str


@dataclass(frozen=True, slots=True)
class PlatformObject:
    """A stored object with the version of its last update."""

    key: str
    version: int
    value: Any


class InstanceState(Enum):
    """The state of a row in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceKind(Enum):
    """The kind of a row in the platform's instance list."""

    ENTRY = "entry"
    BACKEND = "backend"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the platform's instance list, which may be out of date.

    ``address`` is ``host:port`` with a literal IP address.
    """

    name: str
    kind: InstanceKind
    zone: str
    address: str
    incarnation: str
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, slots=True)
class PeerRun:
    """A run, sent to the home instance of its leaf.

    Lower values of ``priority`` are sent to the leaf first.
    """

    leaf: str
    priority: int
    run: LeafRun


@dataclass(frozen=True, slots=True)
class PeerRunOutcome:
    """The outcome of a PeerRun: an answer, a refusal or a failure.

    ``sent`` tells whether the run may have reached the leaf.
    """

    answer: LeafRunAnswer | None = None
    refusal: LeafRefusal | None = None
    failure: str = ""
    sent: bool = False


@dataclass(frozen=True, slots=True)
class IndexSnapshots:
    """The value of a ``snapshots/<index>`` object in the platform.

    ``current`` is the snapshot that new searches use, ``held`` are those
    that leaves keep available.
    """

    current: int
    held: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RunRequest:
    """A caller's request to execute at most once under a key.

    Without ``shard``, a hash of ``argument`` selects one of the service's
    shards.
    """

    service: str
    operation: str
    argument: str
    shard: str | None = None
    deadline_ms: int | None = None
    urgency: str = "default"


class RunOutcomeState(Enum):
    """The known state of a run; all but ``running`` are final."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """The outcome of the run with this key; ``result`` is set if done."""

    key: str
    state: RunOutcomeState
    result: str | None = None
    detail: str = ""
    instance: str = ""


@dataclass(frozen=True, slots=True)
class RunTickets:
    """Unused tickets: run keys bound to one incarnation of an instance."""

    tickets: list[str]


@dataclass(frozen=True, slots=True)
class PeerRunOnce:
    """A request about a run, sent to its holder.

    The holder is the instance that keeps the state of the run.  ``attempt``
    identifies the holder's attempt if the key is recorded.  ``intent`` is
    one of run, look (query only), withdraw (prevent a run not yet sent).
    """

    team: str
    key: str
    attempt: str
    intent: str
    priority: int
    remaining_ms: float
    fingerprint: str = ""
    request: RunRequest | None = None


@dataclass(frozen=True, slots=True)
class PeerRunOnceOutcome:
    """The holder's answer; ``phase`` is a value of run_once.RunPhase.

    An empty ``phase`` means that the queried instance is not the holder.
    """

    phase: str = ""
    result: str | None = None
    detail: str = ""
