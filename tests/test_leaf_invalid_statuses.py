"""Leafs whose responses have a status that HTTP does not define."""

import asyncio
import re

import msgspec
import pytest
from gateway_fleet import Fleet
from gateway_fleet import send_request
from gateway_scenarios import SHARDS
from gateway_scenarios import ready_gateway
from gateway_scenarios import run
from gateway_scenarios import set_up_forwarding
from gateway_scenarios import set_up_search
from test_leaf_foreign_responses import OWN
from test_leaf_foreign_responses import outcomes_after

from heatherdyke.gateway.messages import Failure
from heatherdyke.gateway.peer_messages import ForwardResult
from heatherdyke.gateway.peer_messages import decode_message
from heatherdyke.gateway.peer_messages import encode_message

INVALID = ["000", "001", "099", "600", "999"]
# Well below the time limits of the requests.
SOON_S = 0.5
BODY = b"x" * 160


class StatusServer:
    """Answers each request with one status, a stamp and a body."""

    def __init__(self, status: str) -> None:
        self.status = status
        self.received = 0
        self.address = ""

    async def __aenter__(self) -> "StatusServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *error) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                found = re.search(rb"(?i)x-request-id: (\S+)", head)
                request_id = found.group(1) if found else b""
                self.received += bool(found)
                writer.write(
                    b"HTTP/1.1 %s Odd\r\nX-Request-Id: %s\r\n"
                    b"X-Response-Stamp: odd.%s\r\nContent-Length: %d\r\n\r\n%s"
                    % (
                        self.status.encode(),
                        request_id,
                        request_id,
                        len(BODY),
                        BODY,
                    )
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def replace_leaf(fleet: Fleet, leaf_id: str, address: str) -> None:
    entry = {**fleet.store.spec("servers", leaf_id), "address": address}
    fleet.store.put("servers", leaf_id, entry)


@pytest.mark.parametrize("status", INVALID)
class TestInvalidStatus:
    # Guards against a response that is taken for an interim one, so that its
    # request waits until its deadline.
    def test_ends_the_attempt_at_once(self, status):
        response = OWN.replace(b"200", status.encode())
        (outcome,) = outcomes_after([response])
        assert outcome.failure is Failure.BROKEN
        assert not outcome.not_run

    # Guards against bytes that are no answer and reach a client as one.
    @pytest.mark.parametrize("path", ["/o/1", "/u/1"])
    def test_reaches_no_client(self, tmp_path, status, path):
        async def scenario(fleet: Fleet):
            async with StatusServer(status) as server:
                await set_up_forwarding(fleet, count=1)
                replace_leaf(fleet, "one-0", server.address)
                gateway = await ready_gateway(fleet)
                began_at = asyncio.get_running_loop().time()
                answer = await send_request(gateway, path, "r1")
                took_s = asyncio.get_running_loop().time() - began_at
                assert answer.status == 502
                assert took_s < SOON_S
                assert BODY not in answer.body
                assert "x-response-stamp" not in answer.value_by_header
                if path == "/u/1":
                    assert server.received == 1

        run(scenario, tmp_path)

    def test_an_idempotent_request_is_served_by_another_leaf(
        self, tmp_path, status
    ):
        async def scenario(fleet: Fleet):
            async with StatusServer(status) as server:
                await set_up_forwarding(fleet, count=2)
                replace_leaf(fleet, "one-0", server.address)
                gateway = await ready_gateway(fleet)
                for number in range(6):
                    answer = await send_request(gateway, "/o/1", f"r{number}")
                    assert answer.status == 200

        run(scenario, tmp_path)

    # Guards against such a part in the answer of a search.
    def test_is_no_part_of_a_search(self, tmp_path, status):
        async def scenario(fleet: Fleet):
            async with StatusServer(status) as server:
                await set_up_search(fleet)
                for copy in range(2):
                    replace_leaf(fleet, f"{SHARDS[0]}-{copy}", server.address)
                gateway = await ready_gateway(fleet)
                answer = await send_request(gateway, "/s/1", "r1")
                assert answer.status == 200
                assert answer.value_by_header["x-missing-parts"] == "1"
                assert "odd" not in answer.value_by_header["x-part-stamps"]

        run(scenario, tmp_path)

    # Guards against an instance of an earlier version that passes it on.
    def test_is_no_response_of_another_instance(self, status):
        body = encode_message(ForwardResult(int(status), [], BODY))
        with pytest.raises(msgspec.ValidationError):
            decode_message(body, ForwardResult)
