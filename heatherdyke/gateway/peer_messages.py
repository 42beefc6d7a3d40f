"""Messages between instances: shards, single requests, quarantine news.

They are encoded as MessagePack, as records and signatures are raw bytes.
Structs are encoded as arrays: the order of their fields is the format.
"""

import msgspec

from heatherdyke.gateway.leaf_crashes import CrashSighting
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.quarantine import Verdict
from heatherdyke.gateway.routing import Route

SEARCH_PATH = b"/peer/search"
REMAINDER_PATH = b"/peer/search/rest"
FORWARD_PATH = b"/peer/forward"
NEWS_PATH = b"/peer/quarantine"
HEALTH_PATH = "/peer/health"


class GroupRequest(msgspec.Struct, array_like=True):
    """Requests a group of shards of a search.

    ``config_version`` is the version that the sender has applied.  A partial
    result is due ``due_s`` after the arrival of the message; after
    ``limit_s`` the sender stops waiting.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    request_id: bytes
    route: str
    shards: list[str]
    record_limit: int
    rank: int
    max_attempts: int
    min_share: float
    objective_s: float
    home_regions: list[str]
    due_s: float = 0.0
    limit_s: float = 0.0
    config_version: int = 0


class GroupResult(msgspec.Struct, array_like=True):
    """The greatest records of the shards answered since the last result.

    ``parts`` holds the shards and signatures, ``missing`` the other shards
    with the leafs that were queried.  While ``is_open`` they may still
    answer; a RemainderRequest then fetches their records.
    """

    parts: list[tuple[str, bytes]]
    records: bytes
    missing: list[str]
    sent: int
    extra_sends: int
    is_open: bool


class RemainderRequest(msgspec.Struct, array_like=True):
    """Requests the parts that arrive within ``due_s`` after an open result."""

    request_id: bytes
    first_shard: str
    due_s: float


class ForwardRequest(msgspec.Struct, array_like=True):
    """Requests that a client's request is forwarded to a leaf of a service.

    After ``limit_s`` the sender stops waiting.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    request_id: bytes
    route: str
    service: str
    idempotent: bool
    rank: int
    max_attempts: int
    objective_s: float
    home_regions: list[str]
    limit_s: float = 0.0
    config_version: int = 0


class ForwardResult(msgspec.Struct, array_like=True):
    """The response to the client; 503 means that the request has not run."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class QuarantineNews(msgspec.Struct, array_like=True):
    """Crashes that one instance has seen, and verdicts on requests.

    The response to news has verdicts only.
    """

    sightings: list[CrashSighting] = []
    verdicts: list[Verdict] = []


_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(GroupRequest)
_remainder_decoder = msgspec.msgpack.Decoder(RemainderRequest)
_result_decoder = msgspec.msgpack.Decoder(GroupResult)
_forward_decoder = msgspec.msgpack.Decoder(ForwardRequest)
_forward_result_decoder = msgspec.msgpack.Decoder(ForwardResult)
_news_decoder = msgspec.msgpack.Decoder(QuarantineNews)


def encode_message(
    message: GroupRequest
    | GroupResult
    | RemainderRequest
    | ForwardRequest
    | ForwardResult
    | QuarantineNews,
) -> bytes:
    """Return the encoded message."""
    return _encoder.encode(message)


def decode_group_request(body: bytes) -> GroupRequest:
    """Decode a group request; raises MsgspecError if invalid."""
    return _request_decoder.decode(body)


def decode_remainder_request(body: bytes) -> RemainderRequest:
    """Decode a remainder request; raises MsgspecError if invalid."""
    return _remainder_decoder.decode(body)


def decode_group_result(body: bytes) -> GroupResult:
    """Decode a group result; raises MsgspecError if invalid."""
    return _result_decoder.decode(body)


def decode_forward_request(body: bytes) -> ForwardRequest:
    """Decode a forward request; raises MsgspecError if invalid."""
    return _forward_decoder.decode(body)


def decode_forward_result(body: bytes) -> ForwardResult:
    """Decode a forward result; raises MsgspecError if invalid."""
    return _forward_result_decoder.decode(body)


def decode_quarantine_news(body: bytes) -> QuarantineNews:
    """Decode quarantine news; raises MsgspecError if invalid."""
    return _news_decoder.decode(body)


def group_request(
    request: ClientRequest,
    route: Route,
    shards: tuple[str, ...],
    config_version: int,
) -> GroupRequest:
    """Return the message that requests some shards of a client's search."""
    return GroupRequest(
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        request_id=request.request_id,
        route=route.name,
        shards=list(shards),
        record_limit=route.record_limit,
        rank=route.rank,
        max_attempts=route.max_attempts,
        min_share=0.0,
        objective_s=route.objective_s,
        home_regions=sorted(route.home_regions),
        config_version=config_version,
    )


def forward_message(
    request: ClientRequest, route: Route, service: str, config_version: int
) -> ForwardRequest:
    """Return the message that has a client's request forwarded."""
    return ForwardRequest(
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        request_id=request.request_id,
        route=route.name,
        service=service,
        idempotent=route.idempotent,
        rank=route.rank,
        max_attempts=route.max_attempts,
        objective_s=route.objective_s,
        home_regions=sorted(route.home_regions),
        config_version=config_version,
    )


def client_request_of(
    message: GroupRequest | ForwardRequest, arrived_at: float
) -> ClientRequest:
    """Return the client's request that the message carries."""
    return ClientRequest(
        method=message.method,
        target=message.target,
        headers=message.headers,
        body=message.body,
        host="",
        request_id=message.request_id,
        wait_s=message.limit_s,
        arrived_at=arrived_at,
    )


def forward_route_of(message: ForwardRequest) -> Route:
    """Return the route that the message describes."""
    return Route(
        name=message.route,
        host="",
        path_prefix="",
        idempotent=message.idempotent,
        timeout_s=message.limit_s,
        objective_s=message.objective_s,
        rank=message.rank,
        max_attempts=message.max_attempts,
        home_regions=frozenset(message.home_regions),
    )


def route_of(message: GroupRequest) -> Route:
    """Return the route that the message describes."""
    return Route(
        name=message.route,
        host="",
        path_prefix="",
        idempotent=True,
        timeout_s=message.limit_s,
        objective_s=message.objective_s,
        rank=message.rank,
        max_attempts=message.max_attempts,
        shards=tuple(message.shards),
        record_limit=message.record_limit,
        min_share=message.min_share,
        home_regions=frozenset(message.home_regions),
    )
