"""A UDP socket that queues received datagrams."""

import asyncio
from dataclasses import dataclass

from heatherdyke.net.address import split_address

MAX_QUEUED_DATAGRAMS = 1024
IPV4_UDP_HEADER_BYTES = 28


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram received from ``source``, an address ``host:port``."""

    source: str
    payload: bytes


class UdpEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams, and counts their bytes.

    The counts, which capacity measurements use, include IPv4 and UDP headers.
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
        """Send a datagram; delivery is not guaranteed."""
        if self._transport is not None:
            self.sent_bytes += len(payload) + IPV4_UDP_HEADER_BYTES
            self._transport.sendto(payload, split_address(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport; called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Queue a received datagram, or drop it if the queue is full."""
        self.received_bytes += len(data) + IPV4_UDP_HEADER_BYTES
        if not self.inbox.full():
            self.inbox.put_nowait(Datagram(f"{addr[0]}:{addr[1]}", data))

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: unanswered messages show that a peer is gone."""
