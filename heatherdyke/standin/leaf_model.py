"""The profile, faults and counters of a stand-in leaf."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class LeafProfile:
    """The capacity and service times of a stand-in leaf.

    ``service_ms`` is the median of a log-normal distribution with sigma
    ``spread``.  The fraction ``straggler_share`` of searches takes
    ``straggler_factor`` times longer.  A search is shed if it has no slot
    after ``queue_ms``; with more than ``collapse_queue`` searches queued,
    service times grow with the square of the queue's length.  After a cold
    start the leaf serves ``cold_slots`` searches concurrently, each
    ``cold_factor`` times slower, until ``cold_searches`` have succeeded.
    An arrival while twice that many are active or queued makes it shed
    everything for ``cold_collapse_ms``.
    The first request on a connection waits until ``setup_ms`` after the
    connection was opened.  An empty ``shards`` accepts every shard.
    """

    leaf: str
    zone: str = ""
    listen: str = "127.0.0.1:0"
    slots: int = 3
    connections: int = 30
    setup_ms: float = 0.0
    service_ms: float = 2.0
    spread: float = 0.3
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    run_ms: float = 5.0
    queue_ms: float = 50.0
    collapse_queue: int = 24
    cold_slots: int = 1
    cold_factor: float = 4.0
    cold_searches: int = 20
    cold_collapse_ms: float = 500.0
    starts_cold: bool = False
    seed: int = 1
    shards: list[str] = field(default_factory=list)
    snapshots: list[int] = field(default_factory=lambda: [1])
    platform: str = ""


@dataclass(frozen=True, slots=True)
class LeafFaults:
    """A change of a leaf's behaviour; None leaves a value unchanged.

    ``go_cold`` starts a cold period that is not visible from outside:
    incarnation, uptime and connections stay the same.  ``restart`` creates
    a new incarnation, closes the connections and starts cold.  ``silent``
    stops answering on the open connections while new ones work.
    ``cross_answers`` is the number of next answers that are replaced by
    the answer to the previous request, ``truncate_answers`` of those that
    contain half their items, and ``cut_answers`` of those whose connection
    is closed in the middle of the response.  ``shed_s`` sheds everything
    for that long; ``slow_s`` is how long service times are multiplied by
    ``slow_factor``.  A draining leaf serves for ``drain_answer_s`` more and
    then refuses everything.
    """

    go_cold: bool = False
    restart: bool = False
    silent: bool = False
    shed_s: float = 0.0
    slow_s: float = 0.0
    slow_factor: float = 10.0
    drain: bool | None = None
    drain_answer_s: float | None = None
    service_ms: float | None = None
    straggler_share: float | None = None
    straggler_factor: float | None = None
    snapshots: list[int] | None = None
    children_by_shard: dict[str, list[str]] | None = None
    health: str | None = None
    cross_answers: int = 0
    truncate_answers: int = 0
    cut_answers: int = 0


@dataclass(slots=True)
class LeafIncarnationRecord:
    """Counters of one incarnation of a leaf, which tests evaluate.

    ``at_work_max`` and ``queued_max`` are the highest numbers of active and
    of queued requests.  ``over_slots`` counts requests that arrived while
    all slots were in use, ``cold_excess`` those that arrived while the leaf
    was cold and all its ``cold_slots`` were in use, and
    ``cold_excess_known`` those of them that arrived after an answer from
    the cold leaf had revealed the cold start.
    ``draining_last_s`` is the time from the start of the drain to the last
    arrival.  ``snapshots_by_request`` lists the distinct snapshots that the
    searches of each request named.
    """

    leaf: str
    incarnation: str
    searches: int = 0
    runs: int = 0
    completed: int = 0
    cancelled: int = 0
    over_slots: int = 0
    at_work_max: int = 0
    queued_max: int = 0
    cold_arrivals: int = 0
    cold_excess: int = 0
    cold_excess_known: int = 0
    cold_starts: int = 0
    cold_s: float = 0.0
    draining_arrivals: int = 0
    draining_last_s: float = 0.0
    connections_now: int = 0
    connections_max: int = 0
    connections_refused: int = 0
    refusals_by_kind: dict[str, int] = field(default_factory=Counter)
    runs_by_key: dict[str, int] = field(default_factory=Counter)
    searches_by_instance: dict[str, int] = field(default_factory=Counter)
    searches_by_snapshot: dict[int, int] = field(default_factory=Counter)
    arrivals_by_second: dict[int, int] = field(default_factory=Counter)
    snapshots_by_request: dict[str, list[int]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LeafHealth:
    """The health endpoint's response; a fault can set a false status."""

    status: str
    load: float


@dataclass(frozen=True, slots=True)
class LeafRecord:
    """The counters of all incarnations in a process, the latest last."""

    leaf: str
    incarnations: list[LeafIncarnationRecord]
