"""The connection pool of one worker to its leaf."""

import asyncio

from heatherdyke.clock import Clock
from heatherdyke.config.model import LeafConfig
from heatherdyke.leaves.connection_task import ConnectionTask
from heatherdyke.leaves.work import WorkerPolicy

# Open connections beyond those in use, so that a search finds one idle.
SPARE_CONNECTIONS = 1
# Limits concurrent connects, so that a restarted leaf is not flooded.
MAX_OPENING = 2
# Pause after a failed connect; a leaf takes longer than this to restart.
REOPEN_DELAY_S = 0.2


class LeafConnectionPool:
    """Opens, lends and closes connections, each of which is a task.

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
        # When each connection became idle, the latest last.
        self._idle: dict[ConnectionTask, float] = {}
        self._opening: set[ConnectionTask] = set()
        self._tasks: dict[ConnectionTask, asyncio.Task] = {}
        self._reopen_at = 0.0

    def __len__(self) -> int:
        return len(self._tasks)

    @property
    def has_idle(self) -> bool:
        """Tell whether a connection is idle."""
        return bool(self._idle)

    def acquire(self) -> ConnectionTask:
        """Take an idle connection out of the pool; there must be one."""
        connection, _ = self._idle.popitem()
        return connection

    def release(self, connection: ConnectionTask) -> None:
        """Put a connection that opened or responded into the pool as idle."""
        self._opening.discard(connection)
        self._idle[connection] = self._clock.now()

    def on_closed(self, connection: ConnectionTask, refused: bool) -> None:
        """Remove a connection that closed or could not be opened."""
        self._tasks.pop(connection, None)
        self._opening.discard(connection)
        self._idle.pop(connection, None)
        if refused:
            self._reopen_at = self._clock.now() + REOPEN_DELAY_S

    def close(self, connection: ConnectionTask) -> None:
        """Close a connection that is in use."""
        self._tasks[connection].cancel()

    def close_idle(self, before: float) -> None:
        """Close the connections that have been idle since ``before``."""
        for connection, idle_since in list(self._idle.items()):
            if idle_since < before:
                del self._idle[connection]
                self._tasks[connection].cancel()

    def close_all(self) -> None:
        """Close all connections."""
        for task in self._tasks.values():
            task.cancel()

    def ensure_open(self, in_use: int, queued: int) -> None:
        """Open connections for the work in progress and in the queue."""
        if self._clock.now() < self._reopen_at:
            return
        target = min(
            max(1, self._config.connections // 2),
            in_use + queued + SPARE_CONNECTIONS,
            self._config.slots + SPARE_CONNECTIONS,
        )
        while len(self._tasks) < target and len(self._opening) < MAX_OPENING:
            self._open()

    def _open(self) -> None:
        connection = ConnectionTask(
            self._config.address, self._policy, self._inbox, self._clock
        )
        self._opening.add(connection)
        self._tasks[connection] = asyncio.create_task(connection.run())
