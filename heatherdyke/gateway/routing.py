"""Routes, services and route matching (pure)."""

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How requests with a host and a path prefix are served.

    A route has either ``targets`` or ``shards``.  ``rank`` orders routes by
    urgency, 0 first; ``max_attempts`` limits the leafs of one service to
    which one request is sent; ``min_share`` is the smallest share of shards
    in an answer; ``record_limit`` is the number of records in it.  Requests
    go only to leafs in ``home_regions``, to all leafs if it is empty.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    rank: int
    max_attempts: int
    targets: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    record_limit: int = 0
    min_share: float = 0.0
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Service:
    """Settings of all leafs of a service.

    ``connection_limit`` is the number of connections that a leaf accepts from
    all instances together, ``cold_rate`` the requests per second that a cold
    leaf can serve, ``cold_s`` how long a started leaf stays cold.
    """

    name: str
    health_path: str = "/health"
    connection_limit: int = 1
    cold_s: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of a client's request size and time."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the operator's configuration.

    ``unusable_parts`` describes the routes and other parts that could not be
    used, ``unusable_prefixes`` are the hosts and prefixes of such routes.
    """

    version: int
    routes: tuple[Route, ...] = ()
    service_by_name: dict[str, Service] = field(default_factory=dict)
    limits: ClientLimits = field(default_factory=ClientLimits)
    unusable_parts: tuple[str, ...] = ()
    unusable_prefixes: tuple[tuple[str, str], ...] = ()


class RouteTable:
    """Finds a request's route by host and longest path prefix."""

    __slots__ = ("config", "_routes_by_host")

    def __init__(self, config: RoutingConfig) -> None:
        self.config = config
        # None stands for a route that cannot be used.
        self._routes_by_host: dict[str, dict[str, Route | None]] = {}
        for host, prefix in config.unusable_prefixes:
            by_prefix = self._routes_by_host.setdefault(host.lower(), {})
            by_prefix[prefix] = None
        for route in config.routes:
            by_prefix = self._routes_by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route for a ``Host`` header and a path without query.

        Prefixes end in a slash, so only the parts of the path up to one of
        its slashes are looked up.
        """
        by_prefix = self._routes_by_host.get(_host_name(host))
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            prefix = path[: end + 1]
            if prefix in by_prefix:
                return by_prefix[prefix]
            end = path.rfind("/", 0, end)
        return None


class WeightedRoundRobin:
    """Splits a route's requests by weight, evenly over time.

    This is smooth weighted round robin: each request raises every target's
    credit by its weight and goes to the target with the highest credit, whose
    credit is then lowered by the sum of the weights.
    """

    __slots__ = ("_credit_by_service", "_targets")

    def __init__(self) -> None:
        self._targets: tuple[WeightedService, ...] = ()
        self._credit_by_service: dict[str, float] = {}

    def next(self, targets: tuple[WeightedService, ...]) -> str:
        """Return the service of the next request."""
        if len(targets) == 1:
            return targets[0].service
        if targets != self._targets:
            self._targets = targets
            self._credit_by_service = dict.fromkeys(
                (target.service for target in targets), 0.0
            )
        credit = self._credit_by_service
        for target in targets:
            credit[target.service] += target.weight
        chosen = max(targets, key=lambda target: credit[target.service])
        credit[chosen.service] -= sum(target.weight for target in targets)
        return chosen.service


def _host_name(host: str) -> str:
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()
