"""Typed JSON bodies and RFC 9457 problem responses of the HTTP routes."""

from dataclasses import dataclass
from http import HTTPStatus
from math import ceil
from typing import Any
from typing import TypeVar

import msgspec
from blacksheep import Content
from blacksheep import Request
from blacksheep import Response

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import HeatherdykeError
from heatherdyke.request_errors import InvalidRequest
from heatherdyke.request_errors import RequestError
from heatherdyke.request_errors import RunState

T = TypeVar("T")

JSON_TYPE = b"application/json"
PROBLEM_TYPE = b"application/problem+json"


@dataclass(frozen=True, slots=True)
class Problem:
    """An RFC 9457 problem with heatherdyke's extension members."""

    type: str
    title: str
    status: int
    detail: str
    kind: str
    remedy: str
    run_state: RunState
    request_id: str = ""
    retry_after_s: float | None = None


def json_response(message: Any, status: int = 200) -> Response:
    """Return a JSON response with the message."""
    return Response(status, content=Content(JSON_TYPE, encode(message)))


def problem_response(
    error: HeatherdykeError, request_id: str = ""
) -> Response:
    """Return a problem response, with ``Retry-After`` if the error has it."""
    problem = _to_problem(error, request_id)
    response = Response(
        problem.status, content=Content(PROBLEM_TYPE, encode(problem))
    )
    if problem.retry_after_s is not None:
        seconds = max(1, ceil(problem.retry_after_s))
        response.headers.add(b"Retry-After", str(seconds).encode())
    return response


def encode_problem_response(error: RequestError) -> bytes:
    """Encode a problem response that closes its connection."""
    body = encode(_to_problem(error, ""))
    head = (
        f"HTTP/1.1 {error.status} {HTTPStatus(error.status).phrase}\r\n"
        f"Content-Type: {PROBLEM_TYPE.decode()}\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode("ascii") + body


async def read_message(request: Request, message_type: type[T]) -> T:
    """Decode the request body; raises InvalidRequest if it is malformed."""
    body = await request.read()
    try:
        return decode(body or b"", message_type)
    except msgspec.DecodeError as error:
        raise InvalidRequest(
            f"the body is not a {message_type.__name__}: {error}",
            "send a JSON object with the fields of this type",
        ) from error


def _to_problem(error: HeatherdykeError, request_id: str) -> Problem:
    status = 500
    run_state = RunState.MAY_HAVE_RUN
    retry_after_s = None
    if isinstance(error, RequestError):
        status = error.status
        run_state = error.run_state
        retry_after_s = error.retry_after_s
    return Problem(
        type=f"urn:heatherdyke:problem:{error.kind}",
        title=error.kind.replace("_", " "),
        status=status,
        detail=error.detail,
        kind=error.kind,
        remedy=error.remedy,
        run_state=run_state,
        request_id=request_id,
        retry_after_s=retry_after_s,
    )
