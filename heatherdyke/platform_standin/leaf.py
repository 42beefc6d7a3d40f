"""A stand-in for one of the platform's leafs."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from random import Random
from typing import Any

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.header_rules import find_header
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.messages import HeaderList
from heatherdyke.platform import headers as names
from heatherdyke.platform_standin.listener import Listener


class Behaviour(Enum):
    """How a leaf handles the requests that it receives.

    - SERVE: execute the request and return a signed response.
    - REJECT: respond 503 and state that the request was not executed.
    - FAIL: execute the request and respond 500.
    - RESET_AFTER_RUN: execute the request and reset the connection.
    - SILENT: neither execute requests nor respond, to health checks either.
    - BUSY_AFTER_RUN: execute the request and respond 503.
    """

    SERVE = "serve"
    REJECT = "reject"
    FAIL = "fail"
    RESET_AFTER_RUN = "reset_after_run"
    SILENT = "silent"
    BUSY_AFTER_RUN = "busy_after_run"


# Error status of a leaf that has executed the request.
STATUS_BY_FAILURE = {Behaviour.FAIL: 500, Behaviour.BUSY_AFTER_RUN: 503}


@dataclass(slots=True)
class ReceivedRequest:
    """A request as a leaf received it; ``at`` is loop time in seconds."""

    request_id: bytes
    method: bytes
    target: bytes
    body: bytes
    remaining_s: float | None
    at: float


@dataclass(frozen=True, slots=True)
class Crash:
    """The end of a leaf while it ran a request; ``at`` is loop time."""

    request_id: bytes
    at: float


def _crashes_on_nothing(request: ClientRequest) -> bool:
    return False


@dataclass(slots=True)
class StandinLeaf:
    """A leaf that executes requests in ``processing_s`` each.

    A successful response has ``records`` random records of 16 bytes each.
    Requests are rejected after ``reject_delay_s``, as by a leaf whose queue is
    full for so long.  ``rate_limit`` is the rate that all responses state,
    None for no rate; with ``is_leaving`` they state that the leaf is about to
    end.  ``retry_after`` is that of its rejections, None for none.  ``runs``
    lists the ids of the executed requests.  Requests meant for another leaf
    are refused with 421 and not recorded.

    A request for which ``crashes_on`` is true crashes the leaf once it has
    run: for ``down_s`` seconds nothing listens at its address.
    """

    leaf_id: str
    service: str
    zone: str = "brescia"
    processing_s: float = 0.002
    records: int = 10
    cold_s: float = 0.0
    rate_limit: float | None = None
    is_leaving: bool = False
    retry_after: bytes | None = None
    behaviour: Behaviour = Behaviour.SERVE
    reject_delay_s: float = 0.0
    crashes_on: Callable[[ClientRequest], bool] = _crashes_on_nothing
    down_s: float = 1.5
    crashes: list[Crash] = field(default_factory=list)
    born_ms: int = 1
    sequence: int = 1
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    runs: list[bytes] = field(default_factory=list)
    health_checks: int = 0
    listener: Listener | None = None
    is_stopped: bool = False
    random: Random = field(default_factory=lambda: Random(1))
    _restarts: set[asyncio.Task] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = Listener(self._handle)
        await self.listener.start()

    async def crash(self, request_id: bytes = b"") -> None:
        """End at once; listen again at the same address after ``down_s``."""
        loop = asyncio.get_running_loop()
        self.crashes.append(Crash(request_id, loop.time()))
        port = self.listener.address.port
        await self.listener.stop()
        await asyncio.sleep(self.down_s)
        if not self.is_stopped:
            await self.listener.start(port)

    async def stop(self) -> None:
        """End for good."""
        self.is_stopped = True
        await self.listener.stop()

    def entry(self, draining: bool = False) -> dict[str, Any]:
        """Return the entry that registers the leaf in the store."""
        return {
            "service": self.service,
            "address": str(self.listener.address),
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": "draining" if draining else "ready",
            "cold-remaining-ms": int(self.cold_s * 1000),
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.target == b"/health":
            self._answer_health(exchange)
            return
        expected = find_header(request.headers, names.EXPECTED_LEAF)
        if expected is not None and expected != self.leaf_id.encode():
            headers = [
                (names.REQUEST_ID, request.request_id),
                (names.LEAF_ID, self.leaf_id.encode()),
            ]
            exchange.answer(ClientResponse(421, headers))
            return
        self.received_requests.append(
            ReceivedRequest(
                request_id=request.request_id,
                method=request.method,
                target=request.target,
                body=request.body,
                remaining_s=request.wait_s,
                at=request.arrived_at,
            )
        )
        self._execute(exchange)

    def _answer_health(self, exchange: Exchange) -> None:
        self.health_checks += 1
        headers = [
            (names.LEAF_ID, self.leaf_id.encode()),
            (names.COLD_REMAINING, b"%d" % int(self.cold_s * 1000)),
            *self._statement_headers(),
        ]
        if self.behaviour is not Behaviour.SILENT:
            exchange.answer(ClientResponse(200, headers))

    def _execute(self, exchange: Exchange) -> None:
        if self.behaviour is Behaviour.SILENT:
            return
        if self.behaviour is Behaviour.REJECT:
            self._reject(exchange)
            return
        self.runs.append(exchange.request.request_id)
        loop = asyncio.get_running_loop()
        finish: Callable[[Exchange], None] = self._finish
        loop.call_later(self.processing_s, finish, exchange)

    def _reject(self, exchange: Exchange) -> None:
        headers = [
            (names.REQUEST_ID, exchange.request.request_id),
            (names.NOT_RUN, b"1"),
            *self._statement_headers(),
        ]
        if self.retry_after is not None:
            headers.append((names.RETRY_AFTER, self.retry_after))
        response = ClientResponse(503, headers)
        if not self.reject_delay_s:
            exchange.answer(response)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.reject_delay_s,
            lambda: exchange.answered or exchange.answer(response),
        )

    def _finish(self, exchange: Exchange) -> None:
        if exchange.answered or self.listener.is_stopped:
            return
        if self.crashes_on(exchange.request):
            task = asyncio.create_task(self.crash(exchange.request.request_id))
            self._restarts.add(task)
            task.add_done_callback(self._restarts.discard)
            return
        if self.behaviour is Behaviour.RESET_AFTER_RUN:
            for connection in list(self.listener.connections):
                if connection.exchange is exchange:
                    connection.transport.abort()
            return
        request = exchange.request
        signature = b"%s.%s" % (self.leaf_id.encode(), request.request_id)
        headers = [
            (names.REQUEST_ID, request.request_id),
            (names.SIGNATURE, signature),
            *self._statement_headers(),
        ]
        status = STATUS_BY_FAILURE.get(self.behaviour)
        if status is not None:
            exchange.answer(ClientResponse(status, headers))
            return
        exchange.answer(
            ClientResponse(
                200, headers, self.random.randbytes(16 * self.records)
            )
        )

    def _statement_headers(self) -> HeaderList:
        headers: HeaderList = []
        if self.is_leaving:
            headers.append((names.LEAVING, names.LEAVING_VALUE))
        if self.rate_limit is not None:
            headers.append((names.RATE_LIMIT, b"%.1f" % self.rate_limit))
        return headers
