"""Asks other instances for the verdicts that they hold.

What the store has not accepted yet is known to instances only, and an
instance that starts, or has been cut off, has to learn it from them.
"""

import msgspec

from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.peer_messages import NEWS_PATH
from heatherdyke.gateway.peer_messages import QuarantineNews
from heatherdyke.gateway.peer_messages import decode_message
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_send import PeerSend
from heatherdyke.gateway.quarantine_sync import QuarantineSync
from heatherdyke.gateway.shared_state import SharedState

# How many instances one that starts asks, and how often it may send for that.
ASK_COUNT = 3
MAX_SENDS = 30
RETRY_S = 1.0
# While the store refuses calls, one instance is asked this often.
ASK_INTERVAL_S = 5.0


class QuarantineLearning:
    """Asks some instances at the start, and one at a time without store."""

    __slots__ = ("_shared", "_sync", "_asked", "_sends", "_next_ask_at")

    def __init__(self, shared: SharedState, sync: QuarantineSync) -> None:
        self._shared = shared
        self._sync = sync
        self._asked: set[str] = set()
        self._sends = 0
        self._next_ask_at = 0.0

    def ask_at_start(self) -> None:
        """Ask instances until ASK_COUNT of them have responded.

        The owner calls this whenever the instances have been listed.
        """
        peers = [
            peer for peer in self._peers() if peer.leaf_id not in self._asked
        ]
        count = min(
            len(peers),
            ASK_COUNT - len(self._asked),
            MAX_SENDS - self._sends,
        )
        for peer in self._shared.random.sample(peers, count):
            self._asked.add(peer.leaf_id)
            self._sends += 1
            self._ask(peer)

    def ask_without_store(self) -> None:
        """Ask one instance, unless one was asked recently."""
        now = self._shared.loop.time()
        peers = self._peers()
        if peers and now >= self._next_ask_at:
            self._next_ask_at = now + ASK_INTERVAL_S
            self._ask(self._shared.random.choice(peers))

    def _peers(self) -> list[Leaf]:
        """Return the other instances, if possible those that respond."""
        shared = self._shared
        if not shared.has(Mechanism.QUARANTINE):
            return []
        now = shared.loop.time()
        peers = [shared.peers.find(name) for name in shared.peers.names()]
        usable = [peer for peer in peers if peer.is_usable(now)]
        return usable or peers

    def _ask(self, peer: Leaf) -> None:
        def on_end(response: LeafResponse | None, reason: str) -> None:
            if response is not None:
                self._learn(response.body)
            elif peer.leaf_id in self._asked:
                self._asked.remove(peer.leaf_id)
                self._shared.loop.call_later(RETRY_S, self.ask_at_start)

        body = encode_message(QuarantineNews(asks=True))
        send = PeerSend(self._shared, peer, lambda: body, on_end)
        send.start_at_once(NEWS_PATH)

    def _learn(self, body: bytes) -> None:
        try:
            news = decode_message(body, QuarantineNews)
        except msgspec.MsgspecError:
            return
        for verdict in news.verdicts:
            self._sync.learn(verdict)
