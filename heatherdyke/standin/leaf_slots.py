"""Slots, queue, cold start and overload collapse of a stand-in leaf."""

import asyncio
from collections import deque
from random import Random
from time import monotonic

from heatherdyke.standin.leaf_model import LeafIncarnationRecord
from heatherdyke.standin.leaf_model import LeafProfile

COLLAPSE_EXPONENT = 2


class ShedError(Exception):
    """The leaf sheds the request."""


class LeafSlots:
    """Grants slots to searches, sheds some, and draws service times."""

    __slots__ = (
        "profile",
        "record",
        "active",
        "slow_until",
        "slow_factor",
        "shed_until",
        "_queue",
        "_random",
        "_cold_searches_remaining",
        "_cold_since",
        "_completed_while_cold",
    )

    def __init__(
        self, profile: LeafProfile, record: LeafIncarnationRecord
    ) -> None:
        self.profile = profile
        self.record = record
        self.active = 0
        self.slow_until = 0.0
        self.slow_factor = 1.0
        self.shed_until = 0.0
        self._queue: deque[asyncio.Future] = deque()
        self._random = Random(profile.seed)  # noqa: S311
        self._cold_searches_remaining = 0
        self._cold_since = 0.0
        self._completed_while_cold = False

    @property
    def is_cold(self) -> bool:
        """Tell whether a cold start is in progress."""
        return self._cold_searches_remaining > 0

    @property
    def concurrency_limit(self) -> int:
        """Return the number of searches served concurrently now."""
        if self.is_cold:
            return self.profile.cold_slots
        return self.profile.slots

    @property
    def load(self) -> float:
        """Return the active and queued searches per slot."""
        return (self.active + len(self._queue)) / self.profile.slots

    def go_cold(self) -> None:
        """Start a cold period."""
        self._cold_searches_remaining = self.profile.cold_searches
        self._cold_since = monotonic()
        self._completed_while_cold = False
        self.record.cold_starts += 1

    def record_arrival(self) -> None:
        """Count an arrival; one far over the cold slots starts shedding."""
        occupied = self.active + len(self._queue)
        if occupied >= self.profile.slots:
            self.record.over_slots += 1
        if not self.is_cold:
            return
        self.record.cold_arrivals += 1
        if occupied < self.profile.cold_slots:
            return
        self.record.cold_excess += 1
        if self._completed_while_cold:
            self.record.cold_excess_known += 1
        if occupied >= 2 * self.profile.cold_slots:
            self.shed_until = (
                monotonic() + self.profile.cold_collapse_ms / 1000
            )

    def enqueue(self) -> asyncio.Future:
        """Return a future that is done once the caller has a slot.

        Raises ShedError while the leaf sheds everything.
        """
        if monotonic() < self.shed_until:
            raise ShedError
        slot_granted = asyncio.get_running_loop().create_future()
        self._queue.append(slot_granted)
        self._grant_slots()
        self.record.queued_max = max(self.record.queued_max, len(self._queue))
        return slot_granted

    async def wait_for_slot(
        self, slot_granted: asyncio.Future, cancelled: asyncio.Future
    ) -> None:
        """Wait for a slot; raises ShedError on time-out or cancellation."""
        if not slot_granted.done():
            await asyncio.wait(
                (slot_granted, cancelled),
                timeout=self.profile.queue_ms / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        if not slot_granted.done():
            self._queue.remove(slot_granted)
            raise ShedError

    def release(self, succeeded: bool) -> None:
        """Release the slot; a success counts towards ending a cold start."""
        self.active -= 1
        if succeeded:
            self._record_completion()
        self._grant_slots()

    def draw_service_s(self) -> float:
        """Return a random service time for the next search."""
        profile = self.profile
        service_s = profile.service_ms / 1000
        service_s *= self._random.lognormvariate(0.0, profile.spread)
        if self._random.random() < profile.straggler_share:
            service_s *= profile.straggler_factor
        if self.is_cold:
            service_s *= profile.cold_factor
        if monotonic() < self.slow_until:
            service_s *= self.slow_factor
        overload = len(self._queue) / max(1, profile.collapse_queue)
        if overload > 1:
            service_s *= overload**COLLAPSE_EXPONENT
        return service_s

    def _record_completion(self) -> None:
        self.record.completed += 1
        self._completed_while_cold = self.is_cold
        if not self.is_cold:
            return
        self._cold_searches_remaining -= 1
        if self._cold_searches_remaining == 0:
            self.record.cold_s += monotonic() - self._cold_since

    def _grant_slots(self) -> None:
        while self._queue and self.active < self.concurrency_limit:
            self._queue.popleft().set_result(None)
            self.active += 1
        self.record.at_work_max = max(self.record.at_work_max, self.active)
