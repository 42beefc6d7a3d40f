"""An exception in a route's handler yields a problem response."""

import asyncio

from heatherdyke.codec import decode
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.net.http_payloads import Problem
from heatherdyke.net.http_routes import add_route
from heatherdyke.net.http_routes import new_application
from heatherdyke.net.server import HttpServer
from heatherdyke.request_errors import RunState
from heatherdyke.standin.free_address import free_address


class TestFailingHandler:
    def test_returns_500_with_run_state_may_have_run(self):
        async def fail(_):
            raise ValueError("handler failure")

        async def request_failing_route():
            app = new_application()
            add_route(app, "GET", "/fail", fail)
            address = free_address()
            server = HttpServer(app, address)
            await server.start()
            try:
                connection = await HttpConnection.open(address)
                return await connection.request("GET", "/fail")
            finally:
                connection.close()
                await server.stop()

        response = asyncio.run(request_failing_route())
        assert response.status == 500
        problem = decode(response.body, Problem)
        assert problem.run_state is RunState.MAY_HAVE_RUN
