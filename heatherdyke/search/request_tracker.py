"""Tracks callers' in-flight requests and rejects new ones at shutdown."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from heatherdyke.request_errors import ShuttingDown

RETRY_AFTER_S = 1.0


class RequestTracker:
    """Admits callers' requests; a shutdown waits until all have ended.

    Between ``begin_leaving`` and ``close`` requests are still admitted,
    because the load balancer takes some time to notice that the instance is
    not ready.
    """

    __slots__ = ("leaving", "_closed", "_in_flight", "_idle")

    def __init__(self) -> None:
        self.leaving = False
        self._closed = False
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Return the number of in-flight requests."""
        return self._in_flight

    @contextmanager
    def admit(self) -> Iterator[None]:
        """Count a request as in flight; raises ShuttingDown if closed."""
        if self._closed:
            raise ShuttingDown(
                "this instance is shutting down and did not start the request",
                "retry: the load balancer will choose another instance",
                retry_after_s=RETRY_AFTER_S,
            )
        self._in_flight += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    def begin_leaving(self) -> None:
        """Fail the readiness check while requests are still admitted."""
        self.leaving = True

    def close(self) -> None:
        """Reject new requests."""
        self._closed = True

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait for in-flight requests; return False if some remain."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
