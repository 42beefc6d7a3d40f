"""Forwards the datagrams of one route and injects its faults."""

import asyncio

from heatherdyke.net.address import split_address
from heatherdyke.standin.fault_proxy_model import Direction
from heatherdyke.standin.fault_proxy_model import RouteConfig
from heatherdyke.standin.fault_proxy_model import RouteFaults
from heatherdyke.standin.fault_proxy_model import RouteRecord


class UdpRoute(asyncio.DatagramProtocol):
    """Forwards datagrams to the target over one socket per sender."""

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
        """Listen; port 0 lets the system choose one."""
        host, _, port = self.config.listen.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        bound_port = self._transport.get_extra_info("sockname")[1]
        self.address = f"{host}:{bound_port}"

    async def stop(self) -> None:
        """Close every socket that was opened."""
        if self._transport is not None:
            self._transport.close()
        for upstream in self._upstream_by_sender.values():
            upstream.close()

    def set_faults(self, faults: RouteFaults) -> None:
        """Replace the faults; ``silent`` and ``cut`` drop all datagrams."""
        self.faults = faults

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        """Forward a sender's datagram to the target."""
        if not self._drops(sender, Direction.TO_TARGET):
            asyncio.ensure_future(self._forward(data, sender))

    def send_to_client(self, sender: tuple[str, int], data: bytes) -> None:
        """Send the target's datagram back to its sender."""
        if self._drops(sender, Direction.FROM_TARGET):
            return
        delay_s = self.faults.delay_ms / 1000
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._transport.sendto, data, sender)

    def _drops(self, sender: tuple[str, int], direction: Direction) -> bool:
        faults = self.faults
        drops_all = faults.cut or faults.silent
        if drops_all and faults.applies_to(sender[0]):
            return True
        return faults.drops_bytes(sender[0], direction)

    async def _forward(self, data: bytes, sender: tuple[str, int]) -> None:
        await asyncio.sleep(self.faults.delay_ms / 1000)
        upstream = self._upstream_by_sender.get(sender)
        if upstream is None:
            loop = asyncio.get_running_loop()
            upstream, _ = await loop.create_datagram_endpoint(
                lambda: _UpstreamProtocol(self, sender),
                remote_addr=split_address(self.config.target),
            )
            self._upstream_by_sender[sender] = upstream
        upstream.sendto(data)
        self.record.datagrams += 1


class _UpstreamProtocol(asyncio.DatagramProtocol):
    """Receives the target's datagrams for one sender."""

    def __init__(self, route: UdpRoute, sender: tuple[str, int]) -> None:
        self._route = route
        self._sender = sender

    def datagram_received(self, data: bytes, address: tuple) -> None:
        self._route.send_to_client(self._sender, data)
