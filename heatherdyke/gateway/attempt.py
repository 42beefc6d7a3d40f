"""An attempt: one request that is sent to one leaf or instance."""

from collections.abc import Callable
from typing import Protocol

from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import AttemptOutcome


class AttemptConnection(Protocol):
    """The connection that carries an attempt."""

    attempt: "Attempt | None"

    def abort(self) -> None:
        """Close at once, without reporting an outcome."""


class AttemptPool(Protocol):
    """The pool that sends an attempt."""

    leaf: Leaf

    def abandon(self, attempt: "Attempt") -> None:
        """Cancel the attempt; its outcome is not reported."""


class Attempt:
    """One request that is sent to one leaf.

    The pieces of ``message`` may be shared with other attempts; they are
    joined when they are sent.
    ``on_end`` is called once with the attempt and its outcome, unless the
    attempt is abandoned before.  ``continuation`` returns the bytes to send
    after the receiver's ``100 Continue``; ``continued`` states whether they
    were sent.
    """

    __slots__ = (
        "number",
        "request_id",
        "message",
        "is_head",
        "sent_at",
        "pool",
        "on_end",
        "connection",
        "service",
        "continuation",
        "continued",
    )

    def __init__(
        self,
        number: int,
        request_id: bytes,
        message: tuple[bytes, ...],
        is_head: bool,
        pool: AttemptPool,
        on_end: Callable[["Attempt", AttemptOutcome], None],
        service: str = "",
        continuation: Callable[[], bytes] | None = None,
    ) -> None:
        self.number = number
        self.request_id = request_id
        self.message = message
        self.is_head = is_head
        self.sent_at = 0.0
        self.pool = pool
        self.on_end = on_end
        self.connection: AttemptConnection | None = None
        self.service = service
        self.continuation = continuation
        self.continued = False
