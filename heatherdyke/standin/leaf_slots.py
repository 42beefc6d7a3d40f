"""Slots, queue, cold start and collapse of a stand-in leaf."""

import asyncio
from collections import deque
from random import Random
from time import monotonic

from heatherdyke.standin.leaf_model import LeafIncarnationRecord
from heatherdyke.standin.leaf_model import LeafProfile

COLLAPSE_EXPONENT = 2


class Shed(Exception):  # noqa: N818 - says what happens, as a refusal does
    """The leaf does not take the search."""


class LeafSlots:
    """Decides when a search may work and how long its work takes."""

    __slots__ = (
        "profile",
        "record",
        "at_work",
        "slow_until",
        "slow_factor",
        "shed_until",
        "_waiting",
        "_random",
        "_cold_left",
        "_cold_since",
        "_cold_shown",
    )

    def __init__(
        self, profile: LeafProfile, record: LeafIncarnationRecord
    ) -> None:
        self.profile = profile
        self.record = record
        self.at_work = 0
        self.slow_until = 0.0
        self.slow_factor = 1.0
        self.shed_until = 0.0
        self._waiting: deque[asyncio.Future] = deque()
        self._random = Random(profile.seed)  # noqa: S311
        self._cold_left = 0
        self._cold_since = 0.0
        self._cold_shown = False

    @property
    def is_cold(self) -> bool:
        """Tell whether the cold start goes on."""
        return self._cold_left > 0

    @property
    def bears(self) -> int:
        """Return how many searches the leaf bears at once now."""
        if self.is_cold:
            return self.profile.cold_slots
        return self.profile.slots

    @property
    def load(self) -> float:
        """Return the searches at work and waiting, over the slots."""
        return (self.at_work + len(self._waiting)) / self.profile.slots

    def go_cold(self) -> None:
        """Begin a cold start."""
        self._cold_left = self.profile.cold_searches
        self._cold_since = monotonic()
        self._cold_shown = False
        self.record.cold_starts += 1

    def count_arrival(self) -> None:
        """Record an arrival against what the leaf bears."""
        taken = self.at_work + len(self._waiting)
        if taken >= self.profile.slots:
            self.record.over_slots += 1
        if not self.is_cold:
            return
        self.record.cold_arrivals += 1
        if taken < self.profile.cold_slots:
            return
        self.record.cold_excess += 1
        if self._cold_shown:
            self.record.cold_excess_known += 1
        if taken >= 2 * self.profile.cold_slots:
            self.shed_until = (
                monotonic() + self.profile.cold_collapse_ms / 1000
            )

    def reserve(self) -> asyncio.Future:
        """Return a future that is done once a slot is the caller's.

        Raises Shed while the leaf sheds everything.
        """
        if monotonic() < self.shed_until:
            raise Shed
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        self._wake_waiting()
        self.record.queued_max = max(
            self.record.queued_max, len(self._waiting)
        )
        return turn

    async def wait(
        self, turn: asyncio.Future, cancelled: asyncio.Future
    ) -> None:
        """Wait for a reserved slot; raises Shed if none is free in time."""
        if not turn.done():
            await asyncio.wait(
                (turn, cancelled),
                timeout=self.profile.queue_ms / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        if not turn.done():
            self._waiting.remove(turn)
            raise Shed

    def give_back(self, done_well: bool) -> None:
        """Free the slot; work done well ends the cold start in time."""
        self.at_work -= 1
        if done_well:
            self._count_done()
        self._wake_waiting()

    def draw_service_s(self) -> float:
        """Return how long the next search takes."""
        profile = self.profile
        seconds = profile.service_ms / 1000
        seconds *= self._random.lognormvariate(0.0, profile.spread)
        if self._random.random() < profile.straggler_share:
            seconds *= profile.straggler_factor
        if self.is_cold:
            seconds *= profile.cold_factor
        if monotonic() < self.slow_until:
            seconds *= self.slow_factor
        excess = len(self._waiting) / max(1, profile.collapse_queue)
        if excess > 1:
            seconds *= excess**COLLAPSE_EXPONENT
        return seconds

    def _count_done(self) -> None:
        self.record.completed += 1
        self._cold_shown = self.is_cold
        if not self.is_cold:
            return
        self._cold_left -= 1
        if self._cold_left == 0:
            self.record.cold_s += monotonic() - self._cold_since

    def _wake_waiting(self) -> None:
        while self._waiting and self.at_work < self.bears:
            self._waiting.popleft().set_result(None)
            self.at_work += 1
        self.record.at_work_max = max(self.record.at_work_max, self.at_work)
