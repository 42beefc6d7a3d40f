"""The era of the store's data, which rises when it comes back from a copy."""

from collections.abc import Callable
from enum import Enum


class EraOrder(Enum):
    """How an era that was stated relates to the known one."""

    SAME = "same"
    RISEN = "risen"
    PAST = "past"


class StoreEra:
    """The latest era that answers have stated, None if none has.

    Revisions of different eras cannot be compared: the store gives them out
    again.  ``on_risen`` is called with the new era and the previous one.
    """

    __slots__ = ("number", "on_risen")

    def __init__(self) -> None:
        self.number: int | None = None
        self.on_risen: Callable[[int, int], None] = lambda era, previous: None

    def observe(self, era: int | None) -> EraOrder:
        """Record an era; one that is not stated tells nothing."""
        known = self.number
        if era is None or era == known:
            return EraOrder.SAME
        if known is None:
            self.number = era
            return EraOrder.SAME
        if era < known:
            return EraOrder.PAST
        self.number = era
        self.on_risen(era, known)
        return EraOrder.RISEN
