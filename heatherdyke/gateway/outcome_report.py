"""Logs and counts how a client's request ended."""

from collections.abc import Sequence

from heatherdyke.gateway.events import CLIENT_DISCONNECTED
from heatherdyke.gateway.events import REQUEST_FAILED
from heatherdyke.gateway.events import REQUEST_SERVED
from heatherdyke.gateway.events import SEARCH_PARTIAL
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.timing import is_late


class OutcomeReport:
    """The log lines and metrics of one request that was sent.

    ``kind`` labels its latency: "search" or "forward".
    """

    __slots__ = ("_shared", "_request", "_route", "_kind", "_version")

    def __init__(
        self,
        shared: SharedState,
        request: ClientRequest,
        route: Route,
        kind: str,
    ) -> None:
        self._shared = shared
        self._request = request
        self._route = route
        self._kind = kind
        # The one that was active when the request was routed.
        self._version = shared.config_version

    def answered(self, extra_sends: int) -> None:
        """Report a complete answer."""
        elapsed_s = self._count_answer()
        self._shared.log.record(
            REQUEST_SERVED,
            request_id=self._request.id_text,
            route=self._route.name,
            elapsed_ms=round(elapsed_s * 1000, 1),
            extra_sends=extra_sends,
            late=is_late(elapsed_s, self._route.objective_s),
            version=self._version,
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
            version=self._version,
        )

    def failed(self, status: int, why: str, attempts: int) -> None:
        """Report a request without an answer."""
        self._shared.metrics.count("answers", str(status))
        self._shared.log.record(
            REQUEST_FAILED,
            request_id=self._request.id_text,
            route=self._route.name,
            status=status,
            why=why,
            elapsed_ms=round(self._elapsed_s() * 1000, 1),
            attempts=attempts,
            version=self._version,
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
        metrics = self._shared.metrics
        metrics.record_latency(self._kind, self._route.name, elapsed_s)
        metrics.count("answers", "200")
        return elapsed_s

    def _elapsed_s(self) -> float:
        return self._shared.loop.time() - self._request.arrived_at
