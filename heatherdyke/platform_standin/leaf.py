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
from heatherdyke.gateway.messages import Answer
from heatherdyke.platform import headers as names
from heatherdyke.platform_standin.listener import Listener


class Behaviour(Enum):
    """How a leaf treats the requests that reach it."""

    SERVE = "serve"
    REJECT = "reject"
    FAIL = "fail"
    RESET_AFTER_RUN = "reset_after_run"
    SILENT = "silent"
    BUSY_AFTER_RUN = "busy_after_run"


# Failures that a leaf answers after it has run the request.
STATUS_BY_FAILURE = {Behaviour.FAIL: 500, Behaviour.BUSY_AFTER_RUN: 503}


@dataclass(slots=True)
class ReceivedRequest:
    """What a leaf saw of one request."""

    request_id: bytes
    method: bytes
    target: bytes
    body: bytes
    remaining_s: float | None
    at: float


@dataclass(slots=True)
class StandinLeaf:
    """Runs requests for ``processing_s`` each and signs its answers."""

    leaf_id: str
    service: str
    zone: str = "brescia"
    processing_s: float = 0.002
    records: int = 10
    cold_s: float = 0.0
    behaviour: Behaviour = Behaviour.SERVE
    born_ms: int = 1
    sequence: int = 1
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    runs: list[bytes] = field(default_factory=list)
    health_checks: int = 0
    listener: Listener | None = None
    random: Random = field(default_factory=lambda: Random(1))

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = Listener(self._handle)
        await self.listener.start()

    def entry(self, draining: bool = False) -> dict[str, Any]:
        """Return the leaf's entry for the store."""
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
            headers = [(names.LEAF_ID, self.leaf_id.encode())]
            exchange.answer(Answer(421, headers))
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
        self._treat(exchange)

    def _answer_health(self, exchange: Exchange) -> None:
        self.health_checks += 1
        headers = [
            (names.LEAF_ID, self.leaf_id.encode()),
            (names.COLD_REMAINING, b"%d" % int(self.cold_s * 1000)),
        ]
        if self.behaviour is not Behaviour.SILENT:
            exchange.answer(Answer(200, headers))

    def _treat(self, exchange: Exchange) -> None:
        if self.behaviour is Behaviour.SILENT:
            return
        if self.behaviour is Behaviour.REJECT:
            exchange.answer(Answer(503, [(names.NOT_RUN, b"1")]))
            return
        self.runs.append(exchange.request.request_id)
        loop = asyncio.get_running_loop()
        end: Callable[[Exchange], None] = self._end
        loop.call_later(self.processing_s, end, exchange)

    def _end(self, exchange: Exchange) -> None:
        if exchange.answered:
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
        ]
        status = STATUS_BY_FAILURE.get(self.behaviour)
        if status is not None:
            exchange.answer(Answer(status, headers))
            return
        exchange.answer(
            Answer(200, headers, self.random.randbytes(16 * self.records))
        )
