"""The connections that one worker has open to its leaf."""

import asyncio

from heatherdyke.clock import Clock
from heatherdyke.config.model import LeafConfig
from heatherdyke.leaves.connection_task import ConnectionTask
from heatherdyke.leaves.work import WorkerPolicy

# Kept open beyond what is in use, so that a search need not wait for one.
SPARE_CONNECTIONS = 1
# A leaf that comes back is not met by all connections at once.
MAX_OPENING = 2
# After a refused connection; a restart takes longer than this.
REOPEN_DELAY_S = 0.2


class LeafConnectionPool:
    """Opens, hands out and drops connections; each is a task.

    The tasks report to ``inbox``, which the worker reads.
    """

    __slots__ = (
        "_config",
        "_policy",
        "_inbox",
        "_clock",
        "_idle",
        "_opening",
        "_tasks",
        "_reopen_at",
    )

    def __init__(
        self,
        config: LeafConfig,
        policy: WorkerPolicy,
        inbox: asyncio.Queue,
        clock: Clock,
    ) -> None:
        self._config = config
        self._policy = policy
        self._inbox = inbox
        self._clock = clock
        self._idle: list[ConnectionTask] = []
        self._opening: set[ConnectionTask] = set()
        self._tasks: dict[ConnectionTask, asyncio.Task] = {}
        self._reopen_at = 0.0

    def __len__(self) -> int:
        return len(self._tasks)

    @property
    def has_idle(self) -> bool:
        """Tell whether work can be sent now."""
        return bool(self._idle)

    def acquire(self) -> ConnectionTask:
        """Return an idle connection; there must be one."""
        return self._idle.pop()

    def release(self, connection: ConnectionTask) -> None:
        """Note that a connection is up and idle."""
        self._opening.discard(connection)
        self._idle.append(connection)

    def on_closed(self, connection: ConnectionTask, refused: bool) -> None:
        """Note that a connection has ended, or was refused."""
        self._tasks.pop(connection, None)
        self._opening.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if refused:
            self._reopen_at = self._clock.now() + REOPEN_DELAY_S

    def close(self, connection: ConnectionTask) -> None:
        """Close a connection that is silent."""
        self._tasks[connection].cancel()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            self._tasks[connection].cancel()
        self._idle.clear()

    def close_all(self) -> None:
        """Close all connections."""
        for task in self._tasks.values():
            task.cancel()

    def ensure_open(self, in_use: int, queued: int) -> None:
        """Open what the work at the leaf and in the queue needs."""
        if self._clock.now() < self._reopen_at:
            return
        wanted = min(
            max(1, self._config.connections // 2),
            in_use + queued + SPARE_CONNECTIONS,
            self._config.slots + SPARE_CONNECTIONS,
        )
        while len(self._tasks) < wanted and len(self._opening) < MAX_OPENING:
            self._open()

    def _open(self) -> None:
        connection = ConnectionTask(
            self._config.address, self._policy, self._inbox, self._clock
        )
        self._opening.add(connection)
        self._tasks[connection] = asyncio.create_task(connection.run())
