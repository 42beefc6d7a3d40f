"""Middleware that rejects unauthenticated requests to the peer routes."""

from collections.abc import Awaitable
from collections.abc import Callable

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

from heatherdyke.net.http_payloads import problem_response
from heatherdyke.peers.key import PeerKey
from heatherdyke.request_errors import NotAPeer

PEER_PREFIX = "/peer/"


def require_peer_key(app: Application, key: PeerKey) -> None:
    """Answer requests under ``/peer/`` that lack the peer key with 401."""

    async def check_peer_key(
        request: Request, handler: Callable[[Request], Awaitable[Response]]
    ) -> Response:
        authorization = request.headers.get_first(b"Authorization")
        if request.path.startswith(PEER_PREFIX) and not key.authorizes(
            authorization
        ):
            return problem_response(
                NotAPeer(
                    "the request is not authenticated with the peer key",
                    "configure the same peer key on all instances",
                )
            )
        return await handler(request)

    app.middlewares.append(check_peer_key)
