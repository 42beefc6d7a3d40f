"""The routes that other instances call on a home."""

from collections.abc import AsyncIterator

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
from blacksheep import StreamedContent

from heatherdyke.codec import encode
from heatherdyke.errors import InvalidRequest
from heatherdyke.errors import TransportError
from heatherdyke.leaves.home import Home
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import PeerCancel
from heatherdyke.messages import PeerRun
from heatherdyke.messages import PeerRunOutcome
from heatherdyke.messages import PeerSearch
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_payloads import problem_response
from heatherdyke.net.http_payloads import read_message
from heatherdyke.net.http_routes import add_route

LINES_TYPE = b"application/x-ndjson"
NO_CONTENT = 204


class PeerApi:
    """Serves groups of parts, runs and cancellations to peers."""

    def __init__(self, home: Home) -> None:
        self._home = home

    def add_routes(self, app: Application) -> None:
        """Add the routes under ``/peer``."""
        add_route(app, "POST", "/peer/search", self._search)
        add_route(app, "POST", "/peer/run", self._run)
        add_route(app, "POST", "/peer/cancel", self._cancel)

    async def _search(self, request: Request) -> Response:
        try:
            group = await read_message(request, PeerSearch)
        except InvalidRequest as error:
            return problem_response(error)

        async def lines() -> AsyncIterator[bytes]:
            async for parts in self._home.search(group):
                yield encode(parts) + b"\n"

        return Response(200, content=StreamedContent(LINES_TYPE, lines))

    async def _run(self, request: Request) -> Response:
        try:
            question = await read_message(request, PeerRun)
        except InvalidRequest as error:
            return problem_response(error)
        return json_response(await run_at_home(self._home, question))

    async def _cancel(self, request: Request) -> Response:
        try:
            message = await read_message(request, PeerCancel)
        except InvalidRequest as error:
            return problem_response(error)
        self._home.cancel(message)
        return Response(NO_CONTENT)


async def run_at_home(home: Home, question: PeerRun) -> PeerRunOutcome:
    """Run the question at this home and return how it ended."""
    try:
        outcome = await home.run_once(
            question.leaf, question.run, question.priority
        )
    except TransportError as error:
        return PeerRunOutcome(failure=error.detail, sent=error.sent)
    if isinstance(outcome, LeafRunAnswer):
        return PeerRunOutcome(answer=outcome)
    return PeerRunOutcome(refusal=outcome)
