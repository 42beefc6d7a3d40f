"""The task that owns one connection to a leaf."""

import asyncio
from dataclasses import dataclass

from heatherdyke.clock import Clock
from heatherdyke.errors import TransportError
from heatherdyke.leaves.client import LeafConnection
from heatherdyke.leaves.work import LeafWork
from heatherdyke.leaves.work import Outcome
from heatherdyke.leaves.work import WorkerPolicy
from heatherdyke.leaves.work import refuse
from heatherdyke.messages import LeafRun

ANSWER_GRACE_S = 0.2
MAX_SEND_DELAY_S = 0.1
PATIENT_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class Finished:
    """A connection reports the outcome of its work."""

    connection: "ConnectionTask"
    work: LeafWork


@dataclass(frozen=True, slots=True)
class Opened:
    """A connection is up and idle."""

    connection: "ConnectionTask"


@dataclass(frozen=True, slots=True)
class Closed:
    """A connection ended, or could not be opened."""

    connection: "ConnectionTask"
    refused: bool


class ConnectionTask:
    """Owns one socket to the leaf and does one piece of work at a time."""

    __slots__ = ("_address", "_policy", "_worker_inbox", "_inbox", "_clock")

    def __init__(
        self,
        address: str,
        policy: WorkerPolicy,
        worker_inbox: asyncio.Queue,
        clock: Clock,
    ) -> None:
        self._address = address
        self._policy = policy
        self._worker_inbox = worker_inbox
        self._inbox: asyncio.Queue[LeafWork] = asyncio.Queue()
        self._clock = clock

    def send(self, work: LeafWork) -> None:
        """Send the work as soon as the task runs."""
        self._inbox.put_nowait(work)

    async def run(self) -> None:
        """Open the connection and serve until it breaks."""
        refused = True
        connection = None
        try:
            connection = await LeafConnection.open(
                self._address, self._policy.match_parts
            )
            refused = False
            self._worker_inbox.put_nowait(Opened(self))
            while connection.usable:
                work = await self._inbox.get()
                await self._do(connection, work)
        except TransportError:
            pass
        finally:
            if connection is not None:
                connection.close()
            self._worker_inbox.put_nowait(Closed(self, refused))

    async def _do(self, connection: LeafConnection, work: LeafWork) -> None:
        now = self._clock.now()
        if now - work.started_at > MAX_SEND_DELAY_S:
            # The process stood still between the decision and the send, so
            # that the lease behind the decision may have lapsed.
            work.sent = False
            work.outcome = refuse(work, "not_sent")
            self._worker_inbox.put_nowait(Finished(self, work))
            return
        timeout_s = self._timeout_s(work.request.remaining_ms / 1000)
        try:
            work.outcome = await self._ask(connection, work, timeout_s)
        except TransportError as error:
            work.outcome = error
        self._worker_inbox.put_nowait(Finished(self, work))

    async def _ask(
        self, connection: LeafConnection, work: LeafWork, timeout_s: float
    ) -> Outcome:
        if isinstance(work.request, LeafRun):
            return await connection.run(work.request, timeout_s)
        return await connection.search(work.request, timeout_s)

    def _timeout_s(self, remaining_s: float) -> float:
        """Return how long a connection that passes bytes may take.

        A leaf answers by the deadline at the latest, so that a connection
        without an answer shortly after it is silent.
        """
        if not self._policy.silence_timeout:
            return remaining_s + PATIENT_TIMEOUT_S
        return max(remaining_s, 0.0) + ANSWER_GRACE_S
