"""Counts the callers' requests under way and closes for a shutdown."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from heatherdyke.errors import ShuttingDown

RETRY_AFTER_S = 1.0


class RequestTracker:
    """Admits callers' requests; a shutdown waits until all have ended.

    While the instance is leaving requests still come in, because the
    balancer lags; only ``close`` turns them away.
    """

    __slots__ = ("leaving", "_closed", "_running", "_idle")

    def __init__(self) -> None:
        self.leaving = False
        self._closed = False
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running(self) -> int:
        """Return how many requests are under way."""
        return self._running

    @contextmanager
    def admit(self) -> Iterator[None]:
        """Count a request while it runs; raises ShuttingDown if closed."""
        if self._closed:
            raise ShuttingDown(
                "this instance stops and has not begun the request",
                "send it again: the balancer will choose another instance",
                retry_after_s=RETRY_AFTER_S,
            )
        self._running += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()

    def begin_leaving(self) -> None:
        """Make readiness go down while requests are still taken."""
        self.leaving = True

    def close(self) -> None:
        """Turn new requests away."""
        self._closed = True

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait for the requests under way; return False if some remain."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
