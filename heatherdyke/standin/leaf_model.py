"""The typed profile, faults and record of a stand-in leaf."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class LeafProfile:
    """What a stand-in leaf bears and how long its work takes.

    ``service_ms`` is the median of a log-normal distribution.  A share of
    the searches, the stragglers, takes ``straggler_factor`` times longer.
    A search waits for a slot for at most ``queue_ms`` and is shed then;
    with more than ``collapse_queue`` waiting, service times grow steeply.
    After a cold start the leaf bears ``cold_slots`` searches at once, each
    ``cold_factor`` times slower, until it has done ``cold_searches``.
    An empty ``shards`` accepts every shard.
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
    """A change of a leaf's behaviour; None leaves a value as it is.

    ``go_cold`` gives no warning: incarnation, uptime and connections stay.
    ``restart`` draws a new incarnation, closes the connections and starts
    cold.  ``silent`` makes the open connections go dead while new ones
    work.  ``cross_answers`` and ``truncate_answers`` count the next
    answers that carry another request's identity, or half their items;
    ``cut_answers`` breaks the connection in the middle of the body.
    ``shed_s`` sheds everything for that long, and ``slow_factor`` slows
    the leaf down for ``slow_s``.
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
    """What one incarnation of a leaf saw; proofs judge from it.

    ``over_slots`` counts searches that arrived while all slots were taken,
    ``cold_excess`` those that arrived while the leaf was cold and had all
    that it bears then, ``cold_excess_known`` the ones of them that came
    after an answer had shown the cold start.  Times of drain are counted
    from its beginning.  ``snapshot_count_by_request`` tells how many
    snapshots a request was asked for, if more than one.
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
    """What the health endpoint says, which need not be true."""

    status: str
    load: float


@dataclass(frozen=True, slots=True)
class LeafRecord:
    """All incarnations that lived in one process, the latest last."""

    leaf: str
    incarnations: list[LeafIncarnationRecord]
