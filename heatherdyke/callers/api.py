"""The HTTP API for callers: searches with JSON bodies."""

from uuid import uuid4

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

from heatherdyke.callers.authentication import CallerAuthenticator
from heatherdyke.component import ConfigView
from heatherdyke.errors import HeatherdykeError
from heatherdyke.messages import SearchRequest
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_payloads import problem_response
from heatherdyke.net.http_payloads import read_message
from heatherdyke.net.http_routes import add_route
from heatherdyke.search.coordinator import SearchCoordinator
from heatherdyke.search.observer import SearchObserver
from heatherdyke.search.request_tracker import RequestTracker


class CallerApi:
    """Serves ``POST /search`` to the teams' callers."""

    def __init__(
        self,
        search_coordinator: SearchCoordinator,
        config: ConfigView,
        active_requests: RequestTracker,
        observer: SearchObserver,
    ) -> None:
        self._search_coordinator = search_coordinator
        self._active_requests = active_requests
        self._observer = observer
        self._authenticator = CallerAuthenticator(config)

    def add_routes(self, app: Application) -> None:
        """Add the ``/search`` route."""
        add_route(app, "POST", "/search", self._search)

    async def _search(self, request: Request) -> Response:
        request_id = uuid4().hex
        team = ""
        try:
            with self._active_requests.admit():
                team = self._authenticator.find_team(request)
                message = await read_message(request, SearchRequest)
                answer = await self._search_coordinator.search(
                    team, message, request_id
                )
        except HeatherdykeError as error:
            self._observer.refused(request_id, team, error)
            return problem_response(error, request_id)
        self._observer.answered(team, message.urgency, answer)
        return json_response(answer)
