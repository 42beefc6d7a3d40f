"""Serves connections in turn, for a short time in each turn of the loop."""

import asyncio
from collections import deque
from collections.abc import Callable

# A health check takes several turns of the event loop.
MAX_TURN_S = 0.005


class TurnQueue:
    """Calls back in order of arrival, for MAX_TURN_S a turn of the loop.

    However many connections wait, all else that the process does is held up
    for no longer than that and one callback.
    """

    __slots__ = ("_loop", "_callbacks", "_is_scheduled")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._callbacks: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    @property
    def is_empty(self) -> bool:
        """Return whether nothing waits for its turn."""
        return not self._callbacks

    def add(self, callback: Callable[[], None]) -> None:
        """Call back in one of the next turns."""
        self._callbacks.append(callback)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Call those that wait, but none that is added meanwhile."""
        self._is_scheduled = False
        ends_at = self._loop.time() + MAX_TURN_S
        try:
            for _ in range(len(self._callbacks)):
                self._callbacks.popleft()()
                if self._loop.time() >= ends_at:
                    break
        finally:
            if self._callbacks:
                self._schedule()
