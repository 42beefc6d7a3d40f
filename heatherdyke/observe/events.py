"""The events of the product's own interface, in the registry."""

from heatherdyke.observe.event_registry import EventKind
from heatherdyke.observe.event_registry import Severity
from heatherdyke.observe.event_registry import register

INSTANCE_STARTED = register(
    EventKind(
        1001,
        "instance_started",
        Severity.INFO,
        "The instance serves requests.",
        ("address", "zone"),
    )
)
INSTANCE_STOPPING = register(
    EventKind(
        1002,
        "instance_stopping",
        Severity.INFO,
        "The instance was told to stop and finishes what runs.",
    )
)
INSTANCE_STOPPED = register(
    EventKind(
        1003,
        "instance_stopped",
        Severity.INFO,
        "All requests have ended and the instance exits.",
    )
)
LOOP_STALLED = register(
    EventKind(
        1010,
        "loop_stalled",
        Severity.WARNING,
        "The event loop stood still: the process was paused or overloaded.",
        ("stall_s",),
        "Look for a paused host, swapping, or too many requests a second.",
    )
)
READINESS_CHANGED = register(
    EventKind(
        1011,
        "readiness_changed",
        Severity.INFO,
        "The answer of /readyz changed; reasons say what is missing.",
        ("ready", "reasons"),
    )
)
CLOCK_REJECTED = register(
    EventKind(
        1012,
        "clock_rejected",
        Severity.WARNING,
        "A peer sent a timestamp far ahead of this host's clock.",
        ("detail",),
        "Correct the clock of the host that is ahead.",
    )
)
EVENT_FIELDS_MISMATCHED = register(
    EventKind(
        1013,
        "event_fields_mismatched",
        Severity.ERROR,
        "An event was recorded with other fields than the catalogue names.",
        ("kind", "missing", "unknown"),
        "Report it as a fault of heatherdyke.",
    )
)
CONFIG_APPLIED = register(
    EventKind(
        2001,
        "config_applied",
        Severity.INFO,
        "A newer configuration is in force.",
        (
            "version",
            "teams",
            "source",
        ),
    )
)
SECTION_UNREADABLE = register(
    EventKind(
        2002,
        "section_unreadable",
        Severity.ERROR,
        "A section cannot be read; its last good version stays.",
        (
            "team",
            "version",
            "reason",
        ),
        "Upgrade the instance or correct the section.",
    )
)
OLDER_CONFIG_IGNORED = register(
    EventKind(
        2003,
        "older_config_ignored",
        Severity.DEBUG,
        "A source offered an older configuration.",
        (
            "version",
            "held",
            "source",
        ),
    )
)
SECTION_MISSING = register(
    EventKind(
        2004,
        "section_missing",
        Severity.WARNING,
        "The head names a section object that cannot be read.",
        (
            "team",
            "object_key",
        ),
        "Apply the section again if the event goes on.",
    )
)
ZONE_CHANGED = register(
    EventKind(
        2005,
        "zone_changed",
        Severity.WARNING,
        "An operator took a zone out or back in.",
        (
            "zone",
            "state",
            "order",
            "editor",
            "source",
        ),
    )
)
CONFIG_SOURCE_LOST = register(
    EventKind(
        2006,
        "config_source_lost",
        Severity.WARNING,
        "The platform gives no configuration; peers stand in.",
        ("detail",),
        "Nothing at once; see to the platform.",
    )
)
CONFIG_SOURCE_RESTORED = register(
    EventKind(
        2007,
        "config_source_back",
        Severity.INFO,
        "The platform gives the configuration again.",
        ("detail",),
    )
)
STALL_DETECTED = register(
    EventKind(
        2008,
        "stall_detected",
        Severity.WARNING,
        "The process stood still; it asks for newer configuration first.",
        ("stalled_s",),
    )
)
ROSTER_CHANGED = register(
    EventKind(
        3001,
        "roster_changed",
        Severity.INFO,
        "A zone's roster has other members.",
        ("zone", "generation", "joined", "left"),
    )
)
MEMBER_SUSPECTED = register(
    EventKind(
        3002,
        "member_suspected",
        Severity.WARNING,
        "A member leaves heartbeats unanswered and is probed.",
        ("member", "zone"),
        "If it lasts, look for a paused or cut-off instance.",
    )
)
MEMBER_GONE = register(
    EventKind(
        3003,
        "member_gone",
        Severity.INFO,
        "A member's process was proven to have ended.",
        ("incarnation", "proof"),
    )
)
LEASE_LAPSED = register(
    EventKind(
        3010,
        "lease_lapsed",
        Severity.WARNING,
        "The roster was not confirmed in time; homes leave the reserve free.",
        ("zone", "generation"),
        "Look at the platform and the network between zones.",
    )
)
LEASE_CONFIRMED = register(
    EventKind(
        3011,
        "lease_confirmed",
        Severity.INFO,
        "The roster is confirmed again; homes may use all slots.",
        ("zone", "generation"),
    )
)
HOMES_RELEASED = register(
    EventKind(
        3020,
        "homes_released",
        Severity.INFO,
        "The instance has no work at leaves and gives up its homes.",
        ("drained",),
    )
)
INVALID_HEARTBEAT = register(
    EventKind(
        3030,
        "invalid_heartbeat",
        Severity.WARNING,
        "A datagram is not a heartbeat and was ignored.",
        ("source", "detail"),
        "Look for another program that sends to this port.",
    )
)
SEARCH_ANSWERED = register(
    EventKind(
        4001,
        "search_answered",
        Severity.DEBUG,
        "A search was answered with the coverage named.",
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
)
SEARCH_REFUSED = register(
    EventKind(
        4002,
        "search_refused",
        Severity.DEBUG,
        "A search ended without an answer; the kind is the caller's.",
        ("request_id", "team", "kind", "run_state", "detail"),
    )
)
PARTS_SENT = register(
    EventKind(
        4003,
        "parts_sent",
        Severity.DEBUG,
        "Parts of a search went to the home of their leaves.",
        ("request_id", "home", "leaves", "repeated"),
    )
)
PARTS_RECEIVED = register(
    EventKind(
        4004,
        "parts_taken",
        Severity.DEBUG,
        "This home took parts of a search that another instance sent.",
        ("request_id", "origin", "leaves"),
    )
)
SNAPSHOT_RESTARTED = register(
    EventKind(
        4005,
        "snapshot_restarted",
        Severity.INFO,
        "A search began again at a newer snapshot: the pinned one is gone.",
        ("request_id", "snapshot"),
    )
)
LEAF_COLD = register(
    EventKind(
        4010,
        "leaf_cold",
        Severity.WARNING,
        "A leaf is treated as cold: its limit starts again and grows with "
        "the work that it completes well.",
        ("leaf", "zone", "cause"),
        "None if its backend server was restarted; else look at the server.",
    )
)
LEAF_SHED = register(
    EventKind(
        4011,
        "leaf_shed",
        Severity.INFO,
        "A leaf refused work because of its load; its limit is halved.",
        ("leaf", "zone", "limit"),
        "If it goes on, the leaf bears less than its section declares.",
    )
)
LEAF_DRAINING = register(
    EventKind(
        4012,
        "leaf_draining",
        Severity.INFO,
        "A leaf is leaving and gets no new work.",
        ("leaf", "zone"),
    )
)
CONNECTION_SILENT = register(
    EventKind(
        4013,
        "connection_silent",
        Severity.WARNING,
        "A connection to a leaf made no progress and was replaced.",
        ("leaf", "zone", "request_id"),
        "If many leaves are named, look at the network between the hosts.",
    )
)
RUN_SENT = register(
    EventKind(
        5001,
        "run_sent",
        Severity.INFO,
        "A request that runs at most once goes to a leaf.",
        ("team", "key", "attempt", "leaf"),
    )
)
RUN_ENDED = register(
    EventKind(
        5002,
        "run_ended",
        Severity.INFO,
        "An attempt to run a key at most once reached an outcome here.",
        ("team", "key", "attempt", "phase", "detail"),
    )
)
RUN_RESULT_PARKED = register(
    EventKind(
        5003,
        "run_result_parked",
        Severity.WARNING,
        "A result could not be stored and is kept in memory for now.",
        ("team", "key", "attempt"),
        "Do not stop the instance before the platform is back.",
    )
)
RUN_RECORDS_REMOVED = register(
    EventKind(
        5004,
        "run_records_removed",
        Severity.INFO,
        "Records of runs older than their retention were removed.",
        ("count",),
    )
)
USAGE_NOT_STORED = register(
    EventKind(
        5010,
        "usage_not_stored",
        Severity.WARNING,
        "The usage page could not be stored; its counters are kept and "
        "stored later.",
        ("detail",),
        "None if the platform comes back; what is not stored when the "
        "instance ends is not charged.",
    )
)
