"""Errors, one class per failure, each with a remedy.

Those of callers' requests are in ``request_errors``.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherdyke.config.fault import Fault


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


class ResponseTooLarge(TransportError):
    """A response takes more memory than there is."""

    kind = "response_too_large"


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
