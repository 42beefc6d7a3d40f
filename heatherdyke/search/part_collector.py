"""Collects the finished leaf work of one group of parts."""

import asyncio

from heatherdyke.clock import Clock
from heatherdyke.leaves.work import LeafWork


class PartCollector:
    """A queue from the leaf workers to the task that reports the group."""

    __slots__ = ("_clock", "_finished")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._finished: asyncio.Queue[LeafWork] = asyncio.Queue()

    def put(self, work: LeafWork) -> None:
        """Add finished work; called by the leaf workers."""
        self._finished.put_nowait(work)

    async def collect(self, count: int, until: float) -> list[LeafWork]:
        """Return up to ``count`` pieces of work that finish by ``until``."""
        done: list[LeafWork] = []
        while len(done) < count:
            timeout_s = max(0.0, until - self._clock.now())
            try:
                async with asyncio.timeout(timeout_s):
                    done.append(await self._finished.get())
            except TimeoutError:
                break
        return done
