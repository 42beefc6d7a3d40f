"""The UDP socket of an instance: datagrams in a queue, datagrams out."""

import asyncio
from dataclasses import dataclass

from heatherdyke.net.address import split_address

MAX_QUEUED_DATAGRAMS = 1024
HEADER_BYTES = 28


@dataclass(frozen=True, slots=True)
class Datagram:
    """What came from ``source``, an address ``host:port``."""

    source: str
    payload: bytes


class UdpEndpoint(asyncio.DatagramProtocol):
    """Owns one socket; counts bytes for the capacity reckoning.

    The counts include the headers of IPv4 and UDP.
    """

    def __init__(self) -> None:
        self.inbox: asyncio.Queue[Datagram] = asyncio.Queue(
            MAX_QUEUED_DATAGRAMS
        )
        self.sent_bytes = 0
        self.received_bytes = 0
        self._transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(cls, address: str) -> "UdpEndpoint":
        """Bind to ``host:port``; raises OSError if the port is taken."""
        loop = asyncio.get_running_loop()
        _, endpoint = await loop.create_datagram_endpoint(
            cls, local_addr=split_address(address)
        )
        return endpoint

    def send(self, address: str, payload: bytes) -> None:
        """Send a datagram, which may be lost."""
        if self._transport is not None:
            self.sent_bytes += len(payload) + HEADER_BYTES
            self._transport.sendto(payload, split_address(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport; asyncio calls this."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Queue a datagram, or drop it if the queue is full."""
        self.received_bytes += len(data) + HEADER_BYTES
        if not self.inbox.full():
            self.inbox.put_nowait(Datagram(f"{addr[0]}:{addr[1]}", data))

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: silence is what counts."""
