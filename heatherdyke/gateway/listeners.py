"""Opens the listeners of a process.

An address may be in use for a while, for example by the previous process, or
not be assigned to the machine yet.  The process goes on without the listener
and tries again.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.events import LISTEN_DELAYED
from heatherdyke.gateway.events import LISTENING
from heatherdyke.gateway.inbound_connection import ConnectionManager
from heatherdyke.gateway.inbound_connection import InboundConnection
from heatherdyke.net.address import Address

# The name of the listener for clients.
CLIENTS = "clients"
BACKLOG = 512
RETRY_S = 0.1


class Listeners:
    """The listeners by name; each serves the connections of a manager."""

    __slots__ = ("_loop", "_log", "_server_by_name", "_retries")

    def __init__(self, loop: asyncio.AbstractEventLoop, log: EventLog) -> None:
        self._loop = loop
        self._log = log
        self._server_by_name: dict[str, asyncio.Server] = {}
        self._retries: set[asyncio.Task] = set()

    def is_open(self, name: str) -> bool:
        """Return whether the listener accepts connections."""
        return name in self._server_by_name

    async def open(
        self,
        name: str,
        addresses: Sequence[Address],
        manager: ConnectionManager,
        on_open: Callable[[Address], None] = lambda address: None,
    ) -> None:
        """Listen at the first address that is free.

        If none is, return and try again until one is.  ``on_open`` is called
        with the address.
        """
        address = await self._try(name, addresses, manager)
        if address is not None:
            on_open(address)
            return
        task = self._loop.create_task(
            self._retry(name, addresses, manager, on_open)
        )
        self._retries.add(task)
        task.add_done_callback(self._retries.discard)

    def close(self, name: str) -> None:
        """Accept no further connections, now or later."""
        for task in self._retries:
            task.cancel()
        server = self._server_by_name.pop(name, None)
        if server is not None:
            server.close()

    def close_all(self) -> None:
        """Accept no further connections at any listener."""
        for name in list(self._server_by_name):
            self.close(name)

    async def _retry(
        self,
        name: str,
        addresses: Sequence[Address],
        manager: ConnectionManager,
        on_open: Callable[[Address], None],
    ) -> None:
        began_at = self._loop.time()
        address = None
        while address is None:
            await asyncio.sleep(RETRY_S)
            address = await self._try(name, addresses, manager, logs=False)
        self._log.record(
            LISTENING,
            listener=name,
            address=str(address),
            after_s=round(self._loop.time() - began_at, 3),
        )
        on_open(address)

    async def _try(
        self,
        name: str,
        addresses: Sequence[Address],
        manager: ConnectionManager,
        logs: bool = True,
    ) -> Address | None:
        """Return the address at which the listener is now open, or None."""
        for address in addresses:
            try:
                server = await self._loop.create_server(
                    lambda: InboundConnection(manager),
                    address.host,
                    address.port,
                    backlog=BACKLOG,
                    reuse_address=True,
                )
            except OSError as error:
                if logs:
                    self._log.record(
                        LISTEN_DELAYED,
                        listener=name,
                        address=str(address),
                        reason=error.strerror or repr(error),
                    )
                continue
            self._server_by_name[name] = server
            port = server.sockets[0].getsockname()[1]
            return Address(address.host, port)
        return None
