"""A handler that fails is answered as a problem."""

import asyncio

from heatherdyke.codec import decode
from heatherdyke.errors import RunState
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.net.http_payloads import Problem
from heatherdyke.net.http_routes import add_route
from heatherdyke.net.http_routes import new_application
from heatherdyke.net.server import HttpServer
from heatherdyke.standin.demo import find_free_port


class TestFailingHandler:
    def test_is_answered_with_an_unknown_run_state(self):
        async def fail(_):
            raise ValueError("a fault")

        async def ask():
            app = new_application()
            add_route(app, "GET", "/fail", fail)
            address = f"127.0.0.1:{find_free_port()}"
            server = HttpServer(app, address)
            await server.start()
            try:
                connection = await HttpConnection.open(address)
                return await connection.request("GET", "/fail")
            finally:
                connection.close()
                await server.stop()

        response = asyncio.run(ask())
        assert response.status == 500
        problem = decode(response.body, Problem)
        assert problem.run_state is RunState.MAY_HAVE_RUN
