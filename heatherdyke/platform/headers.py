"""The header fields that the platform gives a meaning."""

REQUEST_ID = b"x-request-id"
# How many milliseconds the sender still waits for the answer.
DEADLINE_REMAINING = b"x-deadline-remaining"
# The leaf's signature of its answer.
SIGNATURE = b"x-response-stamp"
# The leaf that alone may run the request.
EXPECTED_LEAF = b"x-expected-instance"
# Present where a leaf did not run the request.
NOT_RUN = b"x-not-executed"
LEAF_ID = b"x-instance-id"
COLD_REMAINING = b"x-cold-remaining"
RETRY_AFTER = b"retry-after"

READY_PATH = b"/api/readiness"


def leaf_request_fields(remaining_s: float, leaf_id: bytes) -> bytes:
    """Return the header lines that the system sets on a request."""
    return b"X-Deadline-Remaining: %d\r\nX-Expected-Instance: %s\r\n" % (
        max(1, int(remaining_s * 1000)),
        leaf_id,
    )


def parse_deadline(value: bytes | None) -> float | None:
    """Return the seconds that a client still waits, None if not said."""
    return parse_milliseconds(value)


def parse_milliseconds(value: bytes | None) -> float | None:
    """Return a header's milliseconds in seconds, None if unreadable."""
    if value is None:
        return None
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        return None


def merged_response_headers(
    signatures: list[bytes], missing: int, request_id: bytes
) -> list[tuple[bytes, bytes]]:
    """Return the fields of an answer merged from parts of many shards."""
    return [
        (b"X-Request-Id", request_id),
        (b"X-Part-Stamps", b", ".join(signatures)),
        (b"X-Missing-Parts", b"%d" % missing),
    ]
