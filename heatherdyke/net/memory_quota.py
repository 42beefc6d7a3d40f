"""Limits the memory of the messages that a process buffers (pure).

Each message that is being received, served or sent reserves what it takes in
memory.  When the sum exceeds the limit, messages that can be given up are:
those of the kind of sender that holds most, the largest first, so that faulty
senders of one kind do not crowd out the others.
"""

from collections.abc import Callable
from enum import Enum
from operator import attrgetter

DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
# What a header field takes beside its bytes: two objects, their pair and its
# place in a list.
FIELD_OVERHEAD_BYTES = 160
# What a piece of a body takes beside its bytes.
PIECE_OVERHEAD_BYTES = 64


class Source(Enum):
    """Who sends messages to the process."""

    CLIENT = "client"
    INSTANCE = "instance"
    LEAF = "leaf"
    STORE = "store"


class Reservation:
    """The memory of one message; released when the last reference goes.

    While ``on_evict`` is set the message can be given up; it is called to do
    so.
    """

    __slots__ = ("source", "size", "on_evict", "_quota")

    def __init__(self, quota: "MemoryQuota", source: Source) -> None:
        self.source = source
        self.size = 0
        self.on_evict: Callable[[], None] | None = None
        self._quota = quota

    def __del__(self) -> None:
        self._quota.free(self)

    def resize(
        self, size: int, on_evict: Callable[[], None] | None = None
    ) -> None:
        """Reserve ``size`` bytes in all.

        This may evict messages, this one too if ``on_evict`` is given;
        without it the message is needed.
        """
        self._quota.resize(self, size, on_evict)

    def release(self) -> None:
        """Give the memory back; the reservation can be used again."""
        self._quota.free(self)


class MemoryQuota:
    """The memory for the messages of a process, from all sources together.

    ``on_evicted`` is called with the source and the size of a message that is
    given up.
    """

    __slots__ = (
        "limit_bytes",
        "used_bytes",
        "on_evicted",
        "_evictable_by_source",
        "_size_by_source",
        "_is_evicting",
    )

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        on_evicted: Callable[[Source, int], None] = lambda source, size: None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.on_evicted = on_evicted
        self._evictable_by_source: dict[Source, set[Reservation]] = {
            source: set() for source in Source
        }
        # Of the evictable reservations.
        self._size_by_source = dict.fromkeys(Source, 0)
        self._is_evicting = False

    @property
    def is_exceeded(self) -> bool:
        """Return whether messages that are needed exceed the limit."""
        return self.used_bytes > self.limit_bytes

    def reserve(self, source: Source) -> Reservation:
        """Return an empty reservation."""
        return Reservation(self, source)

    def set_limit(self, limit_bytes: int) -> None:
        """Change the limit; evict messages above it."""
        self.limit_bytes = limit_bytes
        self._evict_excess()

    def resize(
        self,
        reservation: Reservation,
        size: int,
        on_evict: Callable[[], None] | None,
    ) -> None:
        """Set a reservation's size; evict messages above the limit."""
        self.free(reservation)
        reservation.size = size
        self.used_bytes += size
        if size > 0 and on_evict is not None:
            reservation.on_evict = on_evict
            self._evictable_by_source[reservation.source].add(reservation)
            self._size_by_source[reservation.source] += size
        self._evict_excess()

    def free(self, reservation: Reservation) -> None:
        """Set a reservation's size to zero."""
        self.used_bytes -= reservation.size
        if reservation.on_evict is not None:
            source = reservation.source
            self._evictable_by_source[source].discard(reservation)
            self._size_by_source[source] -= reservation.size
            reservation.on_evict = None
        reservation.size = 0

    def _evict_excess(self) -> None:
        """Evict until the rest fits; what that calls evicts nothing more."""
        if self._is_evicting:
            return
        self._is_evicting = True
        try:
            while self.is_exceeded and any(self._size_by_source.values()):
                self._evict(self._next_to_evict())
        finally:
            self._is_evicting = False

    def _next_to_evict(self) -> Reservation:
        source = max(Source, key=self._size_by_source.__getitem__)
        return max(self._evictable_by_source[source], key=attrgetter("size"))

    def _evict(self, reservation: Reservation) -> None:
        size = reservation.size
        on_evict = reservation.on_evict
        self.free(reservation)
        self.on_evicted(reservation.source, size)
        on_evict()


def fields_size(fields: list[tuple[bytes, bytes]]) -> int:
    """Return how much memory parsed header fields take."""
    text_bytes = sum(len(name) + len(value) for name, value in fields)
    return text_bytes + FIELD_OVERHEAD_BYTES * len(fields)
