"""Requests, responses and outcomes of attempts inside a gateway."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from heatherdyke.net.memory_quota import Reservation

# Bounds of the statuses that end a request; lower ones are interim.
MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599

HeaderList = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class ClientRequest:
    """A complete request of a client.

    ``wait_s`` is how long the client waits for the response, None if it did
    not say; ``arrived_at`` is monotonic.  Header names keep their case.
    ``key`` caches what ``request_key`` returns; ``reservation`` is that of the
    request's memory.
    """

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    host: str
    request_id: bytes
    wait_s: float | None
    arrived_at: float
    first_on_connection: bool = False
    key: str = ""
    reservation: Reservation | None = None

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def id_text(self) -> str:
        """Return the request id as text, for logs."""
        return self.request_id.decode("latin-1")


@dataclass(slots=True)
class LeafResponse:
    """A complete response of a leaf.

    ``signature`` proves that the response comes from the leaf; ``not_run``
    is the leaf's statement that it did not run the request.  ``rate_limit``
    is how many requests per second it accepts from all instances, None if it
    states no limit; ``is_leaving`` states that it is about to end, and
    ``retry_after`` is the undecoded value of the header, None if absent.
    ``reservation`` is that of a large body's memory.
    """

    status: int
    headers: HeaderList
    body: bytes
    signature: bytes | None = None
    not_run: bool = False
    has_content_encoding: bool = False
    leaf_id: bytes | None = None
    cold_s: float = 0.0
    rate_limit: float | None = None
    is_leaving: bool = False
    retry_after: bytes | None = None
    reservation: Reservation | None = None

    @property
    def is_signed_success(self) -> bool:
        """Return whether this is a success with the leaf's unaltered body."""
        is_success = 200 <= self.status < 300
        return (
            is_success
            and self.signature is not None
            and not self.has_content_encoding
        )


class Failure(Enum):
    """The reason why an attempt got no response.

    After BROKEN and EVICTED the leaf may have run the request, after the
    others not.  EVICTED says nothing of the leaf: its response was given up
    for lack of memory.
    """

    UNREACHABLE = "unreachable"
    NO_CONNECTION = "no_connection"
    BROKEN = "broken"
    EVICTED = "evicted"


@dataclass(slots=True)
class AttemptOutcome:
    """The end of an attempt: a response or a failure."""

    response: LeafResponse | None = None
    failure: Failure | None = None

    @property
    def not_run(self) -> bool:
        """Return whether the leaf certainly did not run the request."""
        if self.response is not None:
            return self.response.not_run
        return self.failure not in (Failure.BROKEN, Failure.EVICTED)


@dataclass(slots=True)
class ClientResponse:
    """A response to a client, without framing and connection headers."""

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""
