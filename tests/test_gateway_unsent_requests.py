"""Requests that end before a connection to any leaf is open.

No leaf has got such a request, so its client may send it again.
"""

import asyncio
from dataclasses import replace
from unittest import mock

import pytest
from instance_scenarios import OTHER_ZONE
from instance_scenarios import OWN_ZONE
from instance_scenarios import ROUTE
from instance_scenarios import SHARDS
from instance_scenarios import add_leafs
from instance_scenarios import client_request
from instance_scenarios import make_shared

from heatherdyke.gateway.crash_evidence import Level
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.forwarded_request import ForwardedRequest
from heatherdyke.gateway.leaf_connection import LeafConnection
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.quarantine import Verdict
from heatherdyke.gateway.request_key import request_key
from heatherdyke.gateway.search import Search
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.net.tcp_keepalive import KeepAliveOptions

SINGLE = replace(ROUTE, shards=())


class Transport:
    """Keeps what a connection sends."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data

    def get_extra_info(self, name: str) -> None:
        return None

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        pass

    abort = close


class Network:
    """Connections that open when ``accept`` is called."""

    def __init__(self) -> None:
        self.accepted = asyncio.Event()
        self.transports: list[Transport] = []

    async def connect(self, factory, *arguments, **options) -> None:
        await self.accepted.wait()
        connection: LeafConnection = factory()
        transport = Transport()
        self.transports.append(transport)
        connection.connection_made(transport)

    async def accept(self) -> None:
        self.accepted.set()
        await asyncio.sleep(0.01)


def start_search(shared: SharedState, exchange: Exchange) -> None:
    add_leafs(shared, dict.fromkeys(SHARDS, OWN_ZONE))
    Search(shared, exchange, ROUTE).start()


def start_suspect_search(shared: SharedState, exchange: Exchange) -> None:
    verdict = Verdict(request_key(exchange.request), Level.SUSPECT)
    shared.crash_guard.quarantine.apply(verdict, shared.loop.time())
    start_search(shared, exchange)


def start_search_by_peer(shared: SharedState, exchange: Exchange) -> None:
    add_leafs(shared, dict.fromkeys(SHARDS, OTHER_ZONE))
    Search(shared, exchange, ROUTE).start()


def start_single(shared: SharedState, exchange: Exchange) -> None:
    add_leafs(shared, {SHARDS[0]: OWN_ZONE})
    ForwardedRequest(shared, exchange, SINGLE, SHARDS[0]).start()


STARTS = (
    start_search,
    start_suspect_search,
    start_search_by_peer,
    start_single,
)


async def end(start, accepted: bool) -> tuple[ClientResponse, list[bytes]]:
    """Return the response to a request that ends, and what was sent.

    ``accepted`` tells whether connections open before its end or after it.
    """
    network = Network()
    answers: list[ClientResponse] = []
    loop = asyncio.get_running_loop()
    with (
        mock.patch.object(
            asyncio.BaseEventLoop, "create_connection", network.connect
        ),
        mock.patch.object(KeepAliveOptions, "apply"),
    ):
        shared = make_shared(loop)
        exchange = Exchange(client_request(shared), answers.append)
        start(shared, exchange)
        await asyncio.sleep(0.001)
        if accepted:
            await network.accept()
        exchange.shut_down()
        await network.accept()
    (answer,) = answers
    return answer, [transport.written for transport in network.transports]


class TestRequestThatReachedNoLeaf:
    # Guards against 502 and 504, after which a client may not send an unsafe
    # request again, for requests that no leaf has got.
    @pytest.mark.parametrize("start", STARTS)
    def test_is_refused(self, start):
        answer, _ = asyncio.run(end(start, accepted=False))
        assert answer.status == 503
        assert b"Retry-After" in dict(answer.headers)

    @pytest.mark.parametrize("start", STARTS)
    def test_is_not_sent_later(self, start):
        _, written = asyncio.run(end(start, accepted=False))
        assert written
        assert set(written) == {b""}


class TestRequestThatMayHaveReachedALeaf:
    @pytest.mark.parametrize(
        "start", [start_search, start_suspect_search, start_single]
    )
    def test_is_not_refused(self, start):
        answer, written = asyncio.run(end(start, accepted=True))
        assert any(written)
        assert answer.status in (502, 504)
