"""A proxy that injects network faults between processes, for tests.

Each route listens on one address and forwards to another, over TCP or UDP.
``POST /admin/faults`` on the proxy's admin address sets the faults of
routes; ``GET /admin/record`` returns their counters.
"""

import msgspec

from heatherdyke.codec import decode
from heatherdyke.errors import SettingsError
from heatherdyke.standin.fault_proxy_model import Direction
from heatherdyke.standin.fault_proxy_model import ProxyConfig
from heatherdyke.standin.fault_proxy_model import ProxyFaults
from heatherdyke.standin.fault_proxy_model import ProxyRecord
from heatherdyke.standin.fault_proxy_model import RouteConfig
from heatherdyke.standin.fault_proxy_model import RouteFaults
from heatherdyke.standin.fault_proxy_tcp import TcpRoute
from heatherdyke.standin.fault_proxy_udp import UdpRoute
from heatherdyke.standin.http_server import HttpReply
from heatherdyke.standin.http_server import HttpRequest
from heatherdyke.standin.http_server import HttpServer

__all__ = [
    "Direction",
    "FaultProxy",
    "ProxyConfig",
    "ProxyFaults",
    "RouteConfig",
    "RouteFaults",
]


class FaultProxy:
    """Forwards the routes of a ProxyConfig and injects their faults."""

    def __init__(self, config: ProxyConfig) -> None:
        self._server = HttpServer(config.listen, self._handle)
        self.route_by_name = {
            route.name: UdpRoute(route) if route.udp else TcpRoute(route)
            for route in config.routes
        }

    @property
    def address(self) -> str:
        """Return the ``host:port`` of the admin interface."""
        return self._server.address

    async def start(self) -> None:
        """Listen on every route and on the admin address."""
        for route in self.route_by_name.values():
            await route.start()
        await self._server.start()

    async def stop(self) -> None:
        """Close the admin interface and every route."""
        await self._server.stop()
        for route in self.route_by_name.values():
            await route.stop()

    def set_faults(self, faults: ProxyFaults) -> None:
        """Set the faults of routes; raises SettingsError on an unknown one."""
        unknown = sorted(faults.by_route.keys() - self.route_by_name.keys())
        if unknown:
            raise SettingsError([f"no route is named {n!r}" for n in unknown])
        for name, route_faults in faults.by_route.items():
            self.route_by_name[name].set_faults(route_faults)

    def record(self) -> ProxyRecord:
        """Return the counters of all routes."""
        return ProxyRecord(
            {name: route.record for name, route in self.route_by_name.items()}
        )

    async def _handle(self, request: HttpRequest) -> HttpReply:
        call = f"{request.method} {request.path}"
        if call == "GET /admin/record":
            return HttpReply.from_message(self.record())
        if call != "POST /admin/faults":
            return HttpReply(404)
        try:
            self.set_faults(decode(request.body, ProxyFaults))
        except (msgspec.DecodeError, SettingsError) as error:
            return HttpReply.from_message(str(error), 400)
        return HttpReply(200, b"{}")
