"""Forwards the TCP connections of one route and injects its faults."""

import asyncio
from collections.abc import Callable

from heatherdyke.net.address import split_address
from heatherdyke.standin.fault_proxy_model import Direction
from heatherdyke.standin.fault_proxy_model import RouteConfig
from heatherdyke.standin.fault_proxy_model import RouteFaults
from heatherdyke.standin.fault_proxy_model import RouteRecord
from heatherdyke.standin.free_address import free_port

READ_BYTES = 65536


class TcpRoute:
    """Forwards TCP connections from its listen address to its target."""

    def __init__(self, config: RouteConfig) -> None:
        self.config = config
        self.faults = RouteFaults()
        self.record = RouteRecord()
        self.address = config.listen
        self._connections: set[_ProxiedConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; port 0 stands for one that stays free after a stop."""
        host, _, port = self.config.listen.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port) or free_port()
        )
        bound_port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{bound_port}"

    async def stop(self) -> None:
        """Stop listening, if it does, and close the connections."""
        if self._server is not None:
            self._server.close()
        self._close_connections()

    def set_faults(self, faults: RouteFaults) -> None:
        """Replace the faults and apply them to the open connections."""
        self.faults = faults
        for connection in [
            c for c in self._connections if faults.applies_to(c.client_ip)
        ]:
            connection.silent = connection.silent or faults.silent
            if faults.cut:
                connection.close()
        self._swap_responses(faults.cross)

    def _swap_responses(self, pair_count: int) -> None:
        candidates = [
            connection
            for connection in self._connections
            if not connection.silent
            and self.faults.applies_to(connection.client_ip)
        ]
        for _ in range(pair_count):
            if len(candidates) < 2:
                return
            one, other = candidates.pop(), candidates.pop()
            one.swap_with, other.swap_with = other, one

    def _close_connections(self) -> None:
        for connection in list(self._connections):
            connection.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.record.connections += 1
        client_ip = writer.get_extra_info("peername")[0]
        if self.faults.cut and self.faults.applies_to(client_ip):
            self.record.refused += 1
            writer.transport.abort()
            return
        host, port = split_address(self.config.target)
        try:
            target = await asyncio.open_connection(host, port)
        except OSError:
            self.record.refused += 1
            writer.transport.abort()
            return
        connection = _ProxiedConnection(self, writer, target[1])
        self._connections.add(connection)
        self.record.connections_now = len(self._connections)
        try:
            await connection.run(reader, target[0])
        finally:
            self._connections.discard(connection)
            self.record.connections_now = len(self._connections)


class _ProxiedConnection:
    """A client's connection and the connection to the target for it."""

    def __init__(
        self,
        route: TcpRoute,
        client: asyncio.StreamWriter,
        target: asyncio.StreamWriter,
    ) -> None:
        self.route = route
        self.client_writer = client
        self.client_ip: str = client.get_extra_info("peername")[0]
        self.silent = False
        self.swap_with: _ProxiedConnection | None = None
        self._target_writer = target

    async def run(
        self,
        client_reader: asyncio.StreamReader,
        target_reader: asyncio.StreamReader,
    ) -> None:
        """Forward in both directions until either side closes."""
        forwarders = [
            asyncio.create_task(
                self._forward_stream(
                    client_reader,
                    lambda: self._target_writer,
                    Direction.TO_TARGET,
                )
            ),
            asyncio.create_task(
                self._forward_stream(
                    target_reader,
                    self._next_client_writer,
                    Direction.FROM_TARGET,
                )
            ),
        ]
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            self.close()

    def close(self) -> None:
        """Abort both connections; buffered bytes are dropped."""
        self.client_writer.transport.abort()
        self._target_writer.transport.abort()

    def _next_client_writer(self) -> asyncio.StreamWriter:
        other, self.swap_with = self.swap_with, None
        return self.client_writer if other is None else other.client_writer

    async def _forward_stream(
        self,
        reader: asyncio.StreamReader,
        next_writer: Callable[[], asyncio.StreamWriter],
        direction: Direction,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await self._forward_chunk(data, next_writer, direction)
        except OSError:
            return

    async def _forward_chunk(
        self,
        data: bytes,
        next_writer: Callable[[], asyncio.StreamWriter],
        direction: Direction,
    ) -> None:
        faults = self.route.faults
        if faults.delay_ms and faults.applies_to(self.client_ip):
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.drops_bytes(self.client_ip, direction):
            # TCP never delivers a stream with a gap, so forward no more.
            self.silent = True
        if self.silent:
            return
        writer = next_writer()
        if writer.transport.is_closing():
            return
        writer.write(data)
        self.route.record.bytes_passed += len(data)
        await writer.drain()
