"""Hybrid logical clock; pure functions over timestamps.

After S. Kulkarni, M. Demirbas, D. Madeppa, B. Avva and M. Leone,
"Logical Physical Clocks and Consistent Snapshots in Globally Distributed
Databases", OPODIS 2014, figure 5.  If one event may have caused another,
its timestamp is the smaller one, even if the hosts' clocks differ.
"""

from dataclasses import dataclass

MAX_COUNTER = 0xFFFF
MAX_CLOCK_SKEW_MS = 60_000


@dataclass(frozen=True, slots=True, order=True)
class HybridTimestamp:
    """Wall time in milliseconds, and a counter within the millisecond."""

    wall_ms: int = 0
    counter: int = 0

    def encode(self) -> str:
        """Return a fixed-length string that sorts as the timestamp does."""
        return f"{self.wall_ms:012x}-{self.counter:04x}"

    @classmethod
    def decode(cls, text: str) -> "HybridTimestamp":
        """Parse an encoded timestamp; raises ValueError if malformed."""
        wall, separator, counter = text.partition("-")
        if not separator or len(wall) != 12 or len(counter) != 4:
            raise ValueError(f"{text!r} is not a hybrid timestamp")
        return cls(int(wall, 16), int(counter, 16))


def tick(last: HybridTimestamp, wall_ms: int) -> HybridTimestamp:
    """Return the timestamp for a local event or an outgoing message."""
    if wall_ms > last.wall_ms:
        return HybridTimestamp(wall_ms, 0)
    return _next(last.wall_ms, last.counter)


def receive(
    last: HybridTimestamp, received: HybridTimestamp, wall_ms: int
) -> HybridTimestamp:
    """Return the timestamp for receiving a message stamped ``received``.

    Raises ValueError if the sender's clock is more than MAX_CLOCK_SKEW_MS
    ahead of this host's: one wrong clock must not advance all others.
    """
    if received.wall_ms > wall_ms + MAX_CLOCK_SKEW_MS:
        ahead_ms = received.wall_ms - wall_ms
        raise ValueError(f"timestamp is {ahead_ms} ms ahead of this host")
    latest = max(last, received)
    return tick(latest, wall_ms)


def _next(wall_ms: int, counter: int) -> HybridTimestamp:
    if counter < MAX_COUNTER:
        return HybridTimestamp(wall_ms, counter + 1)
    return HybridTimestamp(wall_ms + 1, 0)
