"""Routes whose handlers are methods, which blacksheep cannot mark itself."""

from collections.abc import Awaitable
from collections.abc import Callable

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

Handler = Callable[[Request], Awaitable[Response]]


def add_route(
    app: Application, method: str, path: str, handler: Handler
) -> None:
    """Serve ``method`` on ``path`` by ``handler``, which may be a method."""

    async def handle(request: Request) -> Response:
        return await handler(request)

    app.router.add(method, path, handle)
