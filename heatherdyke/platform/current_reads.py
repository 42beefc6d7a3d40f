"""Up-to-date reads that are repeated while there is no answer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from heatherdyke.platform.store import HistoryGone
from heatherdyke.platform.store import Listing
from heatherdyke.platform.store import StoreClient
from heatherdyke.platform.store_pages import Changes

T = TypeVar("T")

# A read without a response for so long is repeated on another connection: the
# first may never return anything again.  Lists take the store longer.
REPEAT_AFTER_S = 0.35
REPEAT_LIST_AFTER_S = 0.7
CONNECTIONS = 3
MAX_ATTEMPTS = 5


class CurrentReads:
    """Reads up to date, on several connections; one read at a time.

    All reads raise as StoreClient does, with the error of the attempt that
    ended last.
    """

    __slots__ = ("_clients",)

    def __init__(self, make_client: Callable[[], StoreClient]) -> None:
        self._clients = [make_client() for _ in range(CONNECTIONS)]

    def close(self) -> None:
        """Close the connections; reads in progress fail."""
        for client in self._clients:
            client.close()

    async def list(self, kind: str) -> Listing:
        """Return all objects of the kind."""
        return await self._read(
            lambda client: client.list(kind), REPEAT_LIST_AFTER_S
        )

    async def changes_since(self, kind: str, revision: int) -> Changes:
        """Return all changes after ``revision`` up to now."""
        return await self._read(
            lambda client: client.changes_since(kind, revision),
            REPEAT_AFTER_S,
        )

    async def _read(
        self,
        call: Callable[[StoreClient], Awaitable[T]],
        repeat_after_s: float,
    ) -> T:
        attempts = _Attempts(self._clients, call)
        try:
            while True:
                attempts.start_if_silent()
                ended = await attempts.wait(repeat_after_s)
                if ended is not None:
                    return ended.result()
        finally:
            attempts.abandon()


class _Attempt(Generic[T]):
    """A read on one connection."""

    __slots__ = ("client", "task", "_responses")

    def __init__(
        self, client: StoreClient, call: Callable[[StoreClient], Awaitable[T]]
    ) -> None:
        self.client = client
        self.task = asyncio.ensure_future(call(client))
        self._responses = client.responses

    def has_progressed(self) -> bool:
        """Return whether there were responses since the last call of this."""
        before, self._responses = self._responses, self.client.responses
        return self._responses > before

    @property
    def is_decisive(self) -> bool:
        """Return whether no other attempt could tell more than this one."""
        error = self.task.exception()
        return error is None or isinstance(error, HistoryGone)


class _Attempts(Generic[T]):
    """The attempts of one read."""

    __slots__ = ("_clients", "_call", "_running", "_started")

    def __init__(
        self,
        clients: list[StoreClient],
        call: Callable[[StoreClient], Awaitable[T]],
    ) -> None:
        self._clients = clients
        self._call = call
        self._running: list[_Attempt[T]] = []
        self._started = 0

    def start_if_silent(self) -> None:
        """Start one more, unless another one has got a response meanwhile."""
        progressed = [attempt.has_progressed() for attempt in self._running]
        used = [attempt.client for attempt in self._running]
        free = [client for client in self._clients if client not in used]
        if free and not any(progressed) and self._started < MAX_ATTEMPTS:
            self._running.append(_Attempt(free[0], self._call))
            self._started += 1

    async def wait(self, timeout_s: float) -> asyncio.Task[T] | None:
        """Return what decides the read, None if it takes longer."""
        loop = asyncio.get_running_loop()
        wait_until = loop.time() + timeout_s
        while True:
            await asyncio.wait(
                [attempt.task for attempt in self._running],
                timeout=wait_until - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            ended = [item for item in self._running if item.task.done()]
            if not ended:
                return None
            self._running = [a for a in self._running if a not in ended]
            decisive = [item for item in ended if item.is_decisive]
            if decisive or not self._running:
                return (decisive or ended)[-1].task

    def abandon(self) -> None:
        """Cancel what still runs; its connections are used no longer."""
        for attempt in self._running:
            attempt.task.cancel()
            attempt.client.close()
