"""blacksheep applications that can share a process, and their routes."""

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
    """What an instance serves: to callers, and to peers and operators."""

    callers: Application
    internal: Application


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
    An error that it does not handle is logged and answered as a problem
    whose run state is ``may_have_run``.
    """

    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except Exception:
            logger.exception("{} {} failed", method, path)
            return problem_response(
                HeatherdykeError(
                    "the instance failed at the request",
                    "report the instance's log as a fault of heatherdyke",
                )
            )

    app.router.add(method, path, handle)
