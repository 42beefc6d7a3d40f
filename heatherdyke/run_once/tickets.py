"""Keys that bind a run to one incarnation of one instance (pure).

Only that incarnation runs the request, so that its memory is record enough:
its death leaves a ticket that nobody runs any more.
"""

from dataclasses import dataclass

TICKET_SCHEME = "ticket"
MAX_TICKETS_PER_CALL = 1000


@dataclass(frozen=True, slots=True)
class Ticket:
    """A number that an incarnation has given out."""

    instance: str
    incarnation: str
    number: int

    @classmethod
    def from_key(cls, key: str) -> "Ticket | None":
        """Return the ticket that a key stands for, or None."""
        parts = key.split(":")
        if len(parts) != 4 or parts[0] != TICKET_SCHEME:
            return None
        if not parts[3].isascii() or not parts[3].isdigit():
            return None
        return cls(parts[1], parts[2], int(parts[3]))

    @property
    def key(self) -> str:
        """Return the text that a caller sends as its key."""
        return (
            f"{TICKET_SCHEME}:{self.instance}:{self.incarnation}:{self.number}"
        )


class TicketIssuer:
    """The tickets of one incarnation.

    Tickets below ``forgotten_below`` are no longer in memory; whether they
    were used is unknown.
    """

    __slots__ = ("instance", "incarnation", "forgotten_below", "_next")

    def __init__(self, instance: str, incarnation: str) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.forgotten_below = 0
        self._next = 0

    def issue(self, count: int) -> list[Ticket]:
        """Give out new tickets."""
        first = self._next
        self._next += count
        return [
            Ticket(self.instance, self.incarnation, number)
            for number in range(first, self._next)
        ]

    def is_own(self, ticket: Ticket) -> bool:
        """Tell whether this incarnation gave the ticket out."""
        return (
            ticket.instance == self.instance
            and ticket.incarnation == self.incarnation
            and ticket.number < self._next
        )

    def forget(self, ticket: Ticket) -> None:
        """Treat this ticket and all before it as possibly used."""
        self.forgotten_below = max(self.forgotten_below, ticket.number + 1)

    def is_unused(self, ticket: Ticket) -> bool:
        """Tell whether an own ticket that is not in memory was never used."""
        return ticket.number >= self.forgotten_below
