"""The fault proxy forwards traffic and injects each of its faults."""

import asyncio

import pytest

from heatherdyke.codec import encode
from heatherdyke.errors import ConnectionSilent
from heatherdyke.errors import TransportError
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.net.http_connection import set_source_host
from heatherdyke.net.udp_endpoint import UdpEndpoint
from heatherdyke.standin.fault_proxy import FaultProxy
from heatherdyke.standin.fault_proxy_model import Direction
from heatherdyke.standin.fault_proxy_model import ProxyConfig
from heatherdyke.standin.fault_proxy_model import ProxyFaults
from heatherdyke.standin.fault_proxy_model import RouteConfig
from heatherdyke.standin.fault_proxy_model import RouteFaults
from heatherdyke.standin.http_server import HttpReply
from heatherdyke.standin.http_server import HttpServer


async def _echo(request):
    return HttpReply(200, request.body)


async def _post(connection, text):
    response = await connection.request("POST", "/", text, 0.2)
    return response.body


def _with_proxy(test):
    async def run():
        server = HttpServer("127.0.0.1:0", _echo)
        await server.start()
        route = RouteConfig("r", "127.0.0.1:0", server.address)
        proxy = FaultProxy(ProxyConfig([route]))
        await proxy.start()
        try:
            await test(proxy, proxy.route_by_name["r"].address)
        finally:
            await proxy.stop()
            await server.stop()

    asyncio.run(run())


def _set_faults(proxy, **faults):
    proxy.set_faults(ProxyFaults({"r": RouteFaults(**faults)}))


class TestStop:
    # Guards against: an address in use is reported as an AttributeError.
    @pytest.mark.parametrize("udp", [False, True])
    def test_after_a_start_that_failed_leaves_its_error(self, udp):
        async def start_on_used_address():
            server = HttpServer("127.0.0.1:0", _echo)
            await server.start()
            endpoint = await UdpEndpoint.open(server.address)
            route = RouteConfig("r", server.address, server.address, udp=udp)
            proxy = FaultProxy(ProxyConfig([route]))
            try:
                await proxy.start()
            finally:
                await proxy.stop()
                endpoint.close()
                await server.stop()

        with pytest.raises(OSError, match="in use"):
            asyncio.run(start_on_used_address())


class TestTcpRoute:
    def test_delay_applies_in_both_directions(self):
        async def test(proxy, address):
            connection = await HttpConnection.open(address)
            _set_faults(proxy, delay_ms=30)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            assert await _post(connection, b"x") == b"x"
            assert loop.time() - started_at >= 0.06
            connection.close()

        _with_proxy(test)

    def test_cut_closes_open_connections_and_new_ones(self):
        async def test(proxy, address):
            connection = await HttpConnection.open(address)
            await _post(connection, b"x")
            _set_faults(proxy, cut=True)
            for _ in range(2):
                with pytest.raises(TransportError):
                    await _post(connection, b"x")
                connection = await HttpConnection.open(address)
            _set_faults(proxy)
            connection.close()
            connection = await HttpConnection.open(address)
            assert await _post(connection, b"x") == b"x"
            connection.close()

        _with_proxy(test)

    def test_silent_and_one_way_loss_leave_connections_open(self):
        async def test(proxy, address):
            connection = await HttpConnection.open(address)
            await _post(connection, b"x")
            _set_faults(proxy, silent=True)
            with pytest.raises(ConnectionSilent):
                await _post(connection, b"x")
            connection = await HttpConnection.open(address)
            assert await _post(connection, b"x") == b"x"
            _set_faults(proxy, lose=Direction.FROM_TARGET)
            with pytest.raises(ConnectionSilent):
                await _post(connection, b"x")

        _with_proxy(test)

    def test_cross_swaps_the_responses_of_two_connections(self):
        async def test(proxy, address):
            pair = [await HttpConnection.open(address) for _ in range(2)]
            for connection in pair:
                await _post(connection, b"x")
            _set_faults(proxy, cross=1)
            answers = await asyncio.gather(
                _post(pair[0], b"a"), _post(pair[1], b"b")
            )
            assert answers == [b"b", b"a"]
            for connection in pair:
                connection.close()

        _with_proxy(test)

    def test_faults_apply_only_to_the_given_sources(self):
        async def test(proxy, address):
            _set_faults(proxy, cut=True, sources=["127.0.2."])
            set_source_host("127.0.1.1")
            connection = await HttpConnection.open(address)
            assert await _post(connection, b"x") == b"x"
            set_source_host("127.0.2.1")
            other = await HttpConnection.open(address)
            with pytest.raises(TransportError):
                await _post(other, b"x")
            connection.close()

        try:
            _with_proxy(test)
        finally:
            set_source_host("")

    def test_faults_are_set_over_http_and_validated(self):
        async def test(proxy, address):
            admin = await HttpConnection.open(proxy.address)
            for route, status in (("r", 200), ("none", 400)):
                body = encode(ProxyFaults({route: RouteFaults(cut=True)}))
                response = await admin.request("POST", "/admin/faults", body)
                assert response.status == status
            assert proxy.route_by_name["r"].faults.cut
            admin.close()

        _with_proxy(test)


class _Collector(asyncio.DatagramProtocol):
    def __init__(self, answers):
        self.answers = answers
        self.received = asyncio.Queue()

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.received.put_nowait(data)
        if self.answers:
            self.transport.sendto(data.upper(), address)


class TestUdpRoute:
    def test_forwards_both_ways_and_drops_when_cut(self):
        async def test():
            loop = asyncio.get_running_loop()
            transport, target = await loop.create_datagram_endpoint(
                lambda: _Collector(True), local_addr=("127.0.0.1", 0)
            )
            host, port = transport.get_extra_info("sockname")
            route = RouteConfig("u", "127.0.0.1:0", f"{host}:{port}", udp=True)
            proxy = FaultProxy(ProxyConfig([route]))
            await proxy.start()
            udp = proxy.route_by_name["u"]
            host, port = udp.address.split(":")
            sender, client = await loop.create_datagram_endpoint(
                lambda: _Collector(False), remote_addr=(host, int(port))
            )
            sender.sendto(b"beat")
            assert await target.received.get() == b"beat"
            assert await client.received.get() == b"BEAT"
            proxy.set_faults(ProxyFaults({"u": RouteFaults(cut=True)}))
            sender.sendto(b"lost")
            await asyncio.sleep(0.02)
            proxy.set_faults(ProxyFaults({"u": RouteFaults()}))
            sender.sendto(b"again")
            assert await target.received.get() == b"again"
            sender.close()
            transport.close()
            await proxy.stop()

        asyncio.run(test())
