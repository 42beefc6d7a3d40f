"""A client of the search API, used by the command line."""

import msgspec

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import HeatherdykeError
from heatherdyke.messages import SearchAnswer
from heatherdyke.messages import SearchRequest
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.net.http_payloads import Problem

STATUS_OK = 200
DEFAULT_TIMEOUT_S = 60.0
# How long after a request's deadline its response is awaited.
RESPONSE_GRACE_S = 2.0


class RequestRefused(HeatherdykeError):
    """The instance responded with a status other than 200 and a problem."""

    kind = "refused"

    def __init__(self, problem: Problem) -> None:
        state = problem.run_state.value
        super().__init__(
            f"{problem.kind}: {problem.detail} ({state})", problem.remedy
        )
        self.problem = problem


class CallerClient:
    """Sends requests to one instance with a team's key."""

    __slots__ = ("_address", "_key")

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._key = key

    async def search(self, request: SearchRequest) -> SearchAnswer:
        """Return the answer.

        Raises RequestRefused, TransportError, HeatherdykeError if an error
        response contains no problem document, or msgspec.DecodeError if an
        answer is malformed.
        """
        timeout_s = DEFAULT_TIMEOUT_S
        if request.deadline_ms is not None:
            timeout_s = request.deadline_ms / 1000 + RESPONSE_GRACE_S
        connection = await HttpConnection.open(self._address)
        try:
            response = await connection.request(
                "POST",
                "/search",
                encode(request),
                timeout_s,
                f"Authorization: Bearer {self._key}\r\n",
            )
        finally:
            connection.close()
        if response.status != STATUS_OK:
            raise RequestRefused(_read_problem(response.body))
        return decode(response.body, SearchAnswer)


def describe_answer(answer: SearchAnswer) -> str:
    """Return the answer as human-readable lines."""
    lines = [
        f"snapshot {answer.snapshot}, coverage {answer.coverage_share:.1%}, "
        f"{answer.total} hits, cost {answer.cost} leaf searches, "
        f"{answer.elapsed_ms:.1f} ms"
    ]
    if answer.coverage.missing:
        lines.append("missing: " + ", ".join(answer.coverage.missing))
    for item in answer.items:
        lines.append(f"{item.score:.3f} {item.shard} {item.id} {item.text}")
    return "\n".join(lines)


def _read_problem(body: bytes) -> Problem:
    try:
        return decode(body, Problem)
    except msgspec.DecodeError as error:
        raise HeatherdykeError(
            f"the response is not a problem document: {error}",
            "check that the address belongs to an instance",
        ) from error
