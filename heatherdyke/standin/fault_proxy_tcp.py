"""Forwards TCP connections of one route, with faults."""

import asyncio
from collections.abc import Callable

from heatherdyke.net.address import split_address
from heatherdyke.standin.fault_proxy_model import Direction
from heatherdyke.standin.fault_proxy_model import RouteConfig
from heatherdyke.standin.fault_proxy_model import RouteFaults
from heatherdyke.standin.fault_proxy_model import RouteRecord

READ_BYTES = 65536


class TcpRoute:
    """Forwards TCP connections from one address to another."""

    def __init__(self, config: RouteConfig) -> None:
        self.config = config
        self.faults = RouteFaults()
        self.record = RouteRecord()
        self.address = config.listen
        self._links: set[_Link] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.config.listen.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port)
        )
        number = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{number}"

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        self._server.close()
        self._close_links()

    def set_faults(self, faults: RouteFaults) -> None:
        """Replace the faults and apply them to the open connections."""
        self.faults = faults
        for link in [x for x in self._links if faults.touch(x.source)]:
            link.silent = link.silent or faults.silent
            if faults.cut:
                link.close()
        self._cross(faults.cross)

    def _cross(self, pairs: int) -> None:
        links = [
            link
            for link in self._links
            if not link.silent and self.faults.touch(link.source)
        ]
        for _ in range(pairs):
            if len(links) < 2:
                return
            one, other = links.pop(), links.pop()
            one.crossed_with, other.crossed_with = other, one

    def _close_links(self) -> None:
        for link in list(self._links):
            link.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.record.connections += 1
        source = writer.get_extra_info("peername")[0]
        if self.faults.cut and self.faults.touch(source):
            self.record.refused += 1
            writer.transport.abort()
            return
        host, port = split_address(self.config.target)
        try:
            upstream = await asyncio.open_connection(host, port)
        except OSError:
            self.record.refused += 1
            writer.transport.abort()
            return
        link = _Link(self, writer, upstream[1])
        self._links.add(link)
        self.record.connections_now = len(self._links)
        try:
            await link.run(reader, upstream[0])
        finally:
            self._links.discard(link)
            self.record.connections_now = len(self._links)


class _Link:
    """One forwarded connection: the client's end and the target's."""

    def __init__(
        self,
        route: TcpRoute,
        client: asyncio.StreamWriter,
        target: asyncio.StreamWriter,
    ) -> None:
        self.route = route
        self.client = client
        self.source: str = client.get_extra_info("peername")[0]
        self.silent = False
        self.crossed_with: _Link | None = None
        self._target = target

    async def run(
        self,
        client_reader: asyncio.StreamReader,
        target_reader: asyncio.StreamReader,
    ) -> None:
        """Forward both ways until an end closes."""
        pumps = [
            asyncio.create_task(
                self._pump(
                    client_reader,
                    lambda: self._target,
                    Direction.TO_TARGET,
                )
            ),
            asyncio.create_task(
                self._pump(
                    target_reader,
                    self._take_client,
                    Direction.FROM_TARGET,
                )
            ),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self.close()

    def close(self) -> None:
        """Close both ends at once."""
        self.client.transport.abort()
        self._target.transport.abort()

    def _take_client(self) -> asyncio.StreamWriter:
        other, self.crossed_with = self.crossed_with, None
        return self.client if other is None else other.client

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        take_writer: Callable[[], asyncio.StreamWriter],
        direction: Direction,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await self._forward(data, take_writer, direction)
        except OSError:
            return

    async def _forward(
        self,
        data: bytes,
        take_writer: Callable[[], asyncio.StreamWriter],
        direction: Direction,
    ) -> None:
        faults = self.route.faults
        if faults.delay_ms and faults.touch(self.source):
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.lose_bytes(self.source, direction):
            # A stream with a gap in it would not be TCP: nothing more passes.
            self.silent = True
        if self.silent:
            return
        writer = take_writer()
        if writer.transport.is_closing():
            return
        writer.write(data)
        self.route.record.bytes_passed += len(data)
        await writer.drain()
