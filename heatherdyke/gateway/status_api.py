"""Serves the readiness check and the metrics page."""

from collections.abc import Callable
from operator import attrgetter

from heatherdyke.gateway.connection_manager import BaseConnectionManager
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.turn_queue import TurnQueue
from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.platform.headers import READY_PATH

METRICS_PATH = b"/metrics"
# Checkers and scrapers are few, and send no bodies.
MAX_CONNECTIONS = 64
MEMORY_BYTES = 2 * 1024 * 1024
LIMITS = ClientLimits(
    max_header_bytes=8192,
    max_body_bytes=4096,
    header_timeout_s=2.0,
    idle_timeout_s=60.0,
)


class StatusApi(BaseConnectionManager):
    """Serves the listener for health checks or the one for metrics.

    Its memory and its turns are its own, so that it answers also while others
    fill theirs.
    """

    max_connections = MAX_CONNECTIONS
    limits = LIMITS
    __slots__ = ("_memory", "_turns", "_responder_by_path")

    def __init__(
        self,
        shared: SharedState,
        responder_by_path: dict[bytes, Callable[[], ClientResponse]],
    ) -> None:
        super().__init__(shared)
        self._memory = MemoryQuota(MEMORY_BYTES)
        self._turns = TurnQueue(shared.loop)
        self._responder_by_path = responder_by_path

    @classmethod
    def for_health(
        cls, shared: SharedState, is_ready: Callable[[], bool]
    ) -> "StatusApi":
        """Return an API that answers 200 while ``is_ready``, else 503."""

        def readiness() -> ClientResponse:
            return ClientResponse(200 if is_ready() else 503)

        return cls(shared, {READY_PATH: readiness})

    @classmethod
    def for_metrics(
        cls, shared: SharedState, render: Callable[[], str]
    ) -> "StatusApi":
        """Return an API that answers with the text from ``render``."""

        def metrics() -> ClientResponse:
            content_type = (b"Content-Type", b"text/plain; version=0.0.4")
            return ClientResponse(200, [content_type], render().encode())

        return cls(shared, {METRICS_PATH: metrics})

    @property
    def memory(self) -> MemoryQuota:
        """Return the quota of this listener."""
        return self._memory

    @property
    def turns(self) -> TurnQueue:
        """Return the queue of this listener."""
        return self._turns

    def close_one(self) -> bool:
        """Close what is silent for longest, be it idle or incomplete.

        A complete request is answered at once, and so is a new check beside
        any number of incomplete requests.
        """
        live = [item for item in self._connections if not item.is_closing]
        if not live:
            return False
        min(live, key=attrgetter("last_active_at")).abort()
        return True

    def handle(self, exchange: Exchange) -> None:
        """Answer by path; 404 for an unknown one."""
        path = exchange.request.target.partition(b"?")[0]
        responder = self._responder_by_path.get(path)
        exchange.answer(
            responder() if responder is not None else ClientResponse(404)
        )
