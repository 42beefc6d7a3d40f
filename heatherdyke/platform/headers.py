"""Header fields with a meaning in the platform's protocol.

The names are in lower case, for comparison with received fields.
"""

REQUEST_ID = b"x-request-id"
# For how many more milliseconds the sender waits for the response.
DEADLINE_REMAINING = b"x-deadline-remaining"
# The leaf's signature of its response.
SIGNATURE = b"x-response-stamp"
# The only leaf that may execute the request.
EXPECTED_LEAF = b"x-expected-instance"
# Present if the leaf did not execute the request.
NOT_RUN = b"x-not-executed"
LEAF_ID = b"x-instance-id"
# For how many more milliseconds the leaf is cold.
COLD_REMAINING = b"x-cold-remaining"
# The requests per second that the leaf accepts from all instances together,
# a decimal number; present in its responses for as long as it applies.
RATE_LIMIT = b"server-limit"
# In all responses of a leaf that is about to end, with this value.
LEAVING = b"server-leaving"
LEAVING_VALUE = b"1"
# In a leaf's 503: it wants nothing from this instance for so many seconds.
RETRY_AFTER = b"retry-after"

# In all answers of the store; it rises when the store has come back from a
# copy, and has lost what was written since the copy was made.
STORE_ERA = b"store-era"

# Credentials, by which requests of different callers are told apart; the
# platform defines no field of its own for them.
CALLER_FIELDS = frozenset((b"authorization", b"cookie", b"x-api-key"))

READY_PATH = b"/api/readiness"


def leaf_request_fields(remaining_s: float, leaf_id: bytes) -> bytes:
    """Return the header lines to add to a request to a leaf.

    The remaining time is sent in milliseconds, as 1 or more.
    """
    return b"X-Deadline-Remaining: %d\r\nX-Expected-Instance: %s\r\n" % (
        max(1, int(remaining_s * 1000)),
        leaf_id,
    )


def parse_deadline(value: bytes | None) -> float | None:
    """Return a client's remaining time in seconds, None if not given."""
    return parse_milliseconds(value)


def parse_milliseconds(value: bytes | None) -> float | None:
    """Convert a header value from milliseconds to seconds.

    Returns None if it is absent or not a number, and 0 if it is negative.
    """
    if value is None:
        return None
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        return None


def parse_seconds(value: bytes) -> float | None:
    """Return a number of seconds, None if negative or not a number."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if seconds >= 0.0 else None


def parse_era(value: bytes | None) -> int | None:
    """Return the store's era, None if it states none or no number."""
    try:
        return None if value is None else int(value)
    except ValueError:
        return None


def parse_rate(value: bytes) -> float | None:
    """Return the requests per second, None if not a positive number."""
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if 0.0 < rate < float("inf") else None


def merged_response_headers(
    signatures: list[bytes], missing: int, request_id: bytes
) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a response merged from several shards.

    ``signatures`` are those of the parts and ``missing`` is the number of
    shards without a part.
    """
    return [
        (b"X-Request-Id", request_id),
        (b"X-Part-Stamps", b", ".join(signatures)),
        (b"X-Missing-Parts", b"%d" % missing),
    ]
