"""Collects the parts of one search and reports when to answer."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from heatherdyke.gateway.search_progress import Decision
from heatherdyke.gateway.search_progress import SearchProgress

# Minimum timer delay: timers fire a little late anyway, and shorter delays
# would keep the event loop spinning.
MIN_TIMER_DELAY_S = 0.001


class PartCollector:
    """Collects parts; calls ``on_decision`` when to answer or give up.

    Parts are accepted until ``close``; after a decision ``resume`` waits for
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
        "_on_decision",
        "_timer",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        progress: SearchProgress,
        on_decision: Callable[[Decision], None],
    ) -> None:
        self.progress = progress
        self.answered_shards: list[str] = []
        self.signatures: list[bytes] = []
        self.bodies: list[bytes] = []
        self.closed = False
        self.decided = False
        self._loop = loop
        self._on_decision = on_decision
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Decide or start waiting, once the shards have been queried."""
        self.decide()
        if not self.decided and not self.closed:
            self._set_timer()

    def resume(self, answer_at: float) -> None:
        """Wait until ``answer_at`` for the outstanding shards."""
        self.decided = False
        self.progress.answer_at = answer_at
        self.start()

    def end_now(self) -> None:
        """Decide now, as if the search had reached its deadline."""
        now = self._loop.time()
        self.progress.answer_at = now
        self.progress.deadline_at = now
        self.decide()

    def close(self) -> None:
        """Accept no further parts."""
        self.closed = True
        self._stop_timer()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def add_part(self, shard: str, signature: bytes, body: bytes) -> None:
        """Add one shard's part; a second part of a shard is ignored."""
        if not self.closed and self.progress.add_answer(shard):
            self.answered_shards.append(shard)
            self.signatures.append(signature)
            self.bodies.append(body)

    def add_merged(
        self, parts: Iterable[tuple[str, bytes]], body: bytes
    ) -> None:
        """Add shards with their signatures and their merged records.

        Records of a shard that is already present cannot be separated from
        the others, so a batch with such a shard is ignored.
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
        """Record that no part of the shard is expected any more."""
        self.progress.add_loss(shard)

    def add_losses(self, shards: Iterable[str]) -> None:
        """Record that no parts of these shards are expected any more."""
        for shard in shards:
            self.add_loss(shard)

    def decide(self) -> None:
        """Report the decision if the search need not wait any longer."""
        if self.closed or self.decided:
            return
        decision = self.progress.decision(self._loop.time())
        if decision is not Decision.WAIT:
            self.decided = True
            self._stop_timer()
            self._on_decision(decision)

    def _set_timer(self) -> None:
        now = self._loop.time()
        progress = self.progress
        fire_at = progress.deadline_at
        if now < progress.answer_at:
            fire_at = min(fire_at, progress.answer_at)
        fire_at = max(fire_at, now + MIN_TIMER_DELAY_S)
        self._timer = self._loop.call_at(fire_at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.decide()
        if not self.decided and not self.closed:
            self._set_timer()
