"""Keeps requests that crash leafs from further leafs.

Attempts report here how they ended, and requests ask here before they are
sent.  ``QuarantineSync`` exchanges what is known with other instances.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from heatherdyke.gateway.crash_evidence import Level
from heatherdyke.gateway.gateway_metrics import GatewayMetrics
from heatherdyke.gateway.leaf_crashes import SETTLE_S
from heatherdyke.gateway.leaf_crashes import BrokenAttempt
from heatherdyke.gateway.leaf_crashes import CrashSighting
from heatherdyke.gateway.leaf_crashes import LeafCrashes
from heatherdyke.gateway.leaf_links import MIN_SILENCE_S
from heatherdyke.gateway.leaf_links import LeafLinks
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.quarantine import Completions
from heatherdyke.gateway.quarantine import Quarantine
from heatherdyke.gateway.quarantine import QuarantineEntry
from heatherdyke.gateway.request_key import request_key

# Characters of a target in log lines and messages.
MAX_TARGET = 120
# A request whose attempts broke at this many leafs, and that none completed,
# is sent to no further leaf: each may be one more that it crashes.
MAX_BROKEN_ATTEMPTS = 2
# Timers may fire a little early.
TIMER_MARGIN_S = 0.01


class Admission(Enum):
    """How a request may be sent.

    A CAREFUL one goes to one leaf at a time, without retries and hedges.
    """

    NORMAL = "normal"
    CAREFUL = "careful"
    REFUSED = "refused"


class CrashGuard:
    """Crashes of leafs, and the requests that seem to cause them.

    The owner sets ``on_sightings``, which is called with new sightings,
    ``on_cleared``, called with the key of a suspect or quarantined request
    that a leaf has completed, ``on_news``, called with the news in another
    instance's refusal, and ``rank_for``, which returns this instance's rank
    for a request's key, 0 first.
    """

    __slots__ = (
        "quarantine",
        "completions",
        "on_sightings",
        "on_cleared",
        "rank_for",
        "on_news",
        "_loop",
        "_metrics",
        "_is_enabled",
        "_links",
        "_crashes",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        metrics: GatewayMetrics,
        is_enabled: bool,
        links: LeafLinks,
    ) -> None:
        self.quarantine = Quarantine()
        self.completions = Completions()
        self.on_sightings: Callable[[list[CrashSighting]], None] = _ignore
        self.on_cleared: Callable[[str], None] = _ignore
        self.on_news: Callable[[bytes], None] = _ignore
        self.rank_for: Callable[[str], int] = lambda key: 0
        self._loop = loop
        self._metrics = metrics
        self._is_enabled = is_enabled
        self._links = links
        self._crashes = LeafCrashes()

    def admission(self, request: ClientRequest) -> Admission:
        """Return how to send a request, and count one that is refused."""
        entry = self.entry_of(request)
        if entry is None:
            return Admission.NORMAL
        if entry.level is Level.SUSPECT:
            return Admission.CAREFUL
        rank = self.rank_for(entry.verdict.key)
        if entry.take_probe(rank, self._loop.time()):
            self._metrics.count("quarantine", "probed")
            return Admission.CAREFUL
        entry.refused += 1
        self._metrics.count("quarantine", "refused")
        return Admission.REFUSED

    def entry_of(self, request: ClientRequest) -> QuarantineEntry | None:
        """Return the entry of a request, None if it is clear."""
        if not self.quarantine.entry_by_key:
            return None
        return self.quarantine.find(request_key(request), self._loop.time())

    def may_crash_more(self, broken_count: int) -> bool:
        """Return whether the next leaf may be one more that crashes.

        ``broken_count`` is how many leafs broke off the request; none has
        completed it.
        """
        return self._is_enabled and broken_count >= MAX_BROKEN_ATTEMPTS

    def record_completed(
        self, request: ClientRequest, leaf_id: str, sent_at: float
    ) -> None:
        """Record the response of a leaf that ran an attempt of ``sent_at``."""
        if not self._is_enabled:
            return
        key = request_key(request)
        self.completions.add(key, self._loop.time())
        self._crashes.record_alive(leaf_id, sent_at)
        if key in self.quarantine.entry_by_key:
            self.on_cleared(key)

    def record_broken(
        self, request: ClientRequest, route: str, leaf_id: str
    ) -> None:
        """Record that the connection broke while the leaf had the request."""
        if not self._is_enabled:
            return
        attempt = BrokenAttempt(
            request_key(request),
            request.id_text,
            route,
            request.target[:MAX_TARGET].decode("latin-1"),
            self._loop.time(),
        )
        self._crashes.record_broken(leaf_id, attempt)

    def record_alive(self, leaf_id: str, sent_at: float) -> None:
        """Record the response to a health check of ``sent_at``."""
        self._crashes.record_alive(leaf_id, sent_at)

    def record_down(self, leaf_id: str) -> None:
        """Record that the leaf refuses connections or was replaced."""
        if self._crashes.record_down(leaf_id, self._loop.time()):
            # If this instance has lost its links, that shows by then.
            links_fail = not self._links.can_connect()
            delay_s = MIN_SILENCE_S if links_fail else SETTLE_S
            self._loop.call_later(delay_s + TIMER_MARGIN_S, self._report)

    def forget(self, leaf_id: str) -> None:
        """Drop the state of a leaf that is no longer used."""
        self._crashes.forget(leaf_id)

    def _report(self) -> None:
        """Report the crashes, unless the fault is this instance's network."""
        now = self._loop.time()
        sightings = self._crashes.take_sightings(now)
        if self._links.are_lost(now):
            return
        suspected = [
            sighting
            for sighting in sightings
            if not self.completions.is_recent(sighting.key, now)
        ]
        innocent = len(sightings) - len(suspected)
        self._metrics.count("crash_sightings", "innocent", innocent)
        self._metrics.count("crash_sightings", "suspected", len(suspected))
        if suspected:
            self.on_sightings(suspected)


def _ignore(_: object) -> None:
    """Handle nothing, until the owner sets a handler."""
