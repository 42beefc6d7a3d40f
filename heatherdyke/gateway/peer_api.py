"""Serves other instances: asks for a group of shards and merges the parts."""

import asyncio
from collections.abc import Callable

import msgspec

from heatherdyke.gateway.connection_owner import ConnectionOwner
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.messages import Answer
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.part_collector import PartCollector
from heatherdyke.gateway.peer_messages import HEALTH_PATH
from heatherdyke.gateway.peer_messages import PATH
from heatherdyke.gateway.peer_messages import REST_PATH
from heatherdyke.gateway.peer_messages import GroupRequest
from heatherdyke.gateway.peer_messages import GroupResult
from heatherdyke.gateway.peer_messages import decode_request
from heatherdyke.gateway.peer_messages import decode_rest
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_messages import route_of
from heatherdyke.gateway.record_merge import top_records
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.gateway.search_progress import Decision
from heatherdyke.gateway.search_progress import SearchProgress
from heatherdyke.gateway.shard_search import ShardSearch
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.platform.headers import LEAF_ID

PEER_LIMITS = ClientLimits(
    max_body_bytes=4_194_304, idle_timeout_s=60.0, header_timeout_s=3.0
)


# An instance that lacks a leaf for a larger share of the shards declines.
MOST_LACKING = 0.1
# How long an open search waits to be asked for its rest.
REST_WAIT_S = 0.1


class GroupSearch:
    """One group's search, for another instance."""

    __slots__ = (
        "key",
        "_shared",
        "_exchange",
        "_message",
        "_collector",
        "_search",
        "_reported",
        "_on_open",
        "_timer",
    )

    def __init__(
        self,
        shared: SharedState,
        exchange: Exchange,
        message: GroupRequest,
        on_open: Callable[["GroupSearch", bool], None],
    ) -> None:
        self.key = (message.request_id, message.shards[0])
        self._shared = shared
        self._exchange: Exchange | None = exchange
        self._reported = 0
        self._on_open = on_open
        self._timer: asyncio.TimerHandle | None = None
        self._message = message
        now = shared.loop.time()
        progress = SearchProgress(
            shard_count=len(message.shards),
            min_share=message.min_share,
            answer_at=now + message.due_s,
            deadline_at=now + message.limit_s,
            is_group=True,
        )
        self._collector = PartCollector(shared.loop, progress, self._end)
        request = ClientRequest(
            method=message.method,
            target=message.target,
            headers=message.headers,
            body=message.body,
            host="",
            request_id=message.request_id,
            wait_s=message.limit_s,
            arrived_at=now,
        )
        self._search = ShardSearch(
            shared, request, route_of(message), message.shards, self._collector
        )

    def start(self) -> None:
        """Ask the leafs, or decline if too few shards have one here.

        The asker believes that they have; it may have heard more.
        """
        first_by_shard = self._search.choose_first()
        shard_count = len(self._message.shards)
        if shard_count - len(first_by_shard) > MOST_LACKING * shard_count:
            self._shared.metrics.count("groups_served", "declined")
            self._exchange.answer(Answer(503))
            return
        self._exchange.on_left(self._asker_left)
        self._search.start(first_by_shard)
        self._collector.start()

    def resume(self, exchange: Exchange, due_s: float) -> None:
        """Answer with what comes further, within ``due_s``."""
        self._stop_timer()
        self._exchange = exchange
        exchange.on_left(self._asker_left)
        self._collector.resume(self._shared.loop.time() + due_s)

    def _end(self, decision: Decision) -> None:
        """Answer with what is new, also if it is not enough."""
        progress = self._collector.progress
        is_open = decision is Decision.ANSWER and not progress.is_settled
        exchange, self._exchange = self._exchange, None
        self._shared.metrics.count(
            "groups_served", "open" if is_open else "whole"
        )
        exchange.answer(Answer(200, [], encode_message(self._result(is_open))))
        if is_open:
            self._on_open(self, True)
            self._timer = self._shared.loop.call_later(
                REST_WAIT_S, self._close
            )
        else:
            self._close()

    def _result(self, is_open: bool) -> GroupResult:
        """Return what came since the last result."""
        collector = self._collector
        start = self._reported
        self._reported = len(collector.signatures)
        missing = collector.progress.missing
        return GroupResult(
            parts=list(
                zip(
                    collector.answered_shards[start:],
                    collector.signatures[start:],
                    strict=True,
                )
            ),
            records=top_records(
                collector.bodies[start:], self._message.record_limit
            ),
            missing=self._search.describe_missing() if missing else [],
            sent=self._search.sent,
            extra_sends=self._search.extra_sends,
            is_open=is_open,
        )

    def _close(self) -> None:
        """End a search for which nobody waits any more."""
        self._stop_timer()
        self._on_open(self, False)
        self._collector.close()
        self._search.finish()

    def _asker_left(self) -> None:
        self._stop_timer()
        self._on_open(self, False)
        self._collector.close()
        self._search.abandon()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class PeerApi(ConnectionOwner):
    """Owns the connections of other instances."""

    __slots__ = ("_on_peer_config_version", "_open_by_key")

    def __init__(
        self,
        shared: SharedState,
        on_peer_config_version: Callable[[int], None],
    ) -> None:
        super().__init__(shared)
        self._on_peer_config_version = on_peer_config_version
        self._open_by_key: dict[tuple[bytes, str], GroupSearch] = {}

    @property
    def limits(self) -> ClientLimits:
        """Return what other instances may send."""
        return PEER_LIMITS

    def handle(self, exchange: Exchange) -> None:
        """Serve a group's search or a health check."""
        target = exchange.request.target
        if target == PATH:
            self._search(exchange)
        elif target == REST_PATH:
            self._rest(exchange)
        elif target == HEALTH_PATH.encode():
            name = self._shared.settings.name.encode()
            status = 503 if self.stopping else 200
            exchange.answer(Answer(status, [(LEAF_ID, name)]))
        else:
            exchange.answer(Answer(404))

    def _search(self, exchange: Exchange) -> None:
        try:
            message = decode_request(exchange.request.body)
        except msgspec.MsgspecError:
            self._shared.metrics.count("groups_served", "malformed")
            exchange.answer(Answer(400))
            return
        if self._shared.config is None:
            exchange.answer(Answer(503))
            return
        if not message.shards:
            exchange.answer(Answer(400))
            return
        self._shared.last_request_at = self._shared.loop.time()
        self._on_peer_config_version(message.config_version)
        GroupSearch(self._shared, exchange, message, self._note_open).start()

    def _rest(self, exchange: Exchange) -> None:
        try:
            message = decode_rest(exchange.request.body)
        except msgspec.MsgspecError:
            exchange.answer(Answer(400))
            return
        key = (message.request_id, message.first_shard)
        search = self._open_by_key.pop(key, None)
        if search is None:
            exchange.answer(Answer(404))
            return
        search.resume(exchange, message.due_s)

    def _note_open(self, search: GroupSearch, is_open: bool) -> None:
        if is_open:
            self._open_by_key[search.key] = search
        elif self._open_by_key.get(search.key) is search:
            del self._open_by_key[search.key]
