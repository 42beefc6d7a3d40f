"""Keys that bind a run to one incarnation of one instance (pure).

Only that incarnation may run the request, so its memory is a sufficient
record: once it has ended, no instance runs the ticket.
"""

from dataclasses import dataclass

TICKET_SCHEME = "ticket"
MAX_TICKETS_PER_CALL = 1000


@dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket issued by an incarnation, with its sequence number."""

    instance: str
    incarnation: str
    number: int

    @classmethod
    def from_key(cls, key: str) -> "Ticket | None":
        """Parse a key; return None if it is not a ticket."""
        parts = key.split(":")
        if len(parts) != 4 or parts[0] != TICKET_SCHEME:
            return None
        if not parts[3].isascii() or not parts[3].isdigit():
            return None
        return cls(parts[1], parts[2], int(parts[3]))

    @property
    def key(self) -> str:
        """Return the key that a caller sends."""
        return (
            f"{TICKET_SCHEME}:{self.instance}:{self.incarnation}:{self.number}"
        )


class TicketIssuer:
    """Issues the tickets of one incarnation.

    Runs of tickets below ``evicted_below`` may have been evicted from memory,
    so it is unknown whether those tickets were used.
    """

    __slots__ = ("instance", "incarnation", "evicted_below", "_next")

    def __init__(self, instance: str, incarnation: str) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.evicted_below = 0
        self._next = 0

    def issue(self, count: int) -> list[Ticket]:
        """Issue ``count`` new tickets."""
        first = self._next
        self._next += count
        return [
            Ticket(self.instance, self.incarnation, number)
            for number in range(first, self._next)
        ]

    def is_own(self, ticket: Ticket) -> bool:
        """Tell whether this incarnation issued the ticket."""
        return (
            ticket.instance == self.instance
            and ticket.incarnation == self.incarnation
            and ticket.number < self._next
        )

    def mark_evicted(self, ticket: Ticket) -> None:
        """Treat this ticket and all earlier ones as possibly used."""
        self.evicted_below = max(self.evicted_below, ticket.number + 1)

    def is_unused(self, ticket: Ticket) -> bool:
        """Tell whether an own ticket that is not in memory is unused."""
        return ticket.number >= self.evicted_below
