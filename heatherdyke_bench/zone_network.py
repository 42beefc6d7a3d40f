"""Fault-proxy routes between processes, and partitions of a zone.

Instances of a zone listen on, and connect from, the zone's loopback host, so
that the proxy can tell on which side of a partition a client is.
"""

from heatherdyke.standin.fault_proxy_model import Direction
from heatherdyke.standin.fault_proxy_model import ProxyConfig
from heatherdyke.standin.fault_proxy_model import ProxyFaults
from heatherdyke.standin.fault_proxy_model import RouteConfig
from heatherdyke.standin.fault_proxy_model import RouteFaults
from heatherdyke.standin.free_address import free_address
from heatherdyke_bench.deployments import Deployment

NO_ZONE = ""


class ZoneNetwork:
    """The proxy routes to the instances, the leaves and the platform."""

    def __init__(self, deployment: Deployment, proxied: bool) -> None:
        self.proxied = proxied
        self._deployment = deployment
        self._zone_by_leaf = {p.leaf: p.zone for p in deployment.profiles()}
        self._route_by_name: dict[str, RouteConfig] = {}
        self._zone_by_route: dict[str, str] = {}

    def host_of_zone(self, zone: str) -> str:
        """Return the loopback host of a zone's instances."""
        return f"127.0.{self._deployment.zones.index(zone) + 1}.1"

    def route_instance(self, name: str, address: str) -> str:
        """Return the address at which others reach an instance."""
        zone = self._deployment.zone_by_instance[name]
        listen = self._add_route(name, zone, address)
        if self.proxied:
            udp = RouteConfig(f"{name}/udp", listen, address, udp=True)
            self._route_by_name[udp.name] = udp
            self._zone_by_route[udp.name] = zone
        return listen

    def route_leaf(self, leaf: str, address: str) -> None:
        """Add a route to a leaf."""
        self._add_route(leaf, self._zone_by_leaf[leaf], address)

    def route_platform(self, address: str) -> str:
        """Return the address at which instances reach the platform."""
        return self._add_route("platform", NO_ZONE, address)

    def address_of_leaf(self, leaf: str, address: str) -> str:
        """Return the leaf's address for the configuration."""
        return self._route_by_name[leaf].listen if self.proxied else address

    def config(self) -> ProxyConfig:
        """Return the proxy's start configuration."""
        return ProxyConfig(list(self._route_by_name.values()))

    def partition_zone(self, zone: str) -> ProxyFaults:
        """Return faults that drop all traffic into and out of the zone."""
        zone_hosts = [self.host_of_zone(zone)]
        other_hosts = [
            self.host_of_zone(other)
            for other in self._deployment.zones
            if other != zone
        ]
        return ProxyFaults(
            {
                name: RouteFaults(
                    lose=Direction.BOTH,
                    sources=other_hosts if route_zone == zone else zone_hosts,
                )
                for name, route_zone in self._zone_by_route.items()
            }
        )

    def heal(self) -> ProxyFaults:
        """Return faults that end all partitions."""
        return ProxyFaults(
            {name: RouteFaults() for name in self._route_by_name}
        )

    def _add_route(self, name: str, zone: str, address: str) -> str:
        if not self.proxied:
            return address
        if name not in self._route_by_name:
            route = RouteConfig(name, free_address(), address)
            self._route_by_name[name] = route
            self._zone_by_route[name] = zone
        return self._route_by_name[name].listen
