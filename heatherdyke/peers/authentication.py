"""Turns away those that ask an instance's routes for peers and are none."""

from collections.abc import Awaitable
from collections.abc import Callable

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

from heatherdyke.errors import NotAPeer
from heatherdyke.net.http_support import problem_response
from heatherdyke.peers.key import PeerKey

PEER_PREFIX = "/peer/"


def require_peer_key(app: Application, key: PeerKey) -> None:
    """Answer 401 to requests under ``/peer/`` without the peer key."""

    async def check_peer_key(
        request: Request, handler: Callable[[Request], Awaitable[Response]]
    ) -> Response:
        authorization = request.headers.get_first(b"Authorization")
        if request.path.startswith(PEER_PREFIX) and not key.authorizes(
            authorization
        ):
            return problem_response(
                NotAPeer(
                    "the request does not prove that an instance sent it",
                    "give all instances the same peer key",
                )
            )
        return await handler(request)

    app.middlewares.append(check_peer_key)
