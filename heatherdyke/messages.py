"""Typed messages between callers, instances, leaves and the platform.

Durations end in ``_ms`` or ``_s``; a ``remaining_ms`` is the time left when
the message was sent, because instances share no clock.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any


@dataclass(frozen=True, slots=True)
class Item:
    """One hit of a search; higher scores come first."""

    id: str
    score: float
    text: str = ""
    shard: str = ""


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """A caller's search over the shards of one or more services.

    All services belong to one index, so that one snapshot covers them.
    ``wanted_coverage`` is a share from 0 to 1; None takes the urgency
    class's value, as does ``deadline_ms``.
    """

    services: list[str]
    query: str
    urgency: str = "default"
    deadline_ms: int | None = None
    wanted_coverage: float | None = None
    limit: int = 10


@dataclass(frozen=True, slots=True)
class Coverage:
    """The share of the pinned snapshot's weight that an answer covers."""

    covered_weight: float
    total_weight: float
    missing: list[str] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Return the covered share, from 0 to 1."""
        if self.total_weight <= 0:
            return 1.0
        return self.covered_weight / self.total_weight


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """The answer to a search; ``cost`` counts the leaf searches sent."""

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
    """How one shard's part of a search ended."""

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
    """One shard to search on one leaf, for the instance that is its home.

    A ``movable`` part has another replica: the home gives it back unsent
    when it cannot send it soon.
    """

    shard: str
    leaf: str
    movable: bool = False


@dataclass(frozen=True, slots=True)
class PeerSearch:
    """Sub-queries of one search, grouped by the home of their leaves.

    The home answers with lines of PeerParts: the first when all parts are
    done or ``report_after_ms`` has passed, then one for each later part.
    ``clock`` is the sender's hybrid timestamp.
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
    """One shard's result as the home reports it.

    ``snapshots`` lists what the leaf holds if it has lost the pinned one;
    ``children`` names the shards that a split made of this one, ``asked``
    counts the searches sent to the leaf, ``leaf_ms`` is the time from
    submission to the answer, and ``load`` the work at the leaf's home
    over what the home may send at once, which is ``level`` for the leaf's
    ``incarnation``.
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
    """Some parts of a PeerSearch with their items merged."""

    request_id: str
    parts: list[Part]
    items: list[Item]
    last: bool = False
    clock: str = ""


@dataclass(frozen=True, slots=True)
class PeerCancel:
    """Withdraws shards of a search whose answers are no longer wanted."""

    request_id: str
    shards: list[str]


@dataclass(frozen=True, slots=True)
class LeafSearch:
    """One search of one shard, as a leaf takes it."""

    request_id: str
    shard: str
    snapshot: int
    query: str
    limit: int
    remaining_ms: float
    instance: str = ""


@dataclass(frozen=True, slots=True)
class LeafAnswer:
    """A leaf's answer; request, shard and snapshot echo the question."""

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
    """Why a leaf did not do the work.

    ``kind`` is one of shed, draining, deadline, snapshot_gone, shard_split,
    unknown_shard, cancelled; the leaf's home adds not_sent and not_home.
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
    """A request that runs at most once: an archive pull, a billing lookup."""

    request_id: str
    key: str
    shard: str
    operation: str
    argument: str
    remaining_ms: float
    instance: str = ""


@dataclass(frozen=True, slots=True)
class LeafRunAnswer:
    """The result of a LeafRun; request and key echo the question."""

    request_id: str
    key: str
    shard: str
    leaf: str
    incarnation: str
    result: str


@dataclass(frozen=True, slots=True)
class PlatformObject:
    """A stored value with the version of its last update."""

    key: str
    version: int
    value: Any


class InstanceState(Enum):
    """What the platform's list says of an instance or backend server."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceKind(Enum):
    """Who stands in the platform's list."""

    ENTRY = "entry"
    BACKEND = "backend"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the platform's list, which lags.

    ``address`` is ``host:port`` with an IP number.
    """

    name: str
    kind: InstanceKind
    zone: str
    address: str
    incarnation: str
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, slots=True)
class PeerRun:
    """A run for the home of its leaf; lower ``priority`` goes first."""

    leaf: str
    priority: int
    run: LeafRun


@dataclass(frozen=True, slots=True)
class PeerRunOutcome:
    """How a PeerRun ended: one of an answer, a refusal or a failure.

    ``sent`` tells whether the run may have reached the leaf.
    """

    answer: LeafRunAnswer | None = None
    refusal: LeafRefusal | None = None
    failure: str = ""
    sent: bool = False


@dataclass(frozen=True, slots=True)
class IndexSnapshots:
    """The value of a ``snapshots/<index>`` object in the platform."""

    current: int
    held: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RunRequest:
    """A caller's request that runs at most once, under a key.

    Without ``shard`` the argument's hash chooses one of the service's.
    """

    service: str
    operation: str
    argument: str
    shard: str | None = None
    deadline_ms: int | None = None
    urgency: str = "default"


class RunOutcomeState(Enum):
    """What is known of a run; all but ``running`` are final."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """The outcome under a key, with the result if it is done."""

    key: str
    state: RunOutcomeState
    result: str | None = None
    detail: str = ""
    instance: str = ""


@dataclass(frozen=True, slots=True)
class RunTickets:
    """Unused tickets of one incarnation of an instance, as keys."""

    tickets: list[str]


@dataclass(frozen=True, slots=True)
class PeerRunOnce:
    """A question to the holder of a key.

    ``attempt`` names the holder's attempt, for a recorded key; ``intent``
    is one of run, look, withdraw.
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
    """The holder's answer; ``phase`` is a run_once.RunPhase's value.

    An empty ``phase`` means that the asked instance is not the holder.
    """

    phase: str = ""
    result: str | None = None
    detail: str = ""
