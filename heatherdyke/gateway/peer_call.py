"""Requests a group of shards from another instance, the peer.

The body of the request is sent only after the peer's ``100 Continue``.  A peer
that does not continue has not started the search and never will, so that the
shards can be queried directly without any being queried twice.
"""

import asyncio
from collections.abc import Callable

import msgspec

from heatherdyke.gateway.attempt import Attempt
from heatherdyke.gateway.events import GROUP_FAILED
from heatherdyke.gateway.grouping import Group
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.peer_messages import REMAINDER_PATH
from heatherdyke.gateway.peer_messages import SEARCH_PATH
from heatherdyke.gateway.peer_messages import GroupRequest
from heatherdyke.gateway.peer_messages import GroupResult
from heatherdyke.gateway.peer_messages import RemainderRequest
from heatherdyke.gateway.peer_messages import decode_group_result
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.timing import GROUP_RETURN_S
from heatherdyke.platform.headers import EXPECTED_LEAF

# How long the peer may take to continue, as a share of the route's objective.
CONTINUE_SHARE = 0.15
CONTINUE_MIN_S = 0.015
# How long a request for the remainder of a group waits at the peer.
REMAINDER_DUE_S = 0.05
# Status by which a peer states that it has not queried a leaf and will not.
STATUS_DECLINED = 503


class PeerCall:
    """One request for a group; ``on_end`` is called with its result.

    The result is None if the peer failed; ``may_have_run`` then states
    whether the peer may have queried leafs.
    """

    __slots__ = (
        "group",
        "may_have_run",
        "_shared",
        "_message",
        "_due_at",
        "_deadline_at",
        "_peer",
        "_on_end",
        "_attempt",
        "_timer",
    )

    def __init__(
        self,
        shared: SharedState,
        group: Group,
        message: GroupRequest,
        due_at: float,
        deadline_at: float,
        on_end: Callable[["PeerCall", GroupResult | None], None],
    ) -> None:
        self.group = group
        self.may_have_run = False
        self._shared = shared
        self._message = message
        self._due_at = due_at
        self._deadline_at = deadline_at
        self._peer: Leaf | None = None
        self._on_end = on_end
        self._attempt: Attempt | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> bool:
        """Send the request to the best peer; return False if there is none."""
        shared = self._shared
        message = self._message
        latency = shared.latencies.of(
            message.route, "group", message.objective_s
        )
        self._peer = shared.peers.choose(self.group, latency.median_s)
        if self._peer is None:
            return False
        self._set_time_limits()
        body = encode_message(message)
        pool = shared.peers.pools.of(self._peer)
        self._attempt = Attempt(
            number=shared.peers.pools.next_attempt_number(),
            request_id=b"",
            message=_group_header(self._peer, len(body)),
            is_head=False,
            pool=pool,
            on_end=self._on_attempt_end,
            continuation=self._on_continue,
        )
        pool.send(self._attempt)
        continue_timeout_s = max(
            CONTINUE_MIN_S, CONTINUE_SHARE * message.objective_s
        )
        self._timer = shared.loop.call_later(
            continue_timeout_s, self._check_continued
        )
        return True

    def _set_time_limits(self) -> None:
        """Set the time limits in the message, counted from now."""
        message = self._message
        now = self._shared.loop.time()
        message.due_s = max(0.0, self._due_at - now - GROUP_RETURN_S)
        message.limit_s = max(0.0, self._deadline_at - now - GROUP_RETURN_S)

    def _on_continue(self) -> bytes:
        """Return the message with current time limits, of the same length."""
        self._record_response()
        self._set_time_limits()
        return encode_message(self._message)

    def request_remainder(self) -> None:
        """Request the parts that the peer receives after an open result."""
        message = self._message
        due_s = min(
            REMAINDER_DUE_S,
            max(0.0, self._deadline_at - self._shared.loop.time()),
        )
        body = encode_message(
            RemainderRequest(message.request_id, message.shards[0], due_s)
        )
        pool = self._shared.peers.pools.of(self._peer)
        self._attempt = Attempt(
            number=self._shared.peers.pools.next_attempt_number(),
            request_id=b"",
            message=_remainder_header(self._peer, len(body)) + body,
            is_head=False,
            pool=pool,
            on_end=self._on_attempt_end,
        )
        pool.send(self._attempt)

    def abandon(self) -> None:
        """Close the connection, on which the peer abandons its attempts."""
        self._stop_timer()
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.pool.abandon(attempt)
            now = self._shared.loop.time()
            if self._peer.is_silent(attempt.sent_at, now):
                self._shared.peers.pools.on_silent(
                    attempt.pool, attempt.sent_at
                )

    def _check_continued(self) -> None:
        self._timer = None
        attempt = self._attempt
        if attempt is None or attempt.continued:
            return
        self._attempt = None
        attempt.pool.abandon(attempt)
        self._shared.peers.pools.on_silent(attempt.pool, attempt.sent_at)
        self._fail("no_continue")

    def _record_response(self) -> None:
        shared = self._shared
        zone = self._peer.entry.zone
        shared.isolation.record_response(zone, shared.loop.time())

    def _on_attempt_end(
        self, attempt: Attempt, outcome: AttemptOutcome
    ) -> None:
        self._stop_timer()
        self._attempt = None
        now = self._shared.loop.time()
        self._peer.finish(attempt.number)
        response = outcome.response
        if response is not None:
            self._record_response()
        is_declined = (
            response is not None and response.status == STATUS_DECLINED
        )
        self.may_have_run = self.may_have_run or (
            attempt.continued and not is_declined
        )
        if response is None or response.status != 200:
            self._peer.record_failure(now)
            status = response.status if response is not None else None
            # The text, such as "Failure.BROKEN", is a metric label and a log
            # field, so the class Failure and its members keep their names.
            self._fail(f"{outcome.failure or status}")
            return
        try:
            result = decode_group_result(response.body)
        except msgspec.MsgspecError as error:
            self._fail(str(error))
            return
        if attempt.continuation is None:
            self._on_end(self, result)
            return
        latency_s = now - attempt.sent_at
        message = self._message
        latency = self._shared.latencies.of(
            message.route, "group", message.objective_s
        )
        latency.add(latency_s)
        self._peer.record_response(now, latency_s, latency.median_s)
        self._on_end(self, result)

    def _fail(self, reason: str) -> None:
        self._shared.metrics.count("group_failures", reason)
        self._shared.log.record(
            GROUP_FAILED,
            request_id=self._message.request_id.decode("latin-1"),
            peer=self._peer.leaf_id,
            shards=len(self.group.shards),
            begun=self.may_have_run,
            why=reason,
        )
        self._on_end(self, None)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _remainder_header(peer: Leaf, length: int) -> bytes:
    return b"POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n" % (
        REMAINDER_PATH,
        str(peer.entry.address).encode(),
        length,
    )


def _group_header(peer: Leaf, length: int) -> bytes:
    """Return the header of a group request.

    It names the peer, so that another process at the address rejects it.
    """
    return b"POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n" % (
        SEARCH_PATH,
        str(peer.entry.address).encode(),
        EXPECTED_LEAF,
        peer.leaf_id.encode(),
    ) + (b"Content-Length: %d\r\nExpect: 100-continue\r\n\r\n" % length)
