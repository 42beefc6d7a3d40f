"""Each listener serves its own routes only, and peers need the peer key."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import ForgedMessage
from heatherdyke.instance import Instance
from heatherdyke.membership.messages import Heartbeat
from heatherdyke.membership.messages import LifecycleState
from heatherdyke.membership.messages import Member
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.net.http_payloads import Problem
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_routes import add_route
from heatherdyke.net.http_routes import new_application
from heatherdyke.net.limited_protocol import RequestLimits
from heatherdyke.net.server import HttpServer
from heatherdyke.net.udp_endpoint import UdpEndpoint
from heatherdyke.observe.journal import EventPage
from heatherdyke.peers.key import PeerKey
from heatherdyke.settings import Settings
from heatherdyke.standin.free_address import free_address
from heatherdyke.standin.platform import PlatformStandin

SECRET = "a secret of this test"
LIMITS = RequestLimits(header_bytes=1000, body_bytes=5000, read_timeout_s=0.3)
INTERNAL_ROUTES = [
    ("GET", "/peer/config"),
    ("GET", "/peer/member"),
    ("GET", "/peer/roster"),
    ("GET", "/peer/platform-state"),
    ("GET", "/peer/leaf-levels"),
    ("POST", "/peer/search"),
    ("POST", "/peer/run"),
    ("POST", "/peer/cancel"),
    ("POST", "/peer/run-once"),
    ("GET", "/config/status"),
    ("GET", "/metrics"),
    ("GET", "/stats"),
    ("GET", "/events"),
    ("GET", "/members"),
    ("GET", "/usage"),
]
PEER_ROUTES = [r for r in INTERNAL_ROUTES if r[1].startswith("/peer/")]


@asynccontextmanager
async def running_instance():
    platform = PlatformStandin()
    await platform.start()
    settings = Settings.from_values(
        name="a",
        zone="brescia",
        listen=free_address(),
        internal_listen=free_address(),
        peer_key=SECRET,
        platform=platform.address,
        drain_s=0.1,
    )
    instance = Instance.from_settings(settings)
    await instance.start()
    try:
        yield settings
    finally:
        await instance.stop()
        await platform.stop()


async def send_request(address, method, path, headers="", body=b"{}"):
    connection = await HttpConnection.open(address)
    try:
        return await connection.request(method, path, body, 5.0, headers)
    finally:
        connection.close()


async def statuses(address, routes, headers=""):
    return {
        path: (await send_request(address, method, path, headers)).status
        for method, path in routes
    }


class TestCallersListener:
    def test_does_not_serve_routes_for_peers_or_operators(self):
        async def check():
            async with running_instance() as settings:
                return await statuses(settings.listen, INTERNAL_ROUTES)

        assert set(asyncio.run(check()).values()) == {404}

    def test_serves_callers(self):
        async def check():
            async with running_instance() as settings:
                return await send_request(settings.listen, "POST", "/search")

        assert asyncio.run(check()).status == 401


class TestInternalListener:
    def test_rejects_peer_requests_without_the_peer_key(self):
        async def check(headers):
            async with running_instance() as settings:
                address = settings.internal_listen
                return await statuses(address, PEER_ROUTES, headers)

        other = PeerKey("another secret of this test")
        for headers in ("", other.header_lines):
            assert set(asyncio.run(check(headers)).values()) == {401}

    def test_serves_peers_and_operators(self):
        async def check():
            async with running_instance() as settings:
                address = settings.internal_listen
                peer = await send_request(
                    address,
                    "GET",
                    "/peer/member",
                    PeerKey(SECRET).header_lines,
                )
                operator = await send_request(address, "GET", "/config/status")
                return peer.status, operator.status

        assert asyncio.run(check()) == (200, 200)

    def test_does_not_serve_callers(self):
        async def check():
            async with running_instance() as settings:
                return await send_request(
                    settings.internal_listen, "POST", "/search"
                )

        assert asyncio.run(check()).status == 404


class TestPeerKey:
    def test_open_returns_the_sealed_payload(self):
        key = PeerKey(SECRET)
        assert key.open(key.seal(b"payload")) == b"payload"

    def test_open_rejects_changed_datagrams_and_other_keys(self):
        key = PeerKey(SECRET)
        sealed = key.seal(b"payload")
        for forged in (
            b"",
            b"payload",
            sealed + b"!",
            PeerKey("another secret").seal(b"payload"),
        ):
            with pytest.raises(ForgedMessage):
                key.open(forged)

    def test_secret_is_never_sent(self):
        key = PeerKey(SECRET)
        assert SECRET not in key.header_lines
        assert SECRET.encode() not in key.seal(b"payload")


class TestRequestLimits:
    def send_limited(self, *arguments, **named):
        async def respond(request):
            return json_response(len(await request.read() or b""))

        async def run():
            app = new_application()
            add_route(app, "POST", "/size", respond)
            address = free_address()
            server = HttpServer(app, address, LIMITS)
            await server.start()
            try:
                return await send_request(
                    address, "POST", "/size", *arguments, **named
                )
            finally:
                await server.stop(force=True)

        return asyncio.run(run())

    def test_a_request_within_the_limits_is_served(self):
        response = self.send_limited(
            "X-Pad: " + "x" * 500 + "\r\n", b"y" * 999
        )
        assert (response.status, response.body) == (200, b"999")

    def test_too_long_headers_are_rejected_with_431(self):
        response = self.send_limited("X-Pad: " + "x" * 1200 + "\r\n")
        assert response.status == 431
        assert decode(response.body, Problem).kind == "headers_too_large"

    def test_header_limit_applies_to_the_total_size(self):
        response = self.send_limited("X-Pad: 0123456789\r\n" * 100)
        assert response.status == 431

    def test_a_too_long_body_is_rejected_with_413(self):
        response = self.send_limited(body=b"y" * 6000)
        assert response.status == 413
        assert decode(response.body, Problem).kind == "body_too_large"

    @pytest.mark.parametrize("sent", [b"", b"POST /size HTTP/1.1\r\nHost:"])
    def test_a_slow_sender_gets_408_and_is_disconnected(self, sent):
        async def run():
            app = new_application()
            address = free_address()
            server = HttpServer(app, address, LIMITS)
            await server.start()
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(sent)
                async with asyncio.timeout(5.0):
                    return await reader.read()
            finally:
                writer.close()
                await server.stop(force=True)

        answer = asyncio.run(run())
        assert answer.startswith(b"HTTP/1.1 408 ")

    def test_an_incomplete_body_is_disconnected(self):
        async def run():
            app = new_application()
            address = free_address()
            server = HttpServer(app, address, LIMITS)
            await server.start()
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    b"POST /size HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf"
                )
                async with asyncio.timeout(5.0):
                    while await reader.read(1000):
                        pass
            finally:
                writer.close()
                await server.stop(force=True)

        asyncio.run(run())


class TestForgedHeartbeat:
    def test_is_logged_only_without_a_valid_hmac(self):
        stranger = Member("stranger", "brescia", "127.0.0.1:9", "i9")
        payload = encode(Heartbeat(stranger, LifecycleState.SERVING, 1))

        async def check(datagram):
            async with running_instance() as settings, sender() as send:
                send(settings.internal_listen, datagram)
                await asyncio.sleep(0.3)
                address = settings.internal_listen
                page = await send_request(address, "GET", "/events?after=0")
                found = decode(page.body, EventPage).events
                return {event.name for event in found}

        assert "invalid_heartbeat" in asyncio.run(check(payload))
        sealed = PeerKey(SECRET).seal(payload)
        assert "invalid_heartbeat" not in asyncio.run(check(sealed))


@asynccontextmanager
async def sender():
    endpoint = await UdpEndpoint.open(free_address())
    try:
        yield endpoint.send
    finally:
        endpoint.close()
