"""Errors of callers' requests, one class per failure."""

from enum import Enum

from heatherdyke.errors import HeatherdykeError


class RunState(Enum):
    """Whether a failed request may have been executed on a backend server."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


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
