"""TCP keep-alive probes, which detect silent connections."""

import socket
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeepAliveOptions:
    """When the kernel probes an idle connection and when it closes it."""

    idle_s: int
    interval_s: int
    probes: int

    def apply(self, sock: socket.socket) -> None:
        """Set the options on a socket."""
        level = socket.IPPROTO_TCP
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(level, socket.TCP_KEEPIDLE, self.idle_s)
        sock.setsockopt(level, socket.TCP_KEEPINTVL, self.interval_s)
        sock.setsockopt(level, socket.TCP_KEEPCNT, self.probes)
