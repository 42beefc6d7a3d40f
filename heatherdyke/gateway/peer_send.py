"""Sends one message to another instance, the peer.

The body is sent only after the peer's ``100 Continue``.  A peer that does not
continue has not acted on the message and never will, so that the sender can
act on it in another way.
"""

import asyncio
from collections.abc import Callable

from heatherdyke.gateway.attempt import Attempt
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.platform.headers import EXPECTED_LEAF

# How long the peer may take to continue, as a share of the route's objective.
CONTINUE_SHARE = 0.15
CONTINUE_MIN_S = 0.015
# How long the response to a message that is sent at once may take.
RESPONSE_TIMEOUT_S = 5.0
# What this instance cannot send to leafs is sent to at most this many peers,
# one after the other.
MAX_RELAY_PEERS = 6
# A peer lacks leafs for a request, or can reach none.
STATUS_DECLINED = 503
STATUS_LEAFS_UNREACHABLE = 424
# A peer takes the request for one that crashes leafs; the body has its news.
STATUS_QUARANTINED = 422
# Statuses of a peer that has not queried a leaf and will not.  An instance of
# an earlier version answers 404 to a path that it does not know.
NOT_RUN_STATUSES = frozenset(
    (
        400,
        404,
        STATUS_QUARANTINED,
        STATUS_DECLINED,
        STATUS_LEAFS_UNREACHABLE,
    )
)


class PeerSend:
    """One message to a peer; ``on_end`` is called with its response.

    ``encode`` returns the body with current time limits, always of the same
    length.  The response is None if the peer did not continue or respond; the
    second argument of ``on_end`` is then the reason.
    """

    __slots__ = (
        "peer",
        "sent_at",
        "may_have_run",
        "_shared",
        "_encode",
        "_on_end",
        "_attempt",
        "_timer",
    )

    def __init__(
        self,
        shared: SharedState,
        peer: Leaf,
        encode: Callable[[], bytes],
        on_end: Callable[[LeafResponse | None, str], None],
    ) -> None:
        self.peer = peer
        self.sent_at = 0.0
        self.may_have_run = False
        self._shared = shared
        self._encode = encode
        self._on_end = on_end
        self._attempt: Attempt | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, path: bytes, objective_s: float) -> None:
        """Send the header; send the body when the peer continues."""
        length = len(self._encode())
        self._send(_expecting_header(self.peer, path, length), self._continue)
        timeout_s = max(CONTINUE_MIN_S, CONTINUE_SHARE * objective_s)
        self._timer = self._shared.loop.call_later(
            timeout_s, self._check_continued
        )

    def start_at_once(
        self, path: bytes, timeout_s: float | None = None
    ) -> None:
        """Send header and body together; the response must arrive in time.

        ``timeout_s`` defaults to RESPONSE_TIMEOUT_S.
        """
        body = self._encode()
        self._send(_header(self.peer, path, len(body)) + b"\r\n" + body, None)
        if timeout_s is None:
            timeout_s = RESPONSE_TIMEOUT_S
        self._timer = self._shared.loop.call_later(
            timeout_s, self._check_responded
        )

    def abandon(self) -> None:
        """Close the connection, on which the peer abandons its attempts."""
        self._stop_timer()
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.pool.abandon(attempt)
            now = self._shared.loop.time()
            if self.peer.is_silent(attempt.sent_at, now):
                self._shared.peers.pools.on_silent(
                    attempt.pool, attempt.sent_at
                )

    def _send(
        self, message: bytes, continuation: Callable[[], bytes] | None
    ) -> None:
        pools = self._shared.peers.pools
        pool = pools.of(self.peer)
        self._attempt = Attempt(
            number=pools.next_attempt_number(),
            request_id=b"",
            message=(message,),
            is_head=False,
            pool=pool,
            on_end=self._on_attempt_end,
            continuation=continuation,
        )
        pool.send(self._attempt)
        self.sent_at = self._attempt.sent_at

    def _continue(self) -> bytes:
        self.may_have_run = True
        self._record_response()
        return self._encode()

    def _check_continued(self) -> None:
        self._timer = None
        attempt = self._attempt
        if attempt is None or attempt.continued:
            return
        self._attempt = None
        attempt.pool.abandon(attempt)
        self._shared.peers.pools.on_silent(attempt.pool, attempt.sent_at)
        self._on_end(None, "no_continue")

    def _check_responded(self) -> None:
        self._timer = None
        if self._attempt is not None:
            self.abandon()
            self._on_end(None, "no_response")

    def _on_attempt_end(
        self, attempt: Attempt, outcome: AttemptOutcome
    ) -> None:
        self._stop_timer()
        self._attempt = None
        self.peer.finish(attempt.number)
        response = outcome.response
        if response is not None:
            self._record_response()
            if response.status in NOT_RUN_STATUSES:
                self.may_have_run = False
            if response.status == STATUS_LEAFS_UNREACHABLE:
                self._shared.peers.record_leafs_unreachable(self.peer)
            if response.status == STATUS_QUARANTINED:
                self._shared.crash_guard.on_news(response.body)
        if response is None or response.status != 200:
            self.peer.record_failure(self._shared.loop.time())
            status = response.status if response is not None else None
            # The text, such as "Failure.BROKEN", is a metric label and a log
            # field, so the class Failure and its members keep their names.
            self._on_end(None, f"{outcome.failure or status}")
            return
        self._on_end(response, "")

    def _record_response(self) -> None:
        shared = self._shared
        zone = self.peer.entry.zone
        shared.isolation.record_response(zone, shared.loop.time())

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _header(peer: Leaf, path: bytes, length: int) -> bytes:
    """Return a header without the final empty line.

    It names the peer, so that another process at the address rejects it.
    """
    return b"POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n" % (
        path,
        str(peer.entry.address).encode(),
        EXPECTED_LEAF,
        peer.leaf_id.encode(),
    ) + (b"Content-Length: %d\r\n" % length)


def _expecting_header(peer: Leaf, path: bytes, length: int) -> bytes:
    return _header(peer, path, length) + b"Expect: 100-continue\r\n\r\n"
