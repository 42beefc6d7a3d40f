"""An event loop whose time passes without waiting, for tests of timers."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Advances its clock to the next timer whenever it would wait."""

    def __init__(self) -> None:
        super().__init__(selectors.DefaultSelector())
        self._now_s = 100.0
        self._select = self._selector.select
        self._selector.select = self._advance

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def _advance(self, timeout: float | None = None) -> list:
        if timeout:
            self._now_s += timeout
        return self._select(0)


def run_in_virtual_time(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that waits for timers only, not for the network."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(main)
