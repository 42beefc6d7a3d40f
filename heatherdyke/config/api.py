"""Serves the active configuration to peers and operators over HTTP."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

from heatherdyke.config.state import ConfigDelta
from heatherdyke.config.state import ConfigDigest
from heatherdyke.config.state import UnreadableSection
from heatherdyke.net.address import split_address
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_routes import add_route


@dataclass(frozen=True, slots=True)
class ConfigStatus:
    """The configuration that is active on one instance, for operators.

    ``platform_age_s`` is the time since the platform last answered a read
    of the configuration, or None if it never did.
    """

    instance: str
    zone: str
    config_version: int
    zones_version: int
    zones_out: list[str]
    version_by_team: dict[str, int] = field(default_factory=dict)
    unreadable: list[UnreadableSection] = field(default_factory=list)
    platform_age_s: float | None = None


class ConfigApi:
    """Handlers of ``/peer/config`` and ``/config/status``.

    ``find_delta`` returns the changes since a digest, or None if there are
    none.  ``on_peer_digest`` receives the address and digest of a peer.
    """

    __slots__ = ("_find_delta", "_on_peer_digest", "_get_status")

    def __init__(
        self,
        find_delta: Callable[[ConfigDigest], ConfigDelta | None],
        on_peer_digest: Callable[[str, ConfigDigest], None],
        get_status: Callable[[], ConfigStatus],
    ) -> None:
        self._find_delta = find_delta
        self._on_peer_digest = on_peer_digest
        self._get_status = get_status

    def add_routes(self, app: Application) -> None:
        """Add both handlers to ``app``."""
        add_route(app, "GET", "/peer/config", self.serve_peer)
        add_route(app, "GET", "/config/status", self.serve_status)

    async def serve_peer(self, request: Request) -> Response:
        """Respond with the changes since the peer's digest, or 204 if none.

        If the request contains the peer's address, the peer's digest is
        passed to ``on_peer_digest``.  Malformed parameters get status 400.
        """
        try:
            digest = ConfigDigest(
                int(_parameter(request, "since", "0")),
                int(_parameter(request, "zones", "0")),
            )
            address = _parameter(request, "address", "")
            if address:
                split_address(address)
        except ValueError:
            return Response(400)
        if address:
            self._on_peer_digest(address, digest)
        delta = self._find_delta(digest)
        return Response(204) if delta is None else json_response(delta)

    async def serve_status(self, request: Request) -> Response:
        """Respond with the ConfigStatus of this instance."""
        return json_response(self._get_status())


def _parameter(request: Request, name: str, default: str) -> str:
    values = request.query.get(name)
    return values[0] if values else default
