"""The exception hierarchy: one class per failure, each with a remedy."""

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherdyke.config.fault import Fault


class RunState(Enum):
    """Whether a failed request may have been executed on a backend server."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class HeatherdykeError(Exception):
    """Base class of all errors that heatherdyke raises.

    ``kind`` is a stable identifier, ``remedy`` tells the user how to resolve
    the failure and ``exit_code`` is that of the command line.
    """

    kind = "internal"
    exit_code = 1

    def __init__(self, detail: str, remedy: str) -> None:
        super().__init__(f"{detail}; {remedy}")
        self.detail = detail
        self.remedy = remedy


class SettingsError(HeatherdykeError):
    """Settings are invalid; ``faults`` lists every fault."""

    kind = "invalid_settings"
    exit_code = 2

    def __init__(self, faults: list[str]) -> None:
        super().__init__(
            "invalid settings: " + "; ".join(faults),
            "correct these settings",
        )
        self.faults = faults


class RequestNotQuarantined(HeatherdykeError):
    """No request with this key is quarantined."""

    kind = "not_quarantined"

    def __init__(self, key: str) -> None:
        super().__init__(
            f"no request with the key {key} is quarantined",
            "look for its key with \"heatherdyke quarantine list\"",
        )


class ConfigError(HeatherdykeError):
    """The configuration cannot be read, or not changed as requested."""

    kind = "config"
    exit_code = 2


class ConfigFileError(ConfigError):
    """A section file cannot be read."""

    kind = "config_file"


class ConfigInvalid(ConfigError):
    """A section violates validation rules; ``faults`` lists every fault."""

    kind = "config_invalid"

    def __init__(self, faults: "list[Fault]") -> None:
        super().__init__(
            f"the section has {len(faults)} faults: "
            + "; ".join(str(fault) for fault in faults),
            "correct every path listed and apply again",
        )
        self.faults = faults


class EditConflict(ConfigError):
    """Another edit of the same section or zone was accepted first.

    ``edit`` and ``editor`` are those of the accepted edit.
    """

    kind = "edit_conflict"
    exit_code = 5

    def __init__(
        self, subject: str, version: int, edit: str, editor: str
    ) -> None:
        super().__init__(
            f"{subject} is at version {version} by edit {edit} of {editor!r}",
            "review that edit, merge your changes into it and apply again",
        )
        self.version = version
        self.edit = edit
        self.editor = editor


class EditReused(ConfigError):
    """The edit id was already used for different content."""

    kind = "edit_reused"

    def __init__(self, edit: str) -> None:
        super().__init__(
            f"edit {edit} was already used for different content",
            "leave --edit out to make a new edit",
        )


class EditExpired(ConfigError):
    """An edit was not accepted because it was started too long ago."""

    kind = "edit_expired"

    def __init__(self, edit: str, limit_s: float) -> None:
        super().__init__(
            f"edit {edit} was started more than {limit_s:.0f} s ago",
            "leave --edit out to make a new edit",
        )


class EditUnresolved(ConfigError):
    """It could not be determined whether an edit was accepted."""

    kind = "edit_unresolved"
    exit_code = 4

    def __init__(self, edit: str, reason: str) -> None:
        super().__init__(
            f"edit {edit} may have been accepted: {reason}",
            f"repeat the same command with --edit {edit}; this is idempotent",
        )
        self.edit = edit


class NotInForce(ConfigError):
    """Some instances have not activated the accepted version yet."""

    kind = "not_in_force"
    exit_code = 3


class TransportError(HeatherdykeError):
    """A connection failed.

    ``sent`` tells whether the request may have reached the peer.
    """

    kind = "transport"

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail, "retry if the request is idempotent")
        self.sent = sent


class ConnectionRefused(TransportError):
    """The connection was refused: nothing listens at the address."""

    kind = "connection_refused"


class ConnectionSilent(TransportError):
    """The connection made no progress within its timeout."""

    kind = "connection_silent"


class ForgedMessage(HeatherdykeError):
    """A message between instances is not authenticated with the peer key."""

    kind = "forged_message"


class PartMismatch(TransportError):
    """A response is for a different request, shard or snapshot."""

    kind = "part_mismatch"

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=True)


class PlatformError(HeatherdykeError):
    """A call to the platform's object API failed."""

    kind = "platform"


