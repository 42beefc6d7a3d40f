"""Collects the parts of one search and says when it is to be answered."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from heatherdyke.gateway.search_progress import Decision
from heatherdyke.gateway.search_progress import SearchProgress

# The loop's timers fire a little late; earlier ones would spin.
LEAST_DELAY_S = 0.001


class PartCollector:
    """Parts by shard; ``on_verdict`` is called when to answer or give up.

    Parts are taken in until ``close``; after a verdict ``resume`` waits for
    the next one.
    """

    __slots__ = (
        "progress",
        "answered_shards",
        "signatures",
        "bodies",
        "closed",
        "decided",
        "_loop",
        "_on_verdict",
        "_timer",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        progress: SearchProgress,
        on_verdict: Callable[[Decision], None],
    ) -> None:
        self.progress = progress
        self.answered_shards: list[str] = []
        self.signatures: list[bytes] = []
        self.bodies: list[bytes] = []
        self.closed = False
        self.decided = False
        self._loop = loop
        self._on_verdict = on_verdict
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to wait; everything has been asked for."""
        self.decide()
        if not self.decided and not self.closed:
            self._set_timer()

    def resume(self, answer_at: float) -> None:
        """Wait for what is still open, until ``answer_at``."""
        self.decided = False
        self.progress.answer_at = answer_at
        self.start()

    def close(self) -> None:
        """Take in nothing more."""
        self.closed = True
        self._stop_timer()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def add_part(self, shard: str, signature: bytes, body: bytes) -> None:
        """Take in one shard's part; a second one counts for nothing."""
        if not self.closed and self.progress.add_answer(shard):
            self.answered_shards.append(shard)
            self.signatures.append(signature)
            self.bodies.append(body)

    def add_merged(
        self, parts: Iterable[tuple[str, bytes]], body: bytes
    ) -> None:
        """Take in shards with their signatures and their merged records.

        Records of a shard that is there already cannot be told from the
        others, so that such a batch is left out as a whole.
        """
        known = self.progress.answered
        batch = list(parts)
        if self.closed or any(shard in known for shard, _ in batch):
            return
        for shard, signature in batch:
            self.progress.add_answer(shard)
            self.answered_shards.append(shard)
            self.signatures.append(signature)
        self.bodies.append(body)

    def add_loss(self, shard: str) -> None:
        """Take in that no part of the shard is to come."""
        self.progress.add_loss(shard)

    def decide(self) -> None:
        """End the search if it is time to."""
        if self.closed or self.decided:
            return
        decision = self.progress.decision(self._loop.time())
        if decision is not Decision.WAIT:
            self.decided = True
            self._stop_timer()
            self._on_verdict(decision)

    def _set_timer(self) -> None:
        now = self._loop.time()
        progress = self.progress
        at = progress.limit_at
        if now < progress.answer_at:
            at = min(at, progress.answer_at)
        at = max(at, now + LEAST_DELAY_S)
        self._timer = self._loop.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.decide()
        if not self.decided and not self.closed:
            self._set_timer()
