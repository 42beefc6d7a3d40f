"""Turns away those that ask an instance's routes for peers and are none."""

from collections.abc import Awaitable
from collections.abc import Callable

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

from heatherdyke.errors import NotAPeer
from heatherdyke.net.http_payloads import problem_response
from heatherdyke.peers.key import PeerKey

PEER_PREFIX = "/peer/"


def guard_peer_routes(app: Application, key: PeerKey) -> None:
    """Answer 401 to requests under ``/peer/`` without the peer key."""

    async def guard(
        request: Request, handler: Callable[[Request], Awaitable[Response]]
    ) -> Response:
        proof = request.headers.get_first(b"Authorization")
        if request.path.startswith(PEER_PREFIX) and not key.proves(proof):
            return problem_response(
                NotAPeer(
                    "the request does not prove that an instance sent it",
                    "give all instances the same peer key",
                )
            )
        return await handler(request)

    app.middlewares.append(guard)
