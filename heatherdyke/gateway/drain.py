"""Ends the service of a process that has received a stop signal."""

import asyncio
from collections.abc import Callable

from heatherdyke.gateway.client_api import ClientApi
from heatherdyke.gateway.events import GATEWAY_STOPPED
from heatherdyke.gateway.events import GATEWAY_STOPPING
from heatherdyke.gateway.isolation import BALANCER_REACTION_S
from heatherdyke.gateway.listeners import CLIENTS
from heatherdyke.gateway.listeners import Listeners
from heatherdyke.gateway.peer_api import PeerApi
from heatherdyke.gateway.shared_state import SharedState

POLL_INTERVAL_S = 0.05
# How long answers may take to be written when the process ends.
FLUSH_S = 0.05


class Drain:
    """Serves until clients have disconnected and groups have ended.

    It also waits while ``has_unsaved`` returns that this process has something
    to write to the store.

    Before the platform kills the process, the requests that are still running
    get their final answers.
    """

    __slots__ = ("_shared", "_client_api", "_peer_api", "_has_unsaved")

    def __init__(
        self,
        shared: SharedState,
        client_api: ClientApi,
        peer_api: PeerApi,
        has_unsaved: Callable[[], bool],
    ) -> None:
        self._shared = shared
        self._client_api = client_api
        self._peer_api = peer_api
        self._has_unsaved = has_unsaved

    async def run(self, listeners: Listeners, stop_signal: str) -> None:
        """Drain, and close the listener for clients."""
        shared = self._shared
        started_at = shared.loop.time()
        shared.log.record(
            GATEWAY_STOPPING,
            signal=stop_signal,
            open_connections=self._client_api.open_count,
            running=self._client_api.running_count,
        )
        self._client_api.stopping = True
        self._peer_api.stopping = True
        shared.shutdown.begin(started_at, shared.settings.bounds.shutdown_s)
        await self._wait_for_end(started_at + BALANCER_REACTION_S)
        listeners.close(CLIENTS)
        unfinished = await self._answer_unfinished()
        shared.log.record(
            GATEWAY_STOPPED,
            signal=stop_signal,
            unfinished=unfinished,
            after_s=round(shared.loop.time() - started_at, 3),
        )

    async def _wait_for_end(self, balancer_reacted_at: float) -> None:
        """Return at the end, or once nothing is connected, running or unsaved.

        Some of the others may be stopping too and know no more of it.
        """
        shared = self._shared
        while shared.shutdown.remaining_s(shared.loop.time()) > 0.0:
            await asyncio.sleep(POLL_INTERVAL_S)
            if shared.loop.time() < balancer_reacted_at:
                continue
            self._client_api.close_idle()
            if self._is_idle and not self._has_unsaved():
                return

    @property
    def _is_idle(self) -> bool:
        running = self._peer_api.running_count
        return self._client_api.open_count == 0 and running == 0

    async def _answer_unfinished(self) -> int:
        """Answer the requests that are running; return their number."""
        shared = self._shared
        # Refuses what still arrives on open connections.
        shared.shutdown.end(shared.loop.time())
        unfinished = self._client_api.running_count
        self._client_api.shut_down()
        self._peer_api.shut_down()
        await asyncio.sleep(FLUSH_S)
        return unfinished
