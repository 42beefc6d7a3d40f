"""Serves a blacksheep application with uvicorn in the current event loop."""

import asyncio
from functools import partial

import uvicorn
from blacksheep import Application

from heatherdyke.net.address import split_address
from heatherdyke.net.limited_protocol import PEER_LIMITS
from heatherdyke.net.limited_protocol import LimitedProtocol
from heatherdyke.net.limited_protocol import RequestLimits

LISTEN_BACKLOG = 2048
KEEP_ALIVE_TIMEOUT_S = 75
STOP_TIMEOUT_S = 5


class _UvicornServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the instance."""

    def capture_signals(self):  # noqa: D102
        from contextlib import nullcontext

        return nullcontext()


class HttpServer:
    """Serves one application on one address."""

    __slots__ = ("_server", "_task")

    def __init__(
        self,
        app: Application,
        address: str,
        limits: RequestLimits = PEER_LIMITS,
    ) -> None:
        host, port = split_address(address)
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            loop="asyncio",
            http=partial(LimitedProtocol, limits),
            ws="none",
            lifespan="on",
            log_config=None,
            access_log=False,
            backlog=LISTEN_BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=STOP_TIMEOUT_S,
        )
        self._server = _UvicornServer(config)
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start listening; raises RuntimeError if the address is in use."""
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise RuntimeError(
                    "the server stopped before it started listening"
                )
            await asyncio.sleep(0.005)

    async def stop(self, force: bool = False) -> None:
        """Stop listening, close the connections and wait until all is closed.

        ``force`` aborts running requests instead of waiting for them.
        """
        self._server.should_exit = True
        self._server.force_exit = force
        if self._task is not None:
            await self._task

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit as error:
            raise RuntimeError(
                f"cannot listen on {self._server.config.host}:"
                f"{self._server.config.port}; choose a free address"
            ) from error
