"""Reads the state of a TCP connection from the kernel."""

import asyncio
import socket

# The first byte of ``tcp_info`` is the state; these are TCP_CLOSE,
# TCP_CLOSE_WAIT, TCP_LAST_ACK and TCP_CLOSING of the Linux kernel.
ENDED_STATES = frozenset((7, 8, 9, 11))


def has_ended(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed or reset the connection.

    This also tells while received data has not been read; False if the state
    is not known.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return bool(info) and info[0] in ENDED_STATES
