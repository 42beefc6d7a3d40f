"""Records the events and metrics of searches."""

from collections.abc import Iterable

from heatherdyke.errors import HeatherdykeError
from heatherdyke.messages import PeerSearch
from heatherdyke.messages import SearchAnswer
from heatherdyke.observe.events import CONNECTION_SILENT
from heatherdyke.observe.events import LEAF_COLD
from heatherdyke.observe.events import LEAF_DRAINING
from heatherdyke.observe.events import LEAF_SHED
from heatherdyke.observe.events import PARTS_RECEIVED
from heatherdyke.observe.events import PARTS_SENT
from heatherdyke.observe.events import SEARCH_ANSWERED
from heatherdyke.observe.events import SEARCH_REFUSED
from heatherdyke.observe.events import SNAPSHOT_RESTARTED
from heatherdyke.observe.journal import Journal
from heatherdyke.observe.metrics import Metrics
from heatherdyke.request_errors import RequestError
from heatherdyke.request_errors import RunState


class SearchObserver:
    """Records events and metrics of the search path for operators."""

    __slots__ = ("_journal", "_metrics")

    def __init__(self, journal: Journal, metrics: Metrics) -> None:
        self._journal = journal
        self._metrics = metrics

    def stamp(self) -> str:
        """Return the timestamp to send with a message to a peer."""
        return self._journal.stamp()

    def observe_clock(self, stamp: str) -> None:
        """Advance the clock by the timestamp of a message from a peer."""
        self._journal.observe(stamp)

    def answered(self, team: str, urgency: str, answer: SearchAnswer) -> None:
        """Record an answer to a caller."""
        missing = len(answer.coverage.missing)
        self._metrics.record_latency(
            "search", urgency, answer.elapsed_ms / 1000
        )
        self._metrics.count("answers", team)
        self._metrics.count("leaf_searches", team, answer.cost)
        if missing:
            self._metrics.count("partial_answers", urgency)
        self._journal.record(
            SEARCH_ANSWERED,
            request_id=answer.request_id,
            team=team,
            urgency=urgency,
            snapshot=answer.snapshot,
            coverage=round(answer.coverage_share, 4),
            missing=missing,
            cost=answer.cost,
            elapsed_ms=round(answer.elapsed_ms, 3),
        )

    def refused(
        self, request_id: str, team: str, error: HeatherdykeError
    ) -> None:
        """Record a search that ended without an answer."""
        run_state = RunState.MAY_HAVE_RUN
        if isinstance(error, RequestError):
            run_state = error.run_state
        self._metrics.count("refusals", error.kind)
        self._journal.record(
            SEARCH_REFUSED,
            request_id=request_id,
            team=team,
            kind=error.kind,
            run_state=run_state.value,
            detail=error.detail,
        )

    def parts_sent(
        self, message: PeerSearch, home: str, repeated: bool
    ) -> None:
        """Record parts sent to a home; ``repeated`` for hedges and retries."""
        count = len(message.parts)
        self._metrics.count(
            "parts", "repeated" if repeated else "first", count
        )
        self._journal.record(
            PARTS_SENT,
            request_id=message.request_id,
            home=home,
            leaves=_leaves(message),
            repeated=repeated,
        )

    def parts_received(self, message: PeerSearch) -> None:
        """Record parts that a peer sent to this home."""
        self._journal.record(
            PARTS_RECEIVED,
            request_id=message.request_id,
            origin=message.origin,
            leaves=_leaves(message),
        )

    def restarted(self, request_id: str, snapshot: int) -> None:
        """Record that a search restarts at a newer snapshot."""
        self._journal.record(
            SNAPSHOT_RESTARTED, request_id=request_id, snapshot=snapshot
        )

    def leaf_answered(self, leaf: str, took_s: float) -> None:
        """Record the time that a leaf took for a search."""
        self._metrics.record_latency("leaf_search", leaf, took_s)

    def leaf_cold(self, leaf: str, zone: str, cause: str) -> None:
        """Record that a leaf's limit was reset to that of a cold leaf."""
        self._metrics.count("leaf_cold_starts", leaf)
        self._journal.record(LEAF_COLD, leaf=leaf, zone=zone, cause=cause)

    def leaf_shed(self, leaf: str, zone: str, limit: int) -> None:
        """Record that a leaf refused work because of its load."""
        self._metrics.count("leaf_sheds", leaf)
        self._journal.record(LEAF_SHED, leaf=leaf, zone=zone, limit=limit)

    def leaf_draining(self, leaf: str, zone: str) -> None:
        """Record that a leaf is draining."""
        self._journal.record(LEAF_DRAINING, leaf=leaf, zone=zone)

    def connection_silent(self, leaf: str, zone: str, request_id: str) -> None:
        """Record a connection that made no progress."""
        self._metrics.count("silent_connections", leaf)
        self._journal.record(
            CONNECTION_SILENT, leaf=leaf, zone=zone, request_id=request_id
        )


def _leaves(message: PeerSearch) -> list[str]:
    return _sorted_once(part.leaf for part in message.parts)


def _sorted_once(names: Iterable[str]) -> list[str]:
    return sorted(set(names))
