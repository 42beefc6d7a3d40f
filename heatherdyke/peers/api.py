"""The HTTP API that a leaf's home instance serves to other instances."""

from collections.abc import AsyncIterator

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
from blacksheep import StreamedContent

from heatherdyke.codec import encode
from heatherdyke.errors import TransportError
from heatherdyke.leaves.leaf_dispatcher import LeafDispatcher
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import PeerCancel
from heatherdyke.messages import PeerRun
from heatherdyke.messages import PeerRunOutcome
from heatherdyke.messages import PeerSearch
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_payloads import problem_response
from heatherdyke.net.http_payloads import read_message
from heatherdyke.net.http_routes import add_route
from heatherdyke.request_errors import InvalidRequest

NDJSON_TYPE = b"application/x-ndjson"
NO_CONTENT = 204


class PeerApi:
    """Serves groups of leaf searches, their cancellation, and runs."""

    def __init__(self, dispatcher: LeafDispatcher) -> None:
        self._dispatcher = dispatcher

    def add_routes(self, app: Application) -> None:
        """Add the search, run and cancel routes under ``/peer``."""
        add_route(app, "POST", "/peer/search", self._search)
        add_route(app, "POST", "/peer/run", self._run)
        add_route(app, "POST", "/peer/cancel", self._cancel)

    async def _search(self, request: Request) -> Response:
        try:
            group = await read_message(request, PeerSearch)
        except InvalidRequest as error:
            return problem_response(error)

        async def lines() -> AsyncIterator[bytes]:
            async for parts in self._dispatcher.search(group):
                yield encode(parts) + b"\n"

        return Response(200, content=StreamedContent(NDJSON_TYPE, lines))

    async def _run(self, request: Request) -> Response:
        try:
            run_request = await read_message(request, PeerRun)
        except InvalidRequest as error:
            return problem_response(error)
        return json_response(await run_at_home(self._dispatcher, run_request))

    async def _cancel(self, request: Request) -> Response:
        try:
            message = await read_message(request, PeerCancel)
        except InvalidRequest as error:
            return problem_response(error)
        self._dispatcher.cancel(message)
        return Response(NO_CONTENT)


async def run_at_home(
    dispatcher: LeafDispatcher, run_request: PeerRun
) -> PeerRunOutcome:
    """Execute the run request on this home instance; return its outcome."""
    try:
        outcome = await dispatcher.run_once(
            run_request.leaf, run_request.run, run_request.priority
        )
    except TransportError as error:
        return PeerRunOutcome(failure=error.detail, sent=error.sent)
    if isinstance(outcome, LeafRunAnswer):
        return PeerRunOutcome(answer=outcome)
    return PeerRunOutcome(refusal=outcome)
