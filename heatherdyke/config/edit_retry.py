"""The retry policy of edits after conflicts, lost replies and outages."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

MAX_ATTEMPTS = 30
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


@dataclass(frozen=True, slots=True)
class EditRetry:
    """Exponential backoff with a limited number of attempts.

    ``sleep`` takes seconds and ``now`` returns monotonic seconds, by which
    the age of an edit is measured; both can be replaced in tests.
    """

    sleep: Callable[[float], Awaitable[None]]
    now: Callable[[], float]
    max_attempts: int = MAX_ATTEMPTS

    async def wait(self, attempt: int) -> None:
        """Wait after the failed attempt number ``attempt``, from 0."""
        await self.sleep(min(INITIAL_BACKOFF_S * 2**attempt, MAX_BACKOFF_S))
