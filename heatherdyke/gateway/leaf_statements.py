"""What leafs state in their responses about the requests that they want."""

from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.events import LEAF_HEADER_UNREADABLE
from heatherdyke.gateway.events import LEAF_LEAVING
from heatherdyke.gateway.events import LEAF_PAUSED
from heatherdyke.gateway.events import LEAF_RATE_LIMITED
from heatherdyke.gateway.events import LEAF_RATE_UNLIMITED
from heatherdyke.gateway.leaf_rate_limit import LeafRateLimiter
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.platform.headers import parse_seconds

STATUS_UNAVAILABLE = 503
# A leaf that asks for a longer pause is tried again after this one.
MAX_PAUSE_S = 3600.0
# Characters of an unreadable value in the log.
MAX_LOGGED_VALUE = 40


class LeafStatements:
    """Applies a leaf's statements to its state, and logs what changes."""

    __slots__ = ("_log", "_rates")

    def __init__(self, log: EventLog, rates: LeafRateLimiter) -> None:
        self._log = log
        self._rates = rates

    def record(
        self, leaf: Leaf, response: LeafResponse, sent_at: float, now: float
    ) -> None:
        """Apply what the response to a request of ``sent_at`` states."""
        self._record_rate(leaf, response, sent_at, now)
        if response.is_leaving and not leaf.is_leaving:
            leaf.is_leaving = True
            self._log.record(
                LEAF_LEAVING, leaf=leaf.leaf_id, service=leaf.entry.service
            )
        if (
            response.status == STATUS_UNAVAILABLE
            and response.retry_after is not None
        ):
            self._record_pause(leaf, response.retry_after, now)

    def _record_pause(self, leaf: Leaf, value: bytes, now: float) -> None:
        """Send the leaf nothing for as long as it asks."""
        pause_s = parse_seconds(value)
        if pause_s is None:
            self._log.record(
                LEAF_HEADER_UNREADABLE,
                leaf=leaf.leaf_id,
                header="Retry-After",
                value=value[:MAX_LOGGED_VALUE].decode("latin-1"),
            )
            return
        pause_s = min(pause_s, MAX_PAUSE_S)
        if not leaf.is_paused(now):
            self._log.record(
                LEAF_PAUSED,
                leaf=leaf.leaf_id,
                service=leaf.entry.service,
                pause_s=round(pause_s, 3),
            )
        leaf.paused_until = max(leaf.paused_until, now + pause_s)

    def _record_rate(
        self, leaf: Leaf, response: LeafResponse, sent_at: float, now: float
    ) -> None:
        """Record the rate that a leaf's response states, or states no more.

        Only a success shows that a rate has ended: a failure may come from
        something between the leaf and this instance.
        """
        rate = response.rate_limit
        if rate is not None:
            if self._rates.record_rate(leaf.leaf_id, rate, now):
                self._log.record(
                    LEAF_RATE_LIMITED,
                    leaf=leaf.leaf_id,
                    service=leaf.entry.service,
                    rate=rate,
                )
        elif response.is_signed_success:
            limited_s = self._rates.record_no_rate(leaf.leaf_id, sent_at, now)
            if limited_s is not None:
                self._log.record(
                    LEAF_RATE_UNLIMITED,
                    leaf=leaf.leaf_id,
                    service=leaf.entry.service,
                    limited_s=round(limited_s, 3),
                )
