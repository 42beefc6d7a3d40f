"""Requests a group of shards from another instance, the peer."""

from collections.abc import Callable

import msgspec

from heatherdyke.gateway.events import GROUP_FAILED
from heatherdyke.gateway.grouping import Group
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.peer_messages import REMAINDER_PATH
from heatherdyke.gateway.peer_messages import SEARCH_PATH
from heatherdyke.gateway.peer_messages import GroupRequest
from heatherdyke.gateway.peer_messages import GroupResult
from heatherdyke.gateway.peer_messages import RemainderRequest
from heatherdyke.gateway.peer_messages import decode_message
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_send import MAX_RELAY_PEERS
from heatherdyke.gateway.peer_send import PeerSend
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.timing import GROUP_RETURN_S

# How long a request for the remainder of a group waits at the peer.
REMAINDER_DUE_S = 0.05


class PeerCall:
    """One request for a group; ``on_end`` is called with its result.

    The result is None if the peers failed; ``may_have_run`` then states
    whether one may have queried leafs.
    """

    __slots__ = (
        "group",
        "may_have_run",
        "_shared",
        "_message",
        "_due_at",
        "_deadline_at",
        "_peers",
        "_on_end",
        "_send",
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
        self._peers: list[Leaf] = []
        self._on_end = on_end
        self._send: PeerSend | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether the peer may have queried leafs, or may yet."""
        is_continued = self._send is not None and self._send.may_have_run
        return self.may_have_run or is_continued

    def start(self) -> bool:
        """Send the request to the best peer; return False if there is none."""
        shared = self._shared
        message = self._message
        latency = shared.latencies.of(
            message.route, "group", message.objective_s
        )
        peer = shared.peers.choose(self.group, latency.median_s, self._peers)
        if peer is None:
            return False
        self._peers.append(peer)
        self._send = PeerSend(shared, peer, self._encode, self._on_response)
        self._send.start(SEARCH_PATH, message.objective_s)
        return True

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
        self._send = PeerSend(
            self._shared, self._peers[-1], lambda: body, self._on_remainder
        )
        self._send.start_at_once(REMAINDER_PATH)

    def abandon(self) -> None:
        """Close the connection, on which the peer abandons its attempts."""
        if self._send is not None:
            self._send.abandon()

    def _encode(self) -> bytes:
        """Return the message with time limits that count from now."""
        message = self._message
        now = self._shared.loop.time()
        message.due_s = max(0.0, self._due_at - now - GROUP_RETURN_S)
        message.limit_s = max(0.0, self._deadline_at - now - GROUP_RETURN_S)
        return encode_message(message)

    def _on_response(self, response: LeafResponse | None, reason: str) -> None:
        self.may_have_run = self._send.may_have_run
        if response is None:
            self._fail_or_ask_another(reason)
            return
        result = self._decode(response)
        if result is None:
            return
        now = self._shared.loop.time()
        latency_s = now - self._send.sent_at
        message = self._message
        latency = self._shared.latencies.of(
            message.route, "group", message.objective_s
        )
        latency.add(latency_s)
        self._peers[-1].record_response(now, latency_s, latency.median_s)
        self._on_end(self, result)

    def _on_remainder(
        self, response: LeafResponse | None, reason: str
    ) -> None:
        if response is None:
            self._fail(reason)
            return
        result = self._decode(response)
        if result is not None:
            self._on_end(self, result)

    def _decode(self, response: LeafResponse) -> GroupResult | None:
        """Return the result; one that cannot be decoded ends the call."""
        try:
            return decode_message(response.body, GroupResult)
        except msgspec.MsgspecError as error:
            self._fail(str(error))
            return None

    def _fail_or_ask_another(self, reason: str) -> None:
        may_ask_another = (
            self.group.relayed
            and not self.may_have_run
            and len(self._peers) < MAX_RELAY_PEERS
        )
        if not (may_ask_another and self.start()):
            self._fail(reason)

    def _fail(self, reason: str) -> None:
        self._shared.metrics.count("group_failures", reason)
        self._shared.log.record(
            GROUP_FAILED,
            request_id=self._message.request_id.decode("latin-1"),
            peer=self._peers[-1].leaf_id,
            shards=len(self.group.shards),
            begun=self.may_have_run,
            why=reason,
        )
        self._on_end(self, None)
