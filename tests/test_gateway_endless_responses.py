"""Leafs that send a head or a body without end."""

import pytest

from heatherdyke.gateway.attempt import Attempt
from heatherdyke.gateway.leaf_connection import MAX_RESPONSE_BYTES
from heatherdyke.gateway.leaf_connection import LeafConnection
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import Failure

PIECE_BYTES = 65_536
MAX_PIECES = 4 * MAX_RESPONSE_BYTES // PIECE_BYTES


class Transport:
    def __init__(self) -> None:
        self.aborted = False

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        """Discard what the connection sends."""

    def abort(self) -> None:
        self.aborted = True


class TestEndlessResponse:
    # Guards against a leaf whose response never ends: it filled the memory
    # until the process was killed.
    @pytest.mark.parametrize(
        "start",
        [
            b"HTTP/1.1 200 OK\r\nX-Filler: ",
            b"HTTP/1.1 200 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
        ],
        ids=["head", "body", "declared length"],
    )
    def test_is_cut_off_and_counts_as_a_failure(self, start):
        outcomes: list[AttemptOutcome] = []
        connection = LeafConnection(pool=None)
        transport = Transport()
        connection.connection_made(transport)
        attempt = Attempt(
            number=1,
            request_id=b"r1",
            message=(b"",),
            is_head=False,
            pool=None,
            on_end=lambda attempt, outcome: outcomes.append(outcome),
        )
        connection.send(attempt)
        connection.data_received(start)
        for _ in range(MAX_PIECES):
            if transport.aborted:
                break
            connection.data_received(b"x" * PIECE_BYTES)
        assert transport.aborted
        assert [outcome.failure for outcome in outcomes] == [Failure.BROKEN]
