"""The connection pools of all leafs, and health checks of suspect leafs."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from heatherdyke.gateway.attempt import Attempt
from heatherdyke.gateway.connection_share import connection_share
from heatherdyke.gateway.connection_share import may_exceed_limit
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.events import LEAF_SUSPECTED
from heatherdyke.gateway.events import LEAF_VERIFIED
from heatherdyke.gateway.leaf_links import ZoneLinks
from heatherdyke.gateway.leaf_pool import CONNECT_TIMEOUT_S
from heatherdyke.gateway.leaf_pool import SLOW_CONNECT_S
from heatherdyke.gateway.leaf_pool import LeafPool
from heatherdyke.gateway.leaf_rate_limit import LeafRateLimiter
from heatherdyke.gateway.leaf_statements import LeafStatements
from heatherdyke.gateway.leaf_table import MIN_SILENCE_S
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.routing import Service
from heatherdyke.gateway.standstill import Standstill
from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.net.memory_quota import Source
from heatherdyke.platform.headers import EXPECTED_LEAF

CHECK_TIMEOUT_S = 1.0
# A leaf that crashes closes all its connections within this time.
CLOSING_S = 0.05
# Another leaf answers at the address.
STATUS_MISDIRECTED = 421
# A timer that is called later than this was held up by this process itself.
MAX_LOOP_DELAY_S = 0.25


class LeafObserver(Protocol):
    """Is notified whether a leaf is alive."""

    def record_alive(self, leaf_id: str, sent_at: float) -> None:
        """Handle the response to a health check of ``sent_at``."""

    def record_down(self, leaf_id: str) -> None:
        """Handle that nothing, or another leaf, is at the address."""


class LeafPools:
    """The pool of each leaf, created on first use, and the health checks."""

    __slots__ = (
        "loop",
        "memory",
        "source",
        "rates",
        "_log",
        "_links",
        "_observer",
        "_statements",
        "_instances",
        "_service_of",
        "_pool_by_leaf",
        "_leafs_in_check",
        "_next_number",
        "_standstill",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: EventLog,
        links: ZoneLinks,
        service_of: Callable[[str], Service],
        rates: LeafRateLimiter,
        observer: LeafObserver | None = None,
        memory: MemoryQuota | None = None,
        source: Source = Source.LEAF,
    ) -> None:
        self.loop = loop
        self.memory = memory or MemoryQuota()
        self.source = source
        self.rates = rates
        self._observer = observer
        self._log = log
        self._statements = LeafStatements(log, rates)
        self._links = links
        self._instances = 0
        self._service_of = service_of
        self._pool_by_leaf: dict[Leaf, LeafPool] = {}
        self._leafs_in_check: set[Leaf] = set()
        self._next_number = 0
        self._standstill = Standstill()

    def next_attempt_number(self) -> int:
        """Return a number that no other attempt of these pools has."""
        self._next_number += 1
        return self._next_number

    def of(self, leaf: Leaf) -> LeafPool:
        """Return the leaf's pool."""
        pool = self._pool_by_leaf.get(leaf)
        if pool is None:
            pool = LeafPool(leaf, self)
            self._set_limit(pool)
            self._pool_by_leaf[leaf] = pool
        return pool

    def set_instances(self, instances: int) -> None:
        """Divide the leafs' connections among this many instances."""
        self._instances = instances
        for pool in self._pool_by_leaf.values():
            self._set_limit(pool)

    def drop(self, leaf: Leaf) -> None:
        """Close a leaf's connections once their responses are complete."""
        pool = self._pool_by_leaf.pop(leaf, None)
        if pool is not None:
            pool.close()
        self._leafs_in_check.discard(leaf)
        self.rates.forget(leaf.leaf_id)

    def maintain(self, now: float) -> None:
        """Close connections idle too long; repeat checks of suspect leafs.

        Call this every TICK_INTERVAL_S.
        """
        self._standstill.tick(now)
        for leaf, pool in list(self._pool_by_leaf.items()):
            pool.close_idle(now)
            if leaf.unverified and now >= leaf.suspect_until:
                self._start_check(pool)

    def can_connect(self) -> bool:
        """Return whether new connections are worth an attempt."""
        return self._links.can_connect()

    def check(self, leaf: Leaf, on_new_connection: bool = False) -> None:
        """Check a leaf's health; without a response it is suspect."""
        self._start_check(self.of(leaf), on_new_connection)

    def record_statements(
        self, leaf: Leaf, response: LeafResponse, sent_at: float
    ) -> None:
        """Record what a leaf's response states about further requests."""
        if response.status != STATUS_MISDIRECTED:
            now = self.loop.time()
            self._statements.record(leaf, response, sent_at, now)

    def check_after_break(self, pool: LeafPool) -> None:
        """Check a leaf if all its connections are closed soon after one."""
        self.loop.call_later(CLOSING_S, self._check_if_unconnected, pool)

    def _check_if_unconnected(self, pool: LeafPool) -> None:
        is_known = pool.closed or pool.leaf.unverified
        if pool.open_count == 0 and not is_known:
            self.on_connections_broken(pool)

    def on_connections_broken(self, pool: LeafPool) -> None:
        """Check a leaf whose last connection broke: it may have restarted."""
        leaf = pool.leaf
        leaf.unverified = True
        self._log.record(
            LEAF_SUSPECTED,
            leaf=leaf.leaf_id,
            service=leaf.entry.service,
            why="connections_broken",
            pause_s=0.0,
        )
        self._start_check(pool)

    def on_connected(self, pool: LeafPool) -> None:
        """Record that the leaf accepted a connection."""
        now = self.loop.time()
        self._links.record_connected(pool.leaf, now)

    def on_connect_slow(self, pool: LeafPool, sent_at: float) -> None:
        """Record that a connection attempt since ``sent_at`` is slow."""
        if not self._stood_still(sent_at, SLOW_CONNECT_S):
            self._links.record_connect_failure(pool.leaf, sent_at)

    def on_connect_failed(
        self, pool: LeafPool, error: Exception, sent_at: float
    ) -> None:
        """Suspend a leaf after a failed connection attempt.

        One that timed out while this process stood still shows nothing.
        """
        is_timeout = isinstance(error, TimeoutError)
        if is_timeout and self._stood_still(sent_at, CONNECT_TIMEOUT_S):
            return
        self._links.record_connect_failure(pool.leaf, sent_at)
        if isinstance(error, ConnectionRefusedError):
            self._record_down(pool.leaf)
        self._suspect(pool, type(error).__name__)

    def _stood_still(self, since: float, timeout_s: float) -> bool:
        """Return whether a timer set at ``since`` is called much too late."""
        return self.loop.time() - since > timeout_s + MAX_LOOP_DELAY_S

    def on_silent(self, pool: LeafPool, sent_at: float) -> None:
        """Suspend a leaf that has not responded since ``sent_at``.

        Silence while this process stood still shows nothing.
        """
        now = self.loop.time()
        stood_still_s = self._standstill.duration_s(sent_at, now)
        silent_s = now - sent_at - stood_still_s
        if stood_still_s and silent_s < MIN_SILENCE_S:
            return
        self._links.record_failure(pool.leaf, sent_at)
        self._suspect(pool, "silent")

    def _suspect(self, pool: LeafPool, reason: str) -> None:
        leaf = pool.leaf
        now = self.loop.time()
        leaf.record_unreachable(now)
        self._log.record(
            LEAF_SUSPECTED,
            leaf=leaf.leaf_id,
            service=leaf.entry.service,
            why=reason,
            pause_s=round(leaf.suspect_until - now, 3),
        )

    def _record_down(self, leaf: Leaf) -> None:
        if self._observer is not None:
            self._observer.record_down(leaf.leaf_id)

    def _start_check(
        self, pool: LeafPool, on_new_connection: bool = False
    ) -> None:
        leaf = pool.leaf
        has_connection = (
            pool.is_below_limit() if on_new_connection else pool.has_capacity()
        )
        if leaf in self._leafs_in_check or not has_connection:
            return
        now = self.loop.time()
        if leaf.is_paused(now) or self.rates.wait_s(leaf.leaf_id, now) > 0.0:
            return
        self.rates.count_send(leaf.leaf_id, now)
        self._leafs_in_check.add(leaf)
        attempt = Attempt(
            number=self.next_attempt_number(),
            request_id=b"",
            message=(self._check_message(leaf),),
            is_head=False,
            pool=pool,
            on_end=self._on_checked,
        )
        if on_new_connection:
            pool.send_on_new_connection(attempt)
        else:
            pool.send(attempt)
        self.loop.call_later(CHECK_TIMEOUT_S, self._on_check_timeout, attempt)

    def _check_message(self, leaf: Leaf) -> bytes:
        """Return a health check, which another leaf at the address rejects."""
        path = self._service_of(leaf.entry.service).health_path
        return (
            f"GET {path} HTTP/1.1\r\nHost: {leaf.entry.address}\r\n"
            f"{EXPECTED_LEAF.decode()}: {leaf.leaf_id}\r\n\r\n"
        ).encode()

    def _on_checked(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        leaf = attempt.pool.leaf
        leaf.finish(attempt.number)
        if leaf not in self._leafs_in_check:
            return
        self._leafs_in_check.discard(leaf)
        now = self.loop.time()
        response = outcome.response
        if response is None:
            leaf.record_unreachable(now)
            return
        self._links.record_response(leaf, now)
        own_id = response.leaf_id == leaf.leaf_id.encode()
        if own_id:
            self.record_statements(leaf, response, attempt.sent_at)
            if self._observer is not None:
                self._observer.record_alive(leaf.leaf_id, attempt.sent_at)
        if response.leaf_id is not None and not own_id:
            leaf.misdirected = True
            self._record_down(leaf)
        elif response.status == 200 and own_id:
            leaf.verify(now, response.cold_s)
            self._log.record(
                LEAF_VERIFIED,
                leaf=leaf.leaf_id,
                service=leaf.entry.service,
                cold_s=response.cold_s,
            )
        else:
            leaf.record_unreachable(now)

    def _on_check_timeout(self, attempt: Attempt) -> None:
        """Abandon a check that is still in flight; count it as a failure."""
        leaf = attempt.pool.leaf
        if attempt.number not in leaf.sent_at_by_attempt:
            return
        self._leafs_in_check.discard(leaf)
        attempt.pool.abandon(attempt)
        self._links.record_failure(leaf, attempt.sent_at)
        leaf.record_unreachable(self.loop.time())

    def _set_limit(self, pool: LeafPool) -> None:
        limit = self._service_of(pool.leaf.entry.service).connection_limit
        pool.limit = connection_share(limit, self._instances)
        pool.closes_unused = may_exceed_limit(limit, self._instances)
