"""The configuration, faults and counters of the fault proxy."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


class Direction(Enum):
    """The direction of bytes through a route."""

    TO_TARGET = "to_target"
    FROM_TARGET = "from_target"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One route: its listen address, its target and its protocol."""

    name: str
    listen: str
    target: str
    udp: bool = False


@dataclass(frozen=True, slots=True)
class ProxyConfig:
    """The proxy's routes and its admin address."""

    routes: list[RouteConfig]
    listen: str = "127.0.0.1:0"


@dataclass(frozen=True, slots=True)
class RouteFaults:
    """The faults of one route, which replace its previous faults.

    ``cut`` closes all open connections, and new ones on accept.  ``lose``
    is the direction whose bytes are dropped; a TCP connection that lost
    bytes forwards nothing more, in either direction.  ``silent`` stops
    forwarding on the open connections for good, without closing them,
    while new connections work.  On a UDP route, ``cut`` and ``silent`` drop
    all datagrams.  ``cross`` is the number of pairs of open connections that
    swap the next bytes from the target.  The faults apply only to clients
    whose IP address begins, as text, with one of ``sources``, or to all
    clients if it is empty.
    """

    delay_ms: float = 0.0
    cut: bool = False
    lose: Direction | None = None
    silent: bool = False
    cross: int = 0
    sources: list[str] = field(default_factory=list)

    def applies_to(self, client_ip: str) -> bool:
        """Tell whether the faults apply to a client with that address."""
        if not self.sources:
            return True
        return any(client_ip.startswith(prefix) for prefix in self.sources)

    def drops_bytes(self, client_ip: str, direction: Direction) -> bool:
        """Tell whether the client's bytes in that direction are dropped."""
        lost = self.lose in (direction, Direction.BOTH)
        return lost and self.applies_to(client_ip)


@dataclass(frozen=True, slots=True)
class ProxyFaults:
    """New faults by route name; other routes keep theirs."""

    by_route: dict[str, RouteFaults]


@dataclass(slots=True)
class RouteRecord:
    """The counters of one route.

    ``refused`` counts connections closed on accept, because of ``cut`` or
    because the target is unreachable.
    """

    connections: int = 0
    connections_now: int = 0
    refused: int = 0
    bytes_passed: int = 0
    datagrams: int = 0


@dataclass(frozen=True, slots=True)
class ProxyRecord:
    """The counters of all routes, by route name."""

    by_route: dict[str, RouteRecord] = field(default_factory=dict)
