"""TCP keep-alive probes, which find connections that went silent."""

import socket
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeepAliveOptions:
    """When the kernel probes an idle connection and gives it up."""

    idle_s: int
    interval_s: int
    probes: int

    def apply(self, sock: socket.socket) -> None:
        """Set the socket's options."""
        level = socket.IPPROTO_TCP
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(level, socket.TCP_KEEPIDLE, self.idle_s)
        sock.setsockopt(level, socket.TCP_KEEPINTVL, self.interval_s)
        sock.setsockopt(level, socket.TCP_KEEPCNT, self.probes)
