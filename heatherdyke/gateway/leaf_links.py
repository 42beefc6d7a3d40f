"""Detects that this instance has lost its links to the leafs (pure).

Clients and other instances may still reach such an instance, and the other
instances may still reach the leafs.  Connections that are open may outlive
the loss, or hang like new ones.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from heatherdyke.gateway.isolation import IsolationDetector
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.leaf_table import LeafTable

# If connections to this many leafs fail and none to another is accepted, the
# links are at fault rather than the leafs.
MIN_FAILED_LEAFS = 5
# Without a response for this long open connections hang as well.
MIN_SILENCE_S = 0.3


def _ignore(_: str) -> None:
    """Handle nothing, until the owner sets a handler."""


@dataclass(slots=True)
class ZoneLinks:
    """Records the responses and failures of other instances, by zone.

    ``on_suspect`` is called with a zone that may have become unreachable.
    """

    isolation: IsolationDetector
    on_suspect: Callable[[str], None] = field(default=_ignore, kw_only=True)

    def can_connect(self) -> bool:
        """Return whether new connections are worth an attempt."""
        return True

    def record_response(self, leaf: Leaf, now: float) -> None:
        """Record a response."""
        self.isolation.record_response(leaf.entry.zone, now)

    def record_connected(self, leaf: Leaf, now: float) -> None:
        """Record that a new connection was accepted."""
        self.record_response(leaf, now)

    def record_failure(self, leaf: Leaf, sent_at: float) -> None:
        """Record that a request sent at ``sent_at`` failed."""
        zone = leaf.entry.zone
        if self.isolation.record_failure(zone, sent_at):
            self.on_suspect(zone)

    def record_connect_failure(self, leaf: Leaf, started_at: float) -> None:
        """Record that a connection attempt failed or takes very long."""
        self.record_failure(leaf, started_at)


@dataclass(slots=True)
class LeafLinks(ZoneLinks):
    """Records those of leafs, by zone and for all leafs together.

    ``failed_leafs`` holds the ids of the leafs to which connections failed
    since the last one was accepted.
    """

    leafs: LeafTable
    last_response_at: float = 0.0
    last_connected_at: float = 0.0
    failed_leafs: set[str] = field(default_factory=set)

    def can_connect(self) -> bool:
        """Return whether new connections are worth an attempt."""
        leaf_count = len(self.leafs.leaf_by_id)
        return len(self.failed_leafs) < max(
            1, min(MIN_FAILED_LEAFS, leaf_count)
        )

    def are_lost(self, now: float) -> bool:
        """Return whether no leaf responds, on open connections either."""
        is_silent = now - self.last_response_at >= MIN_SILENCE_S
        return is_silent and not self.can_connect()

    def record_response(self, leaf: Leaf, now: float) -> None:
        """Record a response."""
        ZoneLinks.record_response(self, leaf, now)
        self.last_response_at = now

    def record_connected(self, leaf: Leaf, now: float) -> None:
        """Record that a new connection was accepted."""
        self.record_response(leaf, now)
        self.last_connected_at = now
        self.failed_leafs.clear()

    def record_connect_failure(self, leaf: Leaf, started_at: float) -> None:
        """Record a failed attempt; one before the last success is ignored."""
        self.record_failure(leaf, started_at)
        if started_at >= self.last_connected_at:
            self.failed_leafs.add(leaf.leaf_id)
