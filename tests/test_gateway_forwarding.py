"""Requests that a gateway forwards to one leaf, with real processes."""

import asyncio
import os

from gateway_fleet import HOST
from gateway_fleet import send_request
from gateway_scenarios import ready_gateway
from gateway_scenarios import run
from gateway_scenarios import set_up_forwarding
from gateway_scenarios import until

from heatherdyke.platform_standin.leaf import Behaviour


class TestForward:
    def test_method_path_and_body_are_forwarded_unchanged(self, tmp_path):
        async def scenario(fleet):
            leafs = await set_up_forwarding(fleet, 1)
            gateway = await ready_gateway(fleet)
            body = os.urandom(5000)
            answer = await send_request(
                gateway, "/u/a%20b?c=%2F", "r1", method="POST", body=body
            )
            assert answer.status == 200
            assert answer.value_by_header["x-response-stamp"] == "one-0.r1"
            arrival = leafs[0].received_requests[0]
            assert arrival.method == b"POST"
            assert arrival.target == b"/u/a%20b?c=%2F"
            assert arrival.body == body

        run(scenario, tmp_path)

    def test_an_unsafe_request_is_not_retried_after_a_lost_response(
        self, tmp_path
    ):
        async def scenario(fleet):
            leafs = await set_up_forwarding(fleet)
            for leaf in leafs:
                leaf.behaviour = Behaviour.RESET_AFTER_RUN
            gateway = await ready_gateway(fleet)
            answer = await send_request(gateway, "/u/x", "r1", "POST", b"x")
            assert answer.status == 502
            assert sum(leaf.runs.count(b"r1") for leaf in leafs) == 1

        run(scenario, tmp_path)

    def test_a_busy_status_after_a_run_is_not_passed_on(self, tmp_path):
        """A leaf may answer 503 after it ran a request.

        The client would conclude that the request has not run.
        """

        async def scenario(fleet):
            leafs = await set_up_forwarding(fleet)
            for leaf in leafs:
                leaf.behaviour = Behaviour.BUSY_AFTER_RUN
            gateway = await ready_gateway(fleet)
            answer = await send_request(gateway, "/u/x", "r1", "POST", b"x")
            assert answer.status == 502
            assert sum(leaf.runs.count(b"r1") for leaf in leafs) == 1

        run(scenario, tmp_path)

    def connections_for(self, tmp_path, path, method, idle_s):
        """Return the number of connections that three spaced requests use."""
        opened = []

        async def scenario(fleet):
            await set_up_forwarding(fleet, 1)
            gateway = await ready_gateway(fleet)
            for number in range(3):
                body = b"x" if method == "POST" else b""
                await send_request(gateway, path, f"r{number}", method, body)
                await asyncio.sleep(idle_s)
            opened.append(fleet.leafs[0].listener.connections_opened)

        run(scenario, tmp_path)
        return opened[0]

    def test_an_unsafe_request_does_not_reuse_an_idle_connection(
        self, tmp_path
    ):
        """The leaf may have dropped the connection without closing it."""
        assert self.connections_for(tmp_path, "/u/x", "POST", 0.4) == 3

    def test_an_unsafe_request_reuses_a_recently_used_connection(
        self, tmp_path
    ):
        assert self.connections_for(tmp_path, "/u/x", "POST", 0.01) == 1

    def test_a_safe_request_reuses_an_idle_connection(self, tmp_path):
        assert self.connections_for(tmp_path, "/o/x", "GET", 0.4) == 1

    def test_a_safe_request_is_retried_after_a_lost_response(self, tmp_path):
        async def scenario(fleet):
            leafs = await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            leafs[0].behaviour = Behaviour.RESET_AFTER_RUN
            for number in range(4):
                answer = await send_request(gateway, "/o/x", f"r{number}")
                assert answer.status == 200

        run(scenario, tmp_path)

    def test_a_rejected_unsafe_request_is_sent_to_another_leaf(self, tmp_path):
        async def scenario(fleet):
            leafs = await set_up_forwarding(fleet)
            leafs[0].behaviour = Behaviour.REJECT
            gateway = await ready_gateway(fleet)
            for number in range(4):
                answer = await send_request(
                    gateway, "/u/x", f"r{number}", "POST", b"x"
                )
                assert answer.status == 200
            assert len(leafs[1].runs) == 4

        run(scenario, tmp_path)

    def test_a_refused_request_has_not_run_and_gets_retry_after(
        self, tmp_path
    ):
        async def scenario(fleet):
            leafs = await set_up_forwarding(fleet)
            for leaf in leafs:
                leaf.behaviour = Behaviour.REJECT
            gateway = await ready_gateway(fleet)
            answer = await send_request(gateway, "/u/x", "r1", "POST", b"x")
            assert answer.status == 503
            assert float(answer.value_by_header["retry-after"]) > 0
            assert not any(leaf.runs for leaf in leafs)

        run(scenario, tmp_path)

    def test_an_address_that_another_leaf_reuses_is_not_used(self, tmp_path):
        async def scenario(fleet):
            leafs = await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            leafs[0].leaf_id = "somebody-else"
            for number in range(4):
                answer = await send_request(
                    gateway, "/u/x", f"r{number}", "POST", b"x"
                )
                assert answer.status == 200
            assert leafs[0].runs == []

        run(scenario, tmp_path)

    def test_a_draining_leaf_gets_no_requests(self, tmp_path):
        async def scenario(fleet):
            leafs = await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            leafs[0].sequence = 2
            draining = leafs[0].entry(draining=True)
            fleet.store.put("servers", "one-0", draining)
            await until(lambda: '"draining"' in fleet.read_log(gateway))
            for number in range(4):
                answer = await send_request(gateway, "/o/x", f"r{number}")
                assert answer.status == 200
            assert leafs[0].received_requests == []

        run(scenario, tmp_path)

    def test_a_client_disconnect_cancels_the_request_at_the_leaf(
        self, tmp_path
    ):
        async def scenario(fleet):
            (leaf,) = await set_up_forwarding(fleet, 1)
            leaf.processing_s = 5.0
            gateway = await ready_gateway(fleet)
            host, port = gateway.front.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            head = f"GET /o/x HTTP/1.1\r\nHost: {HOST}\r\n"
            writer.write(head.encode() + b"X-Request-Id: r1\r\n\r\n")
            await until(lambda: leaf.runs == [b"r1"])
            writer.close()
            await until(lambda: not leaf.listener.connections)

        run(scenario, tmp_path)
