"""blacksheep applications that share a process, and their routes."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
from blacksheep import Router
from loguru import logger

from heatherdyke.errors import HeatherdykeError
from heatherdyke.net.http_payloads import problem_response

Handler = Callable[[Request], Awaitable[Response]]


@dataclass(frozen=True, slots=True)
class Applications:
    """The HTTP applications for callers, and for peers and operators."""

    callers: Application
    internal: Application


def new_application() -> Application:
    """Create an application with a router of its own.

    blacksheep's default router can serve the first application only.
    """
    return Application(router=Router())


def add_route(
    app: Application, method: str, path: str, handler: Handler
) -> None:
    """Register ``handler`` for ``method`` on ``path``.

    The handler is wrapped in a function, because blacksheep sets attributes
    on handlers, which a bound method does not allow.  An exception that it
    raises is logged and answered with a problem whose run state is
    ``may_have_run``.
    """

    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except Exception:
            logger.exception("{} {} failed", method, path)
            return problem_response(
                HeatherdykeError(
                    "the instance failed to handle the request",
                    "report this as a bug in heatherdyke, with the log",
                )
            )

    app.router.add(method, path, handle)