class PlatformUnavailable(PlatformError):
    """The platform did not respond; a write may have taken effect."""

    kind = "platform_unavailable"
    exit_code = 4


class VersionConflict(PlatformError):
    """A conditional update found a different version than expected."""

    kind = "version_conflict"
    exit_code = 5

    def __init__(self, key: str, current_version: int) -> None:
        super().__init__(
            f"object {key!r} is at version {current_version}",
            "read it again and repeat the change",
        )
        self.key = key
        self.current_version = current_version


class LaggingRead(PlatformError):
    """A read returned a state older than what is known to be stored."""

    kind = "lagging_read"
    exit_code = 4

    def __init__(self, key: str) -> None:
        super().__init__(
            f"the read of {key!r} is older than the known state",
            "try again; if a section's object was deleted, apply it again",
        )


class UnreadableObject(PlatformError):
    """A platform object has a format that this release cannot read."""

    kind = "unreadable_object"

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(
            f"object {key!r} cannot be read: {reason}",
            "upgrade to a newer release or correct the object",
        )
        self.key = key


class NoInstanceReachable(HeatherdykeError):
    """None of the instances that a command queried responded."""

    kind = "no_instance_reachable"


class RequestError(HeatherdykeError):
    """A caller's request fails.

    ``status`` is the HTTP status, ``run_state`` tells whether the request
    may have been executed, and ``retry_after_s`` is the delay before a retry
    (None: do not retry the request unchanged).
    """

    kind = "request_failed"
    status = 500

    def __init__(
        self,
        detail: str,
        remedy: str,
        run_state: RunState = RunState.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail, remedy)
        self.run_state = run_state
        self.retry_after_s = retry_after_s


class InvalidRequest(RequestError):
    """The request is malformed or contains an invalid value."""

    kind = "invalid_request"
    status = 400


class HeadersTooLarge(RequestError):
    """The request's headers exceed the limit."""

    kind = "headers_too_large"
    status = 431


class BodyTooLarge(RequestError):
    """The request's body exceeds the limit."""

    kind = "body_too_large"
    status = 413


class RequestTooSlow(RequestError):
    """The client did not send the complete request before the timeout."""

    kind = "request_too_slow"
    status = 408


class UnknownKey(RequestError):
    """The team's key is missing or unknown."""

    kind = "unknown_key"
    status = 401


class NotAPeer(RequestError):
    """A route for instances was requested without the peer key."""

    kind = "not_a_peer"
    status = 401


class Forbidden(RequestError):
    """The key's team is not allowed to use what the request names."""

    kind = "forbidden"
    status = 403


class UnknownService(RequestError):
    """No team's section declares the service."""

    kind = "unknown_service"
    status = 404


class Overloaded(RequestError):
    """The request cannot be served in time at the current load."""

    kind = "overloaded"
    status = 503


class SpendingLimitReached(RequestError):
    """The team has used up its limit of leaf searches."""

    kind = "spending_limit"
    status = 429


class ShuttingDown(RequestError):
    """The instance is shutting down and accepts no new requests."""

    kind = "shutting_down"
    status = 503


class DeadlineExceeded(RequestError):
    """No usable result was available at the deadline."""

    kind = "deadline_exceeded"
    status = 504


class CoverageNotReached(RequestError):
    """The answer would cover less than the caller's ``wanted_coverage``."""

    kind = "coverage_not_reached"
    status = 503


class SnapshotUnavailable(RequestError):
    """No single snapshot of the index could be read in time."""

    kind = "snapshot_unavailable"
    status = 503


class UnknownRun(RequestError):
    """No run with this key is known; one may still be in progress."""

    kind = "unknown_run"
    status = 404


class RunKeyReused(RequestError):
    """The key was already used for a different request."""

    kind = "run_key_reused"
    status = 422


class RunRefused(RequestError):
    """The run was not executed and never will be under its key."""

    kind = "run_refused"
    status = 503


class RunAmbiguous(RequestError):
    """The run was sent to a leaf, but its outcome is unknown."""

    kind = "run_ambiguous"
    status = 504


class RunRecordUnavailable(RequestError):
    """The record of the run's key could not be read or written."""

    kind = "run_record_unavailable"
    status = 503
