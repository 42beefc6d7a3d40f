"""Stores the record and the result of a run in the platform."""

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

from heatherdyke.config.model import RESULT_PREFIX
from heatherdyke.config.model import TICKET_PREFIX
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import VersionConflict
from heatherdyke.objects.client import ABSENT_VERSION
from heatherdyke.objects.client import ObjectClient
from heatherdyke.objects.client import convert_value
from heatherdyke.run_once.state_machine import RunEvent

CHUNK_CHARACTERS = 170_000
"""A character takes at most 6 bytes of JSON; a value holds 1 MiB."""


class RecordState(Enum):
    """The state of the holder's attempt, as stored in the platform."""

    SENDING = "sending"
    DONE = "done"
    NOT_RUN = "not_run"


@dataclass(frozen=True, slots=True)
class RunRecord:
    """The platform's object of one key.

    ``fingerprint`` is the SHA-256 of the request and detects a reused key;
    ``attempt`` is unique across instances and restarts; ``created_at_s`` is
    wall time; the result is stored in ``chunks`` objects.
    """

    state: RecordState
    fingerprint: str
    attempt: str
    instance: str
    address: str
    created_at_s: float
    leaf: str = ""
    chunks: int = 0


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with the version of its platform object."""

    record: RunRecord
    version: int


class RunStore:
    """Reads and writes records and results.

    Writes return RunEvent.NO_REPLY if the platform is unavailable, as they
    may have taken effect; reads raise PlatformUnavailable.
    """

    __slots__ = ("_platform",)

    def __init__(self, platform: ObjectClient) -> None:
        self._platform = platform

    async def create(
        self, name: str, record: RunRecord
    ) -> tuple[RunEvent, int]:
        """Create the record of ``team/key`` unless there is one."""
        try:
            version = await self._platform.put(
                TICKET_PREFIX + name, record, ABSENT_VERSION
            )
        except VersionConflict:
            return RunEvent.EXISTS, ABSENT_VERSION
        except PlatformUnavailable:
            return RunEvent.NO_REPLY, ABSENT_VERSION
        return RunEvent.CREATED, version

    async def read(self, name: str) -> StoredRecord | None:
        """Return the record or None.

        Raises PlatformUnavailable, or msgspec.ValidationError if the stored
        object is no record.
        """
        stored = await self._platform.get(TICKET_PREFIX + name)
        if stored is None:
            return None
        return StoredRecord(convert_value(stored, RunRecord), stored.version)

    async def close(self, name: str, stored: StoredRecord) -> RunEvent:
        """Record that the attempt did not run and will not run."""
        closed = replace(stored.record, state=RecordState.NOT_RUN)
        return await self._change(name, closed, stored.version)

    async def finish(
        self, name: str, stored: StoredRecord, leaf: str, result: str
    ) -> RunEvent:
        """Store the result, then record that the run is done."""
        chunks = _split_result(result)
        try:
            for number, chunk in enumerate(chunks):
                await self._put_chunk(f"{name}/{number}", chunk)
        except PlatformUnavailable:
            return RunEvent.NO_REPLY
        done = replace(
            stored.record,
            state=RecordState.DONE,
            leaf=leaf,
            chunks=len(chunks),
        )
        return await self._change(name, done, stored.version)

    async def read_result(self, name: str, chunk_count: int) -> str:
        """Return a stored result.

        Raises PlatformUnavailable, also if a chunk has been removed.
        """
        parts = []
        for number in range(chunk_count):
            stored = await self._platform.get(
                f"{RESULT_PREFIX}{name}/{number}"
            )
            if stored is None:
                raise PlatformUnavailable(
                    f"chunk {number} of the result of {name} is gone",
                    "send the request with a new key to run it again",
                )
            parts.append(stored.value)
        return "".join(parts)

    async def _put_chunk(self, name: str, chunk: str) -> None:
        """Store a chunk of a result; raises PlatformUnavailable.

        Only the holder writes chunks.  A conflict therefore means that an
        earlier write of the same chunk took effect.
        """
        try:
            await self._platform.put(
                RESULT_PREFIX + name, chunk, ABSENT_VERSION
            )
        except VersionConflict:
            return

    async def _change(
        self, name: str, record: RunRecord, version: int
    ) -> RunEvent:
        """Update the record, which only its holder does.

        A conflict therefore means that an earlier write, whose reply was
        lost, took effect.
        """
        try:
            await self._platform.put(TICKET_PREFIX + name, record, version)
        except VersionConflict:
            return RunEvent.STORED
        except PlatformUnavailable:
            return RunEvent.NO_REPLY
        return RunEvent.STORED


def _split_result(result: str) -> list[str]:
    starts = range(0, len(result), CHUNK_CHARACTERS)
    return [result[i : i + CHUNK_CHARACTERS] for i in starts]
