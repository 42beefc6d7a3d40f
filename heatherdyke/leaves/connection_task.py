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

RESPONSE_GRACE_S = 0.2
MAX_SEND_DELAY_S = 0.1
# Used instead of RESPONSE_GRACE_S if the silence timeout is disabled.
RESPONSE_GRACE_WHEN_DISABLED_S = 60.0


@dataclass(frozen=True, slots=True)
class Finished:
    """Reports the outcome of the work on a connection."""

    connection: "ConnectionTask"
    work: LeafWork


@dataclass(frozen=True, slots=True)
class Opened:
    """Reports that a connection is open and idle."""

    connection: "ConnectionTask"


@dataclass(frozen=True, slots=True)
class Closed:
    """Reports that a connection closed.

    ``refused`` means that it could not be opened.
    """

    connection: "ConnectionTask"
    refused: bool


class ConnectionTask:
    """Owns one socket to the leaf and sends one piece of work at a time."""

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
        """Queue the work; the task sends it when it runs next."""
        self._inbox.put_nowait(work)

    async def run(self) -> None:
        """Open the connection and send work until it breaks."""
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
                await self._execute(connection, work)
        except TransportError:
            pass
        finally:
            if connection is not None:
                connection.close()
            self._worker_inbox.put_nowait(Closed(self, refused))

    async def _execute(
        self, connection: LeafConnection, work: LeafWork
    ) -> None:
        now = self._clock.now()
        if now - work.started_at > MAX_SEND_DELAY_S:
            # The process was paused between the decision and the send, so
            # that the lease may have expired since.
            work.sent = False
            work.outcome = refuse(work, "not_sent")
            self._worker_inbox.put_nowait(Finished(self, work))
            return
        timeout_s = self._timeout_s(work.request.remaining_ms / 1000)
        try:
            work.outcome = await self._request(connection, work, timeout_s)
        except TransportError as error:
            work.outcome = error
        self._worker_inbox.put_nowait(Finished(self, work))

    async def _request(
        self, connection: LeafConnection, work: LeafWork, timeout_s: float
    ) -> Outcome:
        if isinstance(work.request, LeafRun):
            return await connection.run(work.request, timeout_s)
        return await connection.search(work.request, timeout_s)

    def _timeout_s(self, remaining_s: float) -> float:
        """Return the time after which a missing response is a failure.

        A leaf responds by the deadline at the latest.  A connection without
        a response ``RESPONSE_GRACE_S`` later no longer transfers data.
        """
        if not self._policy.silence_timeout:
            return remaining_s + RESPONSE_GRACE_WHEN_DISABLED_S
        return max(remaining_s, 0.0) + RESPONSE_GRACE_S
