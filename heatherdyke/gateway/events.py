"""Events of the gateway in the registry of numbered events."""

from heatherdyke.observe.event_registry import Severity
from heatherdyke.observe.event_registry import register

GATEWAY_STARTED = register(
    7001,
    "gateway_started",
    Severity.INFO,
    "The process has read its settings and is listening.",
    ("address", "zone", "version"),
)
GATEWAY_READY = register(
    7002,
    "gateway_ready",
    Severity.INFO,
    "Configuration and leafs are loaded; requests are served.",
    ("config_version", "leafs", "after_s"),
)
GATEWAY_STOPPING = register(
    7003,
    "gateway_stopping",
    Severity.INFO,
    "The process received a stop signal and is draining.",
    ("signal", "open_connections", "running"),
)
GATEWAY_STOPPED = register(
    7004,
    "gateway_stopped",
    Severity.INFO,
    "The process is exiting after a stop signal.",
    ("signal", "unfinished", "after_s"),
)
GATEWAY_FAILED = register(
    7009,
    "gateway_failed",
    Severity.ERROR,
    "The process ends because of an error, its last line says which.",
    ("reason", "exit_code"),
    "Read the reason; a process that ends without this line or "
    "gateway_stopped was killed, for example for its memory.",
)
SETTINGS_RELOADED = register(
    7005,
    "settings_reloaded",
    Severity.INFO,
    "Changed settings were reloaded from the settings file.",
    ("changed",),
)
SETTINGS_REJECTED = register(
    7006,
    "settings_rejected",
    Severity.ERROR,
    "The settings file is invalid; the previous settings stay active.",
    ("reason",),
    "Correct the named field; the file is read again periodically.",
)
PROCESS_PAUSED = register(
    7007,
    "process_paused",
    Severity.WARNING,
    "The process was paused; configuration, leafs and zones are listed again.",
    ("paused_s",),
)
LOOP_STALLED = register(
    7014,
    "event_loop_stalled",
    Severity.WARNING,
    "The event loop stood still. With about as much processor time it did "
    "work of its own; with less the process was paused or the machine busy.",
    ("late_s", "cpu_s"),
    "Look for a large message or page in the lines that follow.",
)
LOG_LIMITED = register(
    7008,
    "log_limited",
    Severity.WARNING,
    "Log lines were dropped by the rate limit.",
    ("left_out_by_event",),
)
SETTINGS_AWAITED = register(
    7010,
    "settings_awaited",
    Severity.WARNING,
    "The settings file cannot be used yet; the process reads it again for "
    "some seconds before it ends.",
    ("reason",),
    "Write the file as a whole: under another name, then renamed.",
)
LISTEN_DELAYED = register(
    7011,
    "listen_delayed",
    Severity.WARNING,
    "An address cannot be listened on; the process goes on without it and "
    "tries again.",
    ("listener", "address", "reason"),
    "Look for the process that listens there.",
)
LISTENING = register(
    7012,
    "listening",
    Severity.INFO,
    "A listener that had been delayed is open.",
    ("listener", "address", "after_s"),
)
MESSAGE_EVICTED = register(
    7013,
    "message_evicted",
    Severity.WARNING,
    "The messages in memory exceeded their limit, and the largest of the kind "
    "of sender that holds most was given up with its connection.",
    ("source", "bytes", "used_bytes", "limit_bytes"),
    "Look for the leafs, clients or store whose messages grow or do not end.",
)
CONFIG_APPLIED = register(
    7101,
    "routing_adopted",
    Severity.INFO,
    "This process has applied a version of the configuration; it was written "
    "at most max_age_ms ago, if that is known.",
    ("version", "previous", "routes", "max_age_ms"),
)
CONFIG_READ = register(
    7106,
    "routing_read",
    Severity.INFO,
    "The store has shown a version of the configuration, written at a "
    "revision; outcome is adopted, held, known or unusable.",
    ("version", "revision", "outcome"),
)
CONFIG_INCOMPLETE = register(
    7107,
    "routing_incomplete",
    Severity.ERROR,
    "Parts of a configuration cannot be used; the others are in force. "
    "Requests for its routes that cannot be used get 503.",
    ("version", "reasons"),
    "Correct these parts in the operator's newest configuration.",
)
CONFIG_HELD = register(
    7104,
    "routing_held",
    Severity.INFO,
    "A new configuration names shards whose leafs are still cold; the "
    "previous one stays active for a limited time.",
    ("version",),
)
CONFIG_BEHIND = register(
    7105,
    "routing_behind",
    Severity.WARNING,
    "Another instance has applied a newer configuration, which this "
    "instance has not received; it is requested from the store again.",
    ("version", "known"),
    "Look for connections to the store that are open but stalled.",
)
CLIENTS_TURNED_AWAY = register(
    7206,
    "turned_away",
    Severity.WARNING,
    "This instance is isolated from the other zones and reports not "
    "ready, so that the load balancer sends clients to other zones.",
    ("failures", "silent_s", "refused_share"),
    "Check the network between this zone and the others.",
)
CLIENTS_READMITTED = register(
    7207,
    "rejoined",
    Severity.INFO,
    "The instance reports ready again after an isolation: leafs of "
    "other zones respond, or requests are no longer refused.",
    ("turned_away_s",),
)
ZONE_SILENT = register(
    7212,
    "zone_silent",
    Severity.WARNING,
    "Other zones do not respond to this instance, to probes either, and get "
    "no requests until they do.  With turned_away the own zone's leafs are "
    "too few, and clients should go to other zones.",
    ("zones", "failures", "turned_away"),
    "Check the network between this zone and the others, in each direction.",
)
CONFIG_REJECTED = register(
    7102,
    "routing_rejected",
    Severity.ERROR,
    "A configuration cannot be used and the active one is kept; paths without "
    "a route get 503. It is read and reported again until one can be used.",
    ("reason",),
    "Compare the operator's newest configuration with the active one.",
)
ZONES_OUT_CHANGED = register(
    7103,
    "zones_out_changed",
    Severity.INFO,
    "Operators took availability zones out of service or returned them.",
    ("zones",),
)
LEAF_UPDATED = register(
    7201,
    "leaf_entry",
    Severity.INFO,
    "Discovery added a leaf or changed its state.",
    ("leaf", "service", "zone", "state", "cold_s", "sequence"),
)
LEAF_REMOVED = register(
    7202,
    "leaf_removed",
    Severity.INFO,
    "A leaf is no longer used.",
    ("leaf", "service", "why"),
)
LEAF_ENTRY_INVALID = register(
    7203,
    "leaf_entry_unreadable",
    Severity.WARNING,
    "A discovery entry is invalid; its leaf is treated as unregistered.",
    ("leaf", "why"),
)
LEAF_SUSPECTED = register(
    7204,
    "leaf_doubted",
    Severity.INFO,
    "A leaf is suspected to be down; it gets no requests until a health "
    "check succeeds.",
    ("leaf", "service", "why", "pause_s"),
)
LEAF_VERIFIED = register(
    7205,
    "leaf_verified",
    Severity.INFO,
    "A health check of a suspected leaf succeeded.",
    ("leaf", "service", "cold_s"),
)
REQUEST_REFUSED = register(
    7301,
    "request_refused",
    Severity.WARNING,
    "A request was refused; no leaf has run it.",
    (
        "request_id",
        "route",
        "status",
        "why",
        "retry_after_s",
        "version",
        "inputs",
    ),
)
REQUEST_FAILED = register(
    7302,
    "request_failed",
    Severity.WARNING,
    "A request failed after it was sent to leafs.",
    (
        "request_id",
        "route",
        "status",
        "why",
        "elapsed_ms",
        "attempts",
        "version",
    ),
)
SEARCH_PARTIAL = register(
    7303,
    "search_partial",
    Severity.INFO,
    "A search was answered with some shards missing.",
    (
        "request_id",
        "route",
        "missing",
        "elapsed_ms",
        "attempts",
        "late",
        "version",
    ),
)
REQUEST_SERVED = register(
    7304,
    "request_served",
    Severity.DEBUG,
    "A request was answered successfully.",
    ("request_id", "route", "elapsed_ms", "extra_sends", "late", "version"),
)
CLIENT_DISCONNECTED = register(
    7305,
    "client_left",
    Severity.INFO,
    "A client disconnected before the response.",
    ("request_id", "route", "elapsed_ms"),
)
EXTRA_SEND = register(
    7306,
    "extra_send",
    Severity.DEBUG,
    "A request was sent to another leaf as a retry or hedge.",
    ("request_id", "service", "leaf", "why"),
)
GROUP_FAILED = register(
    7307,
    "group_failed",
    Severity.WARNING,
    "Another instance returned no result for a group of shards.",
    ("request_id", "peer", "shards", "begun", "why"),
    "If it had not begun, this instance queried the shards itself.",
)
LEAF_RATE_LIMITED = register(
    7208,
    "leaf_rate_limited",
    Severity.WARNING,
    "A leaf states how many requests per second it accepts from all "
    "instances together.",
    ("leaf", "service", "rate"),
    "If the other leafs of the service cannot serve its load, add leafs.",
)
LEAF_RATE_UNLIMITED = register(
    7209,
    "leaf_rate_unlimited",
    Severity.INFO,
    "A leaf no longer states a limit.",
    ("leaf", "service", "limited_s"),
)
LEAFS_UNREACHABLE = register(
    7210,
    "leafs_unreachable",
    Severity.WARNING,
    "No leaf accepts this instance's connections; where it has none, "
    "other instances query the leafs for it.",
    ("failed_leafs", "silent_s"),
    "If the leafs run, check the network between them and the instance.",
)
LEAFS_REACHABLE = register(
    7211,
    "leafs_reachable",
    Severity.INFO,
    "A leaf accepts connections again after none did.",
    ("unreachable_s",),
)
LEAF_PAUSED = register(
    7213,
    "leaf_paused",
    Severity.INFO,
    "A leaf rejected a request and wants none of this instance for a time.",
    ("leaf", "service", "pause_s"),
)
LEAF_LEAVING = register(
    7214,
    "leaf_leaving",
    Severity.INFO,
    "A leaf's response says that it is about to end; it gets no requests.",
    ("leaf", "service"),
)
LEAF_HEADER_UNREADABLE = register(
    7215,
    "leaf_header_unreadable",
    Severity.WARNING,
    "The value of a header in a leaf's response is malformed and ignored.",
    ("leaf", "header", "value"),
    "Look at the leaf's version.",
)
REQUEST_RELAYED = register(
    7308,
    "request_relayed",
    Severity.INFO,
    "Another instance forwarded a request, or none of those asked could.",
    (
        "request_id",
        "route",
        "peers",
        "status",
        "why",
        "rejected_by",
        "elapsed_ms",
    ),
)
CRASH_SIGHTED = register(
    7309,
    "crash_sighted",
    Severity.INFO,
    "A leaf crashed while it ran a request; no other leaf crashed at the "
    "same time without running it, if alone.",
    ("request_id", "key", "leaf", "route", "alone"),
)
QUARANTINE_CHANGED = register(
    7310,
    "quarantine_changed",
    Severity.WARNING,
    "A request seems to crash the leafs that run it. While suspect it is "
    "sent to one leaf at a time, while crashing to none; clear ends that.",
    (
        "key",
        "quarantine",
        "route",
        "target",
        "crashes",
        "attempts",
        "decided_by",
        "age_s",
        "why",
    ),
    "Mend the leafs, then lift it with \"heatherdyke quarantine lift\".",
)
STORE_LOST = register(
    7601,
    "store_lost",
    Severity.WARNING,
    "The platform's store is unavailable; the last known state is used.",
    ("kind", "reason"),
)
STORE_REGAINED = register(
    7602,
    "store_regained",
    Severity.INFO,
    "The platform's store is available again.",
    ("kind", "lost_s"),
)
STORE_OBJECTS_UNREADABLE = register(
    7603,
    "store_objects_unreadable",
    Severity.ERROR,
    "Not even the names of some objects in the store can be decoded; they "
    "are ignored.",
    ("kind", "count"),
    "Look in the store for objects of the kind whose JSON is malformed.",
)
STORE_PAGE_SALVAGED = register(
    7605,
    "store_page_salvaged",
    Severity.WARNING,
    "Pages of the store with an object that cannot be decoded were read "
    "object by object.",
    ("kind", "bytes", "took_ms"),
    "Find the writer of the objects that leaf_entry_unreadable names.",
)
STORE_RESTORED = register(
    7606,
    "store_restored",
    Severity.WARNING,
    "The store has come back from a copy, as its era says; revisions are "
    "given out again, and everything is listed again.",
    ("era", "previous"),
    "Compare what was written shortly before with what the store has.",
)
STORE_READS_BEHIND = register(
    7604,
    "store_reads_behind",
    Severity.WARNING,
    "The store's reads that may be old have not shown changes in time; they "
    "were read up to date.",
    ("kind", "changes", "applied", "revision"),
    "Look at the delay of the store's replicas.",
)
UNEXPECTED_ERROR = register(
    7901,
    "unexpected_error",
    Severity.ERROR,
    "An unexpected exception ended a task or a request.",
    ("where", "error"),
    "Report it with the surrounding log lines.",
)
