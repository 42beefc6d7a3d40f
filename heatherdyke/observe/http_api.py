"""HTTP API through which operators observe an instance.

``/events`` serves the journal, ``/stats`` encoded histograms and counters,
``/metrics`` the same series in Prometheus' text format, ``/healthz``
liveness, ``/readyz`` readiness and ``/members`` the instances in this
instance's membership view.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from blacksheep import Content
from blacksheep import Request
from blacksheep import Response

from heatherdyke.clock import Clock
from heatherdyke.codec import encode
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import add_route
from heatherdyke.observe.events import LOOP_STALLED
from heatherdyke.observe.events import READINESS_CHANGED
from heatherdyke.observe.health import HealthState
from heatherdyke.observe.health import Readiness
from heatherdyke.observe.health import check_liveness
from heatherdyke.observe.health import check_readiness
from heatherdyke.observe.journal import RING_CAPACITY
from heatherdyke.observe.journal import Journal
from heatherdyke.observe.metrics import Metrics
from heatherdyke.observe.metrics import StatsPage
from heatherdyke.observe.prometheus_text import CONTENT_TYPE
from heatherdyke.observe.prometheus_text import render_metrics

LOOP_CHECK_INTERVAL_S = 0.25
STALL_THRESHOLD_S = 1.0
JSON_TYPE = b"application/json"


@dataclass(frozen=True, slots=True)
class KnownInstance:
    """An instance that another one lists, with its ``host:port``."""

    name: str
    zone: str
    address: str


class ObservabilityApi:
    """Serves the journal, metrics and health of one instance.

    It also monitors the event loop for stalls and records changes of
    readiness.
    """

    __slots__ = (
        "_journal",
        "_metrics",
        "_get_health",
        "_list_members",
        "_clock",
        "_last_loop_run_at",
        "_readiness",
    )

    def __init__(
        self,
        journal: Journal,
        metrics: Metrics,
        get_health: Callable[[], HealthState],
        list_members: Callable[[], list[KnownInstance]],
        clock: Clock | None = None,
    ) -> None:
        self._journal = journal
        self._metrics = metrics
        self._get_health = get_health
        self._list_members = list_members
        self._clock = clock or Clock()
        self._last_loop_run_at = self._clock.now()
        self._readiness: Readiness | None = None

    def add_routes(self, apps: Applications) -> None:
        """Register the routes listed in the module docstring."""
        handler_by_path = {
            "/events": self._serve_events,
            "/stats": self._serve_stats,
            "/metrics": self._serve_metrics,
            "/healthz": self._serve_liveness,
            "/readyz": self._serve_readiness,
            "/members": self._serve_members,
        }
        for path, handler in handler_by_path.items():
            add_route(apps.internal, "GET", path, handler)

    async def run(self) -> None:
        """Measure event loop lag and record readiness until cancelled."""
        while True:
            self._record_readiness()
            self._last_loop_run_at = self._clock.now()
            await asyncio.sleep(LOOP_CHECK_INTERVAL_S)
            lag_s = (
                self._clock.now()
                - self._last_loop_run_at
                - LOOP_CHECK_INTERVAL_S
            )
            self._metrics.record_latency("loop_lag", "", max(0.0, lag_s))
            if lag_s > STALL_THRESHOLD_S:
                self._journal.record(LOOP_STALLED, stall_s=round(lag_s, 3))

    async def stop(self) -> None:
        """Do nothing; the routes are served until the server stops."""

    def _record_readiness(self) -> None:
        readiness = check_readiness(self._get_health())
        if readiness != self._readiness:
            self._readiness = readiness
            self._journal.record(
                READINESS_CHANGED,
                ready=readiness.ready,
                reasons=readiness.reasons,
            )

    async def _serve_events(self, request: Request) -> Response:
        try:
            after = _integer_parameter(request, "after", 0)
            limit = _integer_parameter(request, "limit", 2 * RING_CAPACITY)
        except ValueError as error:
            return Response(
                400, content=Content(b"text/plain", _error_text(error))
            )
        return _json(200, self._journal.read(after, limit))

    async def _serve_stats(self, request: Request) -> Response:
        return _json(200, self._stats())

    async def _serve_metrics(self, request: Request) -> Response:
        text = render_metrics(self._stats()).encode()
        return Response(200, content=Content(CONTENT_TYPE, text))

    async def _serve_liveness(self, request: Request) -> Response:
        liveness = check_liveness(self._last_loop_run_at, self._clock.now())
        return _json(200 if liveness.live else 503, liveness)

    async def _serve_readiness(self, request: Request) -> Response:
        readiness = check_readiness(self._get_health())
        return _json(200 if readiness.ready else 503, readiness)

    async def _serve_members(self, request: Request) -> Response:
        return _json(200, self._list_members())

    def _stats(self) -> StatsPage:
        journal = self._journal
        return self._metrics.read(
            journal.instance, journal.zone, journal.incarnation
        )


def _integer_parameter(request: Request, name: str, default: int) -> int:
    values = request.query.get(name)
    if not values:
        return default
    if not values[0].isdecimal():
        raise ValueError(f"{name}={values[0]!r} is not a non-negative integer")
    return int(values[0])


def _error_text(error: ValueError) -> bytes:
    return f"{error}: give an integer of at least 0\n".encode()


def _json(status: int, message: Any) -> Response:
    return Response(status, content=Content(JSON_TYPE, encode(message)))
