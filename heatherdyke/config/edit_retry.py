"""How an edit goes on after a conflict, a lost reply or an outage."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

MAX_ATTEMPTS = 30
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class EditRetry:
    """The attempts an edit gets, and how it waits and tells the time.

    ``pause`` sleeps for seconds and ``now`` gives monotonic seconds.
    """

    pause: Callable[[float], Awaitable[None]]
    now: Callable[[], float]
    max_attempts: int = MAX_ATTEMPTS

    async def wait(self, attempt: int) -> None:
        """Wait before the attempt after ``attempt``, longer each time."""
        await self.pause(min(FIRST_PAUSE_S * 2**attempt, MAX_PAUSE_S))
