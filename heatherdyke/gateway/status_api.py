"""Serves the readiness check and the metrics page."""

from collections.abc import Callable

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.inbound_connection import InboundConnection
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.net.memory_quota import MemoryQuota
from heatherdyke.net.memory_quota import Source
from heatherdyke.platform.headers import READY_PATH

METRICS_PATH = b"/metrics"


class StatusApi:
    """Serves the listener for health checks or the one for metrics."""

    source = Source.CLIENT
    __slots__ = ("memory", "_now", "_responder_by_path")

    def __init__(
        self,
        now: Callable[[], float],
        responder_by_path: dict[bytes, Callable[[], ClientResponse]],
    ) -> None:
        # Its own, so that it answers also while messages fill the memory.
        self.memory = MemoryQuota()
        self._now = now
        self._responder_by_path = responder_by_path

    @classmethod
    def for_health(
        cls, now: Callable[[], float], is_ready: Callable[[], bool]
    ) -> "StatusApi":
        """Return an API that answers 200 while ``is_ready``, else 503."""

        def readiness() -> ClientResponse:
            return ClientResponse(200 if is_ready() else 503)

        return cls(now, {READY_PATH: readiness})

    @classmethod
    def for_metrics(
        cls, now: Callable[[], float], render: Callable[[], str]
    ) -> "StatusApi":
        """Return an API that answers with the text from ``render``."""

        def metrics() -> ClientResponse:
            content_type = (b"Content-Type", b"text/plain; version=0.0.4")
            return ClientResponse(200, [content_type], render().encode())

        return cls(now, {METRICS_PATH: metrics})

    @property
    def limits(self) -> ClientLimits:
        """Return the default limits."""
        return ClientLimits()

    @property
    def is_draining(self) -> bool:
        """Return False, as connections are kept open."""
        return False

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._now()

    def connection_opened(self, connection: InboundConnection) -> None:
        """Do nothing; connections are not tracked."""

    def connection_closed(self, connection: InboundConnection) -> None:
        """Do nothing; connections are not tracked."""

    def handle(self, exchange: Exchange) -> None:
        """Answer by path; 404 for an unknown one."""
        path = exchange.request.target.partition(b"?")[0]
        responder = self._responder_by_path.get(path)
        exchange.answer(
            responder() if responder is not None else ClientResponse(404)
        )
