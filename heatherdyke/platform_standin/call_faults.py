"""Calls that the stand-in store refuses, delays or does not answer (pure)."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreCall:
    """What tells the calls of the store apart."""

    method: str
    kind: str
    is_stale: bool = False

    @property
    def is_current_read(self) -> bool:
        """Return whether the call reads the newest data."""
        return self.method == "GET" and not self.is_stale


@dataclass(slots=True)
class CallFault:
    """What happens to up-to-date reads, of one kind or of all.

    Each ``every``-th of them gets ``status`` if that is not 0, or no answer
    if it ``is_lost``; it is served after ``delay_s`` otherwise.  If ``count``
    is not 0, the fault ends after so many calls.
    """

    kind: str = ""
    every: int = 1
    status: int = 0
    delay_s: float = 0.0
    is_lost: bool = False
    count: int = 0
    matched: int = 0

    def takes(self, call: StoreCall) -> bool:
        """Count a call that matches; return whether it is affected."""
        if not call.is_current_read or self.kind not in ("", call.kind):
            return False
        self.matched += 1
        if self.count and self.matched > self.count * self.every:
            return False
        return self.matched % self.every == 0


class CallFaults:
    """All faults; the first one that takes a call decides."""

    __slots__ = ("faults",)

    def __init__(self) -> None:
        self.faults: list[CallFault] = []

    def find(self, call: StoreCall) -> CallFault | None:
        """Return what happens to a call, None if it is served."""
        for fault in self.faults:
            if fault.takes(call):
                return fault
        return None
