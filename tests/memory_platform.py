"""An in-memory platform for tests, with steppable calls and faults."""

from typing import Any

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.config.edit_retry import EditRetry
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import VersionConflict
from heatherdyke.messages import PlatformObject


class Pause:
    """Suspends the coroutine until the test steps it again."""

    def __await__(self):
        yield


class MemoryPlatform:
    """Stores every version of every object; each call is one step.

    The next ``lost_replies`` writes take effect but raise
    PlatformUnavailable, the next ``failures`` calls fail without effect, and
    ``get`` returns the version that is ``lag`` versions behind the newest.
    """

    def __init__(self) -> None:
        self.versions_by_key: dict[str, list[bytes]] = {}
        self.deleted: set[str] = set()
        self.lost_replies = 0
        self.failures = 0
        self.lag = 0

    async def get(self, key: str) -> PlatformObject | None:
        await self._enter()
        versions = self.versions_by_key.get(key, [])
        number = len(versions) - self.lag
        if number <= 0 or key in self.deleted:
            return None
        return PlatformObject(key, number, decode(versions[number - 1], Any))

    async def put(self, key: str, value: Any, if_version: int) -> int:
        await self._enter()
        versions = self.versions_by_key.setdefault(key, [])
        if len(versions) != if_version:
            raise VersionConflict(key, len(versions))
        versions.append(encode(value))
        if self.lost_replies:
            self.lost_replies -= 1
            raise PlatformUnavailable("the reply was lost", "read back")
        return len(versions)

    async def delete(self, key: str, if_version: int) -> None:
        await self._enter()
        if len(self.versions_by_key.get(key, [])) != if_version:
            raise VersionConflict(key, len(self.versions_by_key[key]))
        self.deleted.add(key)

    async def list(self, prefix: str) -> list[PlatformObject]:
        await self._enter()
        return [
            PlatformObject(key, len(versions), decode(versions[-1], Any))
            for key, versions in sorted(self.versions_by_key.items())
            if key.startswith(prefix) and key not in self.deleted
        ]

    async def _enter(self) -> None:
        await Pause()
        if self.failures:
            self.failures -= 1
            raise PlatformUnavailable("the platform is down", "wait")


class ManualClock:
    """Monotonic and wall-clock seconds that only the test advances."""

    def __init__(self) -> None:
        self.seconds = 1000.0

    def now(self) -> float:
        return self.seconds

    def retry(self, max_attempts: int) -> EditRetry:
        async def sleep(seconds: float) -> None:
            await Pause()

        return EditRetry(sleep, self.now, max_attempts)


def finish(coroutine: Any) -> Any:
    """Run the coroutine to its end and return its result."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value
