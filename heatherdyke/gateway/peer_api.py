"""Serves other instances: asks for a group of shards and merges the parts."""

import msgspec

from heatherdyke.gateway.client_connection import ClientConnection
from heatherdyke.gateway.core import Core
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.gathering import Gathering
from heatherdyke.gateway.messages import Answer
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.peer_messages import HEALTH_PATH
from heatherdyke.gateway.peer_messages import PATH
from heatherdyke.gateway.peer_messages import GroupRequest
from heatherdyke.gateway.peer_messages import GroupResult
from heatherdyke.gateway.peer_messages import decode_request
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_messages import route_of
from heatherdyke.gateway.records import greatest_records
from heatherdyke.gateway.routing import ClientLimits
from heatherdyke.gateway.search_progress import SearchProgress
from heatherdyke.gateway.search_progress import Verdict
from heatherdyke.gateway.shard_search import ShardSearch
from heatherdyke.platform.headers import LEAF_ID

PEER_LIMITS = ClientLimits(
    max_body_bytes=4_194_304, idle_timeout_s=60.0, header_timeout_s=3.0
)


class GroupSearch:
    """One group's search, for another instance."""

    __slots__ = ("_core", "_exchange", "_message", "_gathering", "_search")

    def __init__(
        self, core: Core, exchange: Exchange, message: GroupRequest
    ) -> None:
        self._core = core
        self._exchange = exchange
        self._message = message
        now = core.loop.time()
        progress = SearchProgress(
            shard_count=len(message.shards),
            min_share=message.min_share,
            answer_at=now + message.due_s,
            limit_at=now + message.limit_s,
            is_group=True,
        )
        self._gathering = Gathering(core.loop, progress, self._end)
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
            core, request, route_of(message), message.shards, self._gathering
        )

    def start(self) -> None:
        """Ask the leafs."""
        self._exchange.on_left(self._asker_left)
        self._search.start(self._search.choose_first())
        self._gathering.start()

    def _end(self, verdict: Verdict) -> None:
        """Answer with what is there, also if it is not enough."""
        progress = self._gathering.progress
        shards = self._gathering.answered_shards
        result = GroupResult(
            parts=list(zip(shards, self._gathering.signatures, strict=True)),
            records=greatest_records(
                self._gathering.bodies, self._message.record_limit
            ),
            missing=self._search.describe_missing()
            if progress.missing
            else [],
            sent=self._search.sent,
            extra_sends=self._search.extra_sends,
        )
        self._core.metrics.count("groups_served", verdict.value)
        self._exchange.answer(Answer(200, [], encode_message(result)))
        self._search.finish()

    def _asker_left(self) -> None:
        self._gathering.stop()
        self._search.abandon()


class PeerApi:
    """Owns the connections of other instances."""

    __slots__ = ("stopping", "_core", "_connections")

    def __init__(self, core: Core) -> None:
        self.stopping = False
        self._core = core
        self._connections: set[ClientConnection] = set()

    @property
    def limits(self) -> ClientLimits:
        """Return what other instances may send."""
        return PEER_LIMITS

    @property
    def closing(self) -> bool:
        """Tell whether others should come back to another instance."""
        return self.stopping

    @property
    def running_count(self) -> int:
        """Return the number of connections with a request."""
        return sum(not item.is_idle for item in self._connections)

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._core.loop.time()

    def opened(self, connection: ClientConnection) -> None:
        """Note a new connection."""
        self._connections.add(connection)

    def closed(self, connection: ClientConnection) -> None:
        """Note that a connection has ended."""
        self._connections.discard(connection)

    def handle(self, exchange: Exchange) -> None:
        """Serve a group's search or a health check."""
        target = exchange.request.target
        if target == PATH:
            self._search(exchange)
        elif target == HEALTH_PATH.encode():
            name = self._core.settings.name.encode()
            status = 503 if self.stopping else 200
            exchange.answer(Answer(status, [(LEAF_ID, name)]))
        else:
            exchange.answer(Answer(404))

    def _search(self, exchange: Exchange) -> None:
        try:
            message = decode_request(exchange.request.body)
        except msgspec.MsgspecError:
            self._core.metrics.count("groups_served", "malformed")
            exchange.answer(Answer(400))
            return
        if self._core.config is None:
            exchange.answer(Answer(503))
            return
        GroupSearch(self._core, exchange, message).start()
