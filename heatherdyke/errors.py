"""The exception tree: one class per failure, each naming its remedy."""

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherdyke.config.fault import Fault


class RunState(Enum):
    """Whether work of a failed request may have run on a backend server."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class HeatherdykeError(Exception):
    """Base of all errors that heatherdyke raises.

    ``kind`` is a stable identifier and ``remedy`` tells the reader what to
    do about the failure.
    """

    kind = "internal"
    exit_code = 1

    def __init__(self, detail: str, remedy: str) -> None:
        super().__init__(f"{detail}; {remedy}")
        self.detail = detail
        self.remedy = remedy


class SettingsError(HeatherdykeError):
    """Settings are invalid; ``faults`` holds every one of them."""

    kind = "invalid_settings"
    exit_code = 2

    def __init__(self, faults: list[str]) -> None:
        super().__init__(
            "invalid settings: " + "; ".join(faults),
            "correct the flags or environment variables named",
        )
        self.faults = faults


class ConfigError(HeatherdykeError):
    """The configuration cannot be read or changed as asked."""

    kind = "config"
    exit_code = 2


class ConfigFileError(ConfigError):
    """A section's file cannot be read."""

    kind = "config_file"


class ConfigInvalid(ConfigError):
    """A section breaks rules; ``faults`` holds every one of them."""

    kind = "config_invalid"

    def __init__(self, faults: "list[Fault]") -> None:
        super().__init__(
            f"the section has {len(faults)} faults: "
            + "; ".join(str(fault) for fault in faults),
            "correct every path named and apply again",
        )
        self.faults = faults


class EditConflict(ConfigError):
    """Another edit of the same section or zone was accepted first."""

    kind = "edit_conflict"
    exit_code = 5

    def __init__(
        self, subject: str, version: int, edit: str, editor: str
    ) -> None:
        super().__init__(
            f"{subject} is at version {version} by edit {edit} of {editor!r}",
            "look at that edit, merge yours into it and apply again",
        )
        self.version = version
        self.edit = edit
        self.editor = editor


class EditReused(ConfigError):
    """A nonce was used before for another text."""

    kind = "edit_reused"

    def __init__(self, edit: str) -> None:
        super().__init__(
            f"edit {edit} was written before with another text",
            "leave --edit out to make a new edit",
        )


class EditExpired(ConfigError):
    """An edit was begun too long ago to be accepted; it was not."""

    kind = "edit_expired"

    def __init__(self, edit: str, limit_s: float) -> None:
        super().__init__(
            f"edit {edit} was begun more than {limit_s:.0f} s ago",
            "leave --edit out to make a new edit",
        )


class EditUnresolved(ConfigError):
    """It could not be found out whether an edit was accepted."""

    kind = "edit_unresolved"
    exit_code = 4

    def __init__(self, edit: str, reason: str) -> None:
        super().__init__(
            f"edit {edit} may have been accepted: {reason}",
            f"repeat the same command with --edit {edit}, which is safe",
        )
        self.edit = edit


class NotInForce(ConfigError):
    """Some instances do not have the accepted version in force yet."""

    kind = "not_in_force"
    exit_code = 3


class TransportError(HeatherdykeError):
    """A connection failed; ``sent`` says if the request may have arrived."""

    kind = "transport"

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail, "retry if the request is idempotent")
        self.sent = sent


class ConnectionRefused(TransportError):
    """The peer's host answered that nothing listens at the address."""

    kind = "connection_refused"


class ConnectionSilent(TransportError):
    """The connection made no progress within its timeout."""

    kind = "connection_silent"


class ForgedMessage(HeatherdykeError):
    """A message between instances lacks the proof of the peer key."""

    kind = "forged_message"


class PartMismatch(TransportError):
    """An answer names another request, shard or snapshot than was asked."""

    kind = "part_mismatch"

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=True)


class PlatformError(HeatherdykeError):
    """The platform's object API could not serve a call."""

    kind = "platform"


class PlatformUnavailable(PlatformError):
    """The platform did not answer; a write may have taken effect."""

    kind = "platform_unavailable"
    exit_code = 4


class VersionConflict(PlatformError):
    """A conditional update met another version than it named."""

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
    """A read gave less than what is known to be in the platform."""

    kind = "lagging_read"
    exit_code = 4

    def __init__(self, key: str) -> None:
        super().__init__(
            f"the read of {key!r} is older than what is known",
            "try again; apply a section again whose object was deleted",
        )


class UnreadableObject(PlatformError):
    """A platform object has a form that this release does not know."""

    kind = "unreadable_object"

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(
            f"object {key!r} cannot be read: {reason}",
            "upgrade this release or correct the object",
        )
        self.key = key


class NoInstanceReachable(HeatherdykeError):
    """None of the instances that a command asked gave an answer."""

    kind = "no_instance_reachable"


class RequestError(HeatherdykeError):
    """A caller's request ends without an answer.

    ``status`` is the HTTP status, ``run_state`` tells whether work may have
    run, and ``retry_after_s`` when to come back (None: do not repeat as is).
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
    """The request does not have the documented form."""

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
    """The request was not sent within its time."""

    kind = "request_too_slow"
    status = 408


class UnknownKey(RequestError):
    """The team's key is missing or unknown."""

    kind = "unknown_key"
    status = 401


class NotAPeer(RequestError):
    """A route for instances was asked without the peer key."""

    kind = "not_a_peer"
    status = 401


class Forbidden(RequestError):
    """The key's team may not use what the request names."""

    kind = "forbidden"
    status = 403


class UnknownService(RequestError):
    """No team's section declares the service."""

    kind = "unknown_service"
    status = 404


class Overloaded(RequestError):
    """The request cannot be served in time at the present load."""

    kind = "overloaded"
    status = 503


class SpendingLimitReached(RequestError):
    """The team has used the leaf work that its limit allows."""

    kind = "spending_limit"
    status = 429


class ShuttingDown(RequestError):
    """The instance stops and takes no new requests."""

    kind = "shutting_down"
    status = 503


class DeadlineExceeded(RequestError):
    """No answer worth giving was there at the deadline."""

    kind = "deadline_exceeded"
    status = 504


class CoverageNotReached(RequestError):
    """The answer would cover less than the caller's wanted coverage."""

    kind = "coverage_not_reached"
    status = 503


class SnapshotUnavailable(RequestError):
    """No one snapshot of the index could be read in time."""

    kind = "snapshot_unavailable"
    status = 503


class UnknownRun(RequestError):
    """No run under the key is known; one may still be under way."""

    kind = "unknown_run"
    status = 404


class RunKeyReused(RequestError):
    """The key stands for another request."""

    kind = "run_key_reused"
    status = 422


class RunRefused(RequestError):
    """The run did not start, and never will under its key."""

    kind = "run_refused"
    status = 503


class RunAmbiguous(RequestError):
    """The run was sent and its outcome is lost."""

    kind = "run_ambiguous"
    status = 504


class RunRecordUnavailable(RequestError):
    """The record of the key could not be reached."""

    kind = "run_record_unavailable"
    status = 503
