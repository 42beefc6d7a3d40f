"""A proxy that puts network faults between processes, for tests.

Each route listens on one address and forwards to another, over TCP or UDP.
``POST /admin/faults`` on the proxy's own address sets a route's faults.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

import msgspec

from heatherdyke.codec import decode
from heatherdyke.errors import SettingsError
from heatherdyke.settings import split_address
from heatherdyke.standin_http import HttpReply
from heatherdyke.standin_http import HttpRequest
from heatherdyke.standin_http import HttpServer

READ_BYTES = 65536


class Direction(Enum):
    """Which way bytes go through a route."""

    TO_TARGET = "to_target"
    FROM_TARGET = "from_target"


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One route: what listens, where it leads, and whether over UDP."""

    name: str
    listen: str
    target: str
    udp: bool = False


@dataclass(frozen=True, slots=True)
class ProxyConfig:
    """The proxy's routes and the address of its controls."""

    routes: list[RouteConfig]
    listen: str = "127.0.0.1:0"


@dataclass(frozen=True, slots=True)
class RouteFaults:
    """The faults of one route; they replace its former ones.

    ``cut`` closes all connections and each new one at once.  ``lose``
    names the direction whose bytes vanish.  ``silent`` stops the open
    connections for good while new ones work.  ``cross`` swaps what the
    target sends next on two open connections, that many times.
    """

    delay_ms: float = 0.0
    cut: bool = False
    lose: Direction | None = None
    silent: bool = False
    cross: int = 0


@dataclass(frozen=True, slots=True)
class ProxyFaults:
    """New faults for the routes named."""

    by_route: dict[str, RouteFaults]


@dataclass(slots=True)
class RouteRecord:
    """What passed a route."""

    connections: int = 0
    connections_now: int = 0
    refused: int = 0
    bytes_passed: int = 0
    datagrams: int = 0


@dataclass(frozen=True, slots=True)
class ProxyRecord:
    """All routes' records by route name."""

    by_route: dict[str, RouteRecord] = field(default_factory=dict)


class FaultProxy:
    """Forwards the routes of a ProxyConfig, with faults."""

    def __init__(self, config: ProxyConfig) -> None:
        self._server = HttpServer(config.listen, self._handle)
        self.route_by_name = {
            route.name: UdpRoute(route) if route.udp else TcpRoute(route)
            for route in config.routes
        }

    @property
    def address(self) -> str:
        """Return where the controls listen."""
        return self._server.address

    async def start(self) -> None:
        """Listen on every route."""
        for route in self.route_by_name.values():
            await route.start()
        await self._server.start()

    async def stop(self) -> None:
        """Close every route."""
        await self._server.stop()
        for route in self.route_by_name.values():
            await route.stop()

    def set_faults(self, faults: ProxyFaults) -> None:
        """Set the faults; raises SettingsError on an unknown route."""
        unknown = sorted(faults.by_route.keys() - self.route_by_name.keys())
        if unknown:
            raise SettingsError([f"no route is named {n!r}" for n in unknown])
        for name, route_faults in faults.by_route.items():
            self.route_by_name[name].set_faults(route_faults)

    def record(self) -> ProxyRecord:
        """Return what passed."""
        return ProxyRecord(
            {name: route.record for name, route in self.route_by_name.items()}
        )

    async def _handle(self, request: HttpRequest) -> HttpReply:
        call = f"{request.method} {request.path}"
        if call == "GET /admin/record":
            return HttpReply.from_message(self.record())
        if call != "POST /admin/faults":
            return HttpReply(404)
        try:
            self.set_faults(decode(request.body, ProxyFaults))
        except (msgspec.DecodeError, SettingsError) as error:
            return HttpReply.from_message(str(error), 400)
        return HttpReply(200, b"{}")


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
        if faults.cut:
            self._close_links()
        if faults.silent:
            for link in self._links:
                link.silent = True
        self._cross(faults.cross)

    def _cross(self, pairs: int) -> None:
        links = [link for link in self._links if not link.silent]
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
        if self.faults.cut:
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
        if self.route.faults.delay_ms:
            await asyncio.sleep(self.route.faults.delay_ms / 1000)
        if self.silent or self.route.faults.lose is direction:
            return
        writer = take_writer()
        if writer.transport.is_closing():
            return
        writer.write(data)
        self.route.record.bytes_passed += len(data)
        await writer.drain()


class UdpRoute(asyncio.DatagramProtocol):
    """Forwards datagrams; each sender gets a socket of its own."""

    def __init__(self, config: RouteConfig) -> None:
        self.config = config
        self.faults = RouteFaults()
        self.record = RouteRecord()
        self.address = config.listen
        self._transport: asyncio.DatagramTransport | None = None
        self._upstream_by_sender: dict[
            tuple[str, int], asyncio.DatagramTransport
        ] = {}

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.config.listen.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        number = self._transport.get_extra_info("sockname")[1]
        self.address = f"{host}:{number}"

    async def stop(self) -> None:
        """Close every socket."""
        self._transport.close()
        for upstream in self._upstream_by_sender.values():
            upstream.close()

    def set_faults(self, faults: RouteFaults) -> None:
        """Replace the faults; ``silent`` and ``cut`` both drop all."""
        self.faults = faults

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        """Take a datagram from a sender."""
        if not self._drops(Direction.TO_TARGET):
            asyncio.ensure_future(self._send_on(data, sender))

    def return_to(self, sender: tuple[str, int], data: bytes) -> None:
        """Pass the target's datagram back to a sender."""
        if self._drops(Direction.FROM_TARGET):
            return
        delay_s = self.faults.delay_ms / 1000
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._transport.sendto, data, sender)

    def _drops(self, direction: Direction) -> bool:
        faults = self.faults
        return faults.cut or faults.silent or faults.lose is direction

    async def _send_on(self, data: bytes, sender: tuple[str, int]) -> None:
        await asyncio.sleep(self.faults.delay_ms / 1000)
        upstream = self._upstream_by_sender.get(sender)
        if upstream is None:
            loop = asyncio.get_running_loop()
            upstream, _ = await loop.create_datagram_endpoint(
                lambda: _UdpReturn(self, sender),
                remote_addr=split_address(self.config.target),
            )
            self._upstream_by_sender[sender] = upstream
        upstream.sendto(data)
        self.record.datagrams += 1


class _UdpReturn(asyncio.DatagramProtocol):
    """The socket towards the target on behalf of one sender."""

    def __init__(self, route: UdpRoute, sender: tuple[str, int]) -> None:
        self._route = route
        self._sender = sender

    def datagram_received(self, data: bytes, address: tuple) -> None:
        self._route.return_to(self._sender, data)
