"""Logs and counts how a search ended."""

from collections.abc import Sequence

from heatherdyke.gateway.events import CLIENT_DISCONNECTED
from heatherdyke.gateway.events import REQUEST_FAILED
from heatherdyke.gateway.events import REQUEST_SERVED
from heatherdyke.gateway.events import SEARCH_PARTIAL
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.timing import is_late


class SearchReport:
    """The log lines and metrics of one search."""

    __slots__ = ("_shared", "_request", "_route")

    def __init__(
        self, shared: SharedState, request: ClientRequest, route: Route
    ) -> None:
        self._shared = shared
        self._request = request
        self._route = route

    def answered(self, extra_sends: int) -> None:
        """Report an answer with all shards."""
        elapsed_s = self._count_answer()
        self._shared.log.record(
            REQUEST_SERVED,
            request_id=self._request.id_text,
            route=self._route.name,
            elapsed_ms=round(elapsed_s * 1000, 1),
            extra_sends=extra_sends,
            late=is_late(elapsed_s, self._route.objective_s),
        )

    def answered_in_part(
        self, missing_count: int, missing: Sequence[str], attempts: int
    ) -> None:
        """Report an answer; ``missing`` describes the shards it lacks."""
        elapsed_s = self._count_answer()
        self._shared.metrics.count("missing_shards", "", missing_count)
        self._shared.log.record(
            SEARCH_PARTIAL,
            request_id=self._request.id_text,
            route=self._route.name,
            missing=missing,
            elapsed_ms=round(elapsed_s * 1000, 1),
            attempts=attempts,
            late=is_late(elapsed_s, self._route.objective_s),
        )

    def failed(self, status: int, why: str, attempts: int) -> None:
        """Report a search without an answer, after it was sent."""
        self._shared.metrics.count("answers", str(status))
        self._shared.isolation.record_request(refused=True)
        self._shared.log.record(
            REQUEST_FAILED,
            request_id=self._request.id_text,
            route=self._route.name,
            status=status,
            why=why,
            elapsed_ms=round(self._elapsed_s() * 1000, 1),
            attempts=attempts,
        )

    def client_left(self) -> None:
        """Report that the client disconnected before the response."""
        self._shared.metrics.count("clients_left", self._route.name)
        self._shared.log.record(
            CLIENT_DISCONNECTED,
            request_id=self._request.id_text,
            route=self._route.name,
            elapsed_ms=round(self._elapsed_s() * 1000, 1),
        )

    def _count_answer(self) -> float:
        """Count an answer; return its time in seconds."""
        elapsed_s = self._elapsed_s()
        shared = self._shared
        shared.metrics.record_latency("search", self._route.name, elapsed_s)
        shared.metrics.count("answers", "200")
        shared.isolation.record_request(refused=False)
        return elapsed_s

    def _elapsed_s(self) -> float:
        return self._shared.loop.time() - self._request.arrived_at
