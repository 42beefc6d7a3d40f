"""The typed configuration, faults and record of the fault proxy."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


class Direction(Enum):
    """Which way bytes go through a route."""

    TO_TARGET = "to_target"
    FROM_TARGET = "from_target"
    BOTH = "both"


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
    names the direction whose bytes vanish; a connection that lost some
    stays silent for good.  ``silent`` stops the open
    connections for good while new ones work.  ``cross`` swaps what the
    target sends next on two open connections, that many times.  The faults
    touch only clients whose IP number begins with one of ``sources``, if
    any is given.
    """

    delay_ms: float = 0.0
    cut: bool = False
    lose: Direction | None = None
    silent: bool = False
    cross: int = 0
    sources: list[str] = field(default_factory=list)

    def touch(self, client: str) -> bool:
        """Tell whether the faults apply to the client's IP number."""
        if not self.sources:
            return True
        return any(client.startswith(prefix) for prefix in self.sources)

    def lose_bytes(self, client: str, direction: Direction) -> bool:
        """Tell whether the client's bytes of that direction vanish."""
        lost = self.lose in (direction, Direction.BOTH)
        return lost and self.touch(client)


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
