"""The numbered events of an entry instance."""

from heatherdyke.observe.event_registry import Severity
from heatherdyke.observe.event_registry import register

INSTANCE_STARTED = register(
    1001,
    "instance_started",
    Severity.INFO,
    "The instance has started and serves requests.",
    ("address", "zone"),
)
INSTANCE_STOPPING = register(
    1002,
    "instance_stopping",
    Severity.INFO,
    "The instance is shutting down and finishes its running requests.",
)
INSTANCE_STOPPED = register(
    1003,
    "instance_stopped",
    Severity.INFO,
    "All requests have ended; the instance exits.",
)
LOOP_STALLED = register(
    1010,
    "loop_stalled",
    Severity.WARNING,
    "The event loop was blocked: the process was paused or overloaded.",
    ("stall_s",),
    "Check for a paused host, swapping or too high a request rate.",
)
READINESS_CHANGED = register(
    1011,
    "readiness_changed",
    Severity.INFO,
    "The result of /readyz changed; reasons lists what is missing.",
    ("ready", "reasons"),
)
CLOCK_REJECTED = register(
    1012,
    "clock_rejected",
    Severity.WARNING,
    "A peer sent a timestamp that is malformed or far ahead of this "
    "host's clock.",
    ("detail",),
    "Correct the clock of the host that is ahead.",
)
EVENT_FIELDS_MISMATCHED = register(
    1013,
    "event_fields_mismatched",
    Severity.ERROR,
    "An event was recorded with fields other than those of its kind.",
    ("kind", "missing", "unknown"),
    "Report this as a bug in heatherdyke.",
)
CONFIG_APPLIED = register(
    2001,
    "config_applied",
    Severity.INFO,
    "A newer configuration was activated.",
    (
        "version",
        "teams",
        "source",
    ),
)
SECTION_UNREADABLE = register(
    2002,
    "section_unreadable",
    Severity.ERROR,
    "A section cannot be read; its last valid version remains active.",
    (
        "team",
        "version",
        "reason",
    ),
    "Upgrade the instance or correct the section.",
)
OLDER_CONFIG_IGNORED = register(
    2003,
    "older_config_ignored",
    Severity.DEBUG,
    "A source sent an older configuration, which was ignored.",
    (
        "version",
        "held",
        "source",
    ),
)
SECTION_MISSING = register(
    2004,
    "section_missing",
    Severity.WARNING,
    "The configuration head refers to a section object that cannot be read.",
    (
        "team",
        "object_key",
    ),
    "Apply the section again if the event recurs.",
)
ZONE_CHANGED = register(
    2005,
    "zone_changed",
    Severity.WARNING,
    "An operator took a zone out of service or back in.",
    (
        "zone",
        "state",
        "order",
        "editor",
        "source",
    ),
)
CONFIG_SOURCE_LOST = register(
    2006,
    "config_source_lost",
    Severity.WARNING,
    "The platform does not provide the configuration; it is fetched from "
    "peers.",
    ("detail",),
    "No immediate action; restore the platform.",
)
CONFIG_SOURCE_RESTORED = register(
    2007,
    "config_source_back",
    Severity.INFO,
    "The platform provides the configuration again.",
    ("detail",),
)
STALL_DETECTED = register(
    2008,
    "stall_detected",
    Severity.WARNING,
    "The process was paused; it refreshes its configuration at once.",
    ("stalled_s",),
)
ROSTER_CHANGED = register(
    3001,
    "roster_changed",
    Severity.INFO,
    "The members of a zone's roster changed.",
    ("zone", "generation", "joined", "left"),
)
MEMBER_SUSPECTED = register(
    3002,
    "member_suspected",
    Severity.WARNING,
    "A member does not answer heartbeats and is probed.",
    ("member", "zone"),
    "If it persists, look for a paused or disconnected instance.",
)
MEMBER_GONE = register(
    3003,
    "member_gone",
    Severity.INFO,
    "A member's process is proven to have ended.",
    ("incarnation", "proof"),
)
LEASE_LAPSED = register(
    3010,
    "lease_lapsed",
    Severity.WARNING,
    "The roster lease expired without confirmation; home instances use "
    "only the slots outside the reserve.",
    ("zone", "generation"),
    "Check the platform and the network between zones.",
)
LEASE_CONFIRMED = register(
    3011,
    "lease_confirmed",
    Severity.INFO,
    "The roster is confirmed again; home instances may use all slots.",
    ("zone", "generation"),
)
HOMES_RELEASED = register(
    3020,
    "homes_released",
    Severity.INFO,
    "The instance shuts down and, if drained, gives up the leaves that it "
    "is the home instance of.",
    ("drained",),
)
INVALID_HEARTBEAT = register(
    3030,
    "invalid_heartbeat",
    Severity.WARNING,
    "A datagram that is not a valid heartbeat was ignored.",
    ("source", "detail"),
    "Look for another program that sends to this port.",
)
SEARCH_ANSWERED = register(
    4001,
    "search_answered",
    Severity.DEBUG,
    "A search was answered with the given coverage.",
    (
        "request_id",
        "team",
        "urgency",
        "snapshot",
        "coverage",
        "missing",
        "cost",
        "elapsed_ms",
    ),
)
SEARCH_REFUSED = register(
    4002,
    "search_refused",
    Severity.DEBUG,
    "A search failed; kind is the error kind returned to the caller.",
    ("request_id", "team", "kind", "run_state", "detail"),
)
PARTS_SENT = register(
    4003,
    "parts_sent",
    Severity.DEBUG,
    "Parts of a search were sent to the home instance of their leaves.",
    ("request_id", "home", "leaves", "repeated"),
)
PARTS_RECEIVED = register(
    4004,
    "parts_taken",
    Severity.DEBUG,
    "This home instance received parts of a search from another instance.",
    ("request_id", "origin", "leaves"),
)
SNAPSHOT_RESTARTED = register(
    4005,
    "snapshot_restarted",
    Severity.INFO,
    "A search restarted at a newer snapshot: the pinned one is gone.",
    ("request_id", "snapshot"),
)
LEAF_COLD = register(
    4010,
    "leaf_cold",
    Severity.WARNING,
    "A leaf is treated as cold: its concurrency limit is reset and grows "
    "with the work that it completes.",
    ("leaf", "zone", "cause"),
    "None if its backend server was restarted; otherwise check the server.",
)
LEAF_SHED = register(
    4011,
    "leaf_shed",
    Severity.INFO,
    "A leaf refused work because of its load; its concurrency limit is "
    "halved.",
    ("leaf", "zone", "limit"),
    "If it persists, the leaf's capacity is below what its section declares.",
)
LEAF_DRAINING = register(
    4012,
    "leaf_draining",
    Severity.INFO,
    "A leaf is draining and receives no new work.",
    ("leaf", "zone"),
)
CONNECTION_SILENT = register(
    4013,
    "connection_silent",
    Severity.WARNING,
    "A connection to a leaf made no progress and was replaced.",
    ("leaf", "zone", "request_id"),
    "If many leaves are affected, check the network between the hosts.",
)
RUN_SENT = register(
    5001,
    "run_sent",
    Severity.INFO,
    "A run-once request was sent to a leaf.",
    ("team", "key", "attempt", "leaf"),
)
RUN_ENDED = register(
    5002,
    "run_ended",
    Severity.INFO,
    "An attempt at a run-once key ended on this instance.",
    ("team", "key", "attempt", "phase", "detail"),
)
RUN_RESULT_PARKED = register(
    5003,
    "run_result_parked",
    Severity.WARNING,
    "A result could not be stored; it is kept in memory until it can.",
    ("team", "key", "attempt"),
    "Do not stop the instance before the platform is available again.",
)
RUN_RECORDS_REMOVED = register(
    5004,
    "run_records_removed",
    Severity.INFO,
    "Records of runs past their retention period were removed.",
    ("count",),
)
USAGE_NOT_STORED = register(
    5010,
    "usage_not_stored",
    Severity.WARNING,
    "The usage counters could not be stored; they are kept and stored later.",
    ("detail",),
    "None if the platform recovers; usage that is not stored when the "
    "instance exits is not charged.",
)
