"""blacksheep applications that can share a process, and their routes."""

from collections.abc import Awaitable
from collections.abc import Callable

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
from blacksheep import Router

Handler = Callable[[Request], Awaitable[Response]]


def new_application() -> Application:
    """Return an application with a router of its own.

    blacksheep's default router belongs to the first application only.
    """
    return Application(router=Router())


def add_route(
    app: Application, method: str, path: str, handler: Handler
) -> None:
    """Serve ``method`` on ``path`` by ``handler``.

    The handler may be a bound method, which blacksheep cannot mark itself.
    """

    async def handle(request: Request) -> Response:
        return await handler(request)

    app.router.add(method, path, handle)
