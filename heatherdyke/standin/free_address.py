"""Loopback addresses on which processes of a fleet will listen later.

An address is named in settings before its process listens on it, so that it
has to stay free until then.  Ports are parted into ranges.  A process that
needs addresses reserves a range: it keeps the range's first port bound for
as long as it runs.  It gives out the other ports in order.
"""

import errno
import os
import socket
from collections import deque
from collections.abc import Iterator
from random import sample
from socket import SOCK_DGRAM

# The end is below Linux's ephemeral ports: an outgoing connection could
# take one of those before a process listens on it.
FIRST_PORT = 12000
LAST_PORT = 32000
RANGE_PORTS = 500
RANGES_PER_PROCESS = 4

LOOPBACK = "127.0.0.1"


class PortRanges:
    """Gives out the ports of the ranges that this process has reserved."""

    def __init__(self) -> None:
        self._reservations: deque[socket.socket] = deque()
        self._ports: Iterator[int] = iter(())

    def next_port(self) -> int:
        """Return the port that was given out longest ago, or never.

        Raises OSError if other processes have reserved all ranges.
        """
        port = next(self._ports, None)
        if port is None:
            self._ports = iter(self._next_range())
            port = next(self._ports)
        return port

    def _next_range(self) -> range:
        reservation = None
        if len(self._reservations) < RANGES_PER_PROCESS:
            reservation = reserve_range()
        if reservation is None and not self._reservations:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        reservation = reservation or self._reservations.popleft()
        self._reservations.append(reservation)
        return ports_of(reservation)


def free_address(host: str = LOOPBACK) -> str:
    """Return an address whose TCP and UDP ports are free.

    Raises OSError if other processes have reserved all ranges.
    """
    while True:
        port = _port_ranges.next_port()
        if is_free(host, port):
            return f"{host}:{port}"


def free_port() -> int:
    """Return a port that is free on the loopback address."""
    return int(free_address().rpartition(":")[2])


def reserve_range() -> socket.socket | None:
    """Return a socket bound to a range's first port, or None."""
    first_ports = range(FIRST_PORT, LAST_PORT, RANGE_PORTS)
    for port in sample(first_ports, len(first_ports)):
        reservation = socket.socket()
        try:
            reservation.bind((LOOPBACK, port))
        except OSError:
            reservation.close()
            continue
        return reservation
    return None


def ports_of(reservation: socket.socket) -> range:
    """Return the ports of a range but for the one that reserves it."""
    first_port = reservation.getsockname()[1]
    return range(first_port + 1, first_port + RANGE_PORTS)


def is_free(host: str, port: int) -> bool:
    """Return whether no socket is bound to the port, over TCP or UDP."""
    with socket.socket() as tcp, socket.socket(type=SOCK_DGRAM) as udp:
        try:
            tcp.bind((host, port))
            udp.bind((host, port))
        except OSError:
            return False
        return True


_port_ranges = PortRanges()
