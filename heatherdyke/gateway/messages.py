"""Requests, answers and outcomes inside a gateway."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

HeaderList = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class ClientRequest:
    """One whole request of a client.

    ``wait_s`` is how long the client still waits, None if it did not say;
    ``arrived_at`` is monotonic.  Header names are as sent.
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

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def id_text(self) -> str:
        """Return the request id for logs."""
        return self.request_id.decode("latin-1")


@dataclass(slots=True)
class LeafResponse:
    """A leaf's whole response.

    ``signature`` proves it to be the leaf's; ``not_run`` is the leaf's word
    that it did not run the request.
    """

    status: int
    headers: HeaderList
    body: bytes
    signature: bytes | None = None
    not_run: bool = False
    encoded: bool = False
    leaf_id: bytes | None = None
    cold_s: float = 0.0

    @property
    def is_signed_success(self) -> bool:
        """Tell whether this is a success with the leaf's own body."""
        success = 200 <= self.status < 300
        return success and self.signature is not None and not self.encoded


class AttemptFailure(Enum):
    """Why an attempt brought no response; only the first two did not run."""

    UNREACHABLE = "unreachable"
    NO_CONNECTION = "no_connection"
    BROKEN = "broken"


@dataclass(slots=True)
class AttemptOutcome:
    """How an attempt ended: with a response or a failure."""

    response: LeafResponse | None = None
    failure: AttemptFailure | None = None

    @property
    def not_run(self) -> bool:
        """Tell whether it is certain that the leaf did not run it."""
        if self.response is not None:
            return self.response.not_run
        return self.failure is not AttemptFailure.BROKEN


@dataclass(slots=True)
class ClientResponse:
    """What a client gets; ``headers`` lacks framing and connection."""

    status: int
    headers: HeaderList = field(default_factory=list)
    body: bytes = b""
