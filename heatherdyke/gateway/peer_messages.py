"""What instances say to one another about a search.

Messages are MessagePack, because records and signatures are raw bytes.
"""

import msgspec

from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.routing import Route

PATH = b"/peer/search"
REST_PATH = b"/peer/search/rest"
HEALTH_PATH = "/peer/health"


class GroupRequest(msgspec.Struct, array_like=True):
    """Asks for some shards of a search.

    ``config_version`` is the version that the asker has in force.
    ``due_s`` is how long the asker waits for what is there by then,
    ``limit_s`` how long at the most; both from the message's arrival.
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
    """The greatest records of the shards that have answered since the last.

    ``parts`` holds shards and signatures, ``missing`` the other shards with
    the leafs that were asked.  While ``is_open`` they may still answer; a
    RestRequest brings them.
    """

    parts: list[tuple[str, bytes]]
    records: bytes
    missing: list[str]
    sent: int
    extra_sends: int
    is_open: bool


class RestRequest(msgspec.Struct, array_like=True):
    """Asks for what came after an open result, within ``due_s``."""

    request_id: bytes
    first_shard: str
    due_s: float


_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(GroupRequest)
_rest_decoder = msgspec.msgpack.Decoder(RestRequest)
_result_decoder = msgspec.msgpack.Decoder(GroupResult)


def encode_message(
    message: GroupRequest | GroupResult | RestRequest,
) -> bytes:
    """Return a message's bytes."""
    return _encoder.encode(message)


def decode_request(body: bytes) -> GroupRequest:
    """Return a request; raises msgspec.MsgspecError if it is none."""
    return _request_decoder.decode(body)


def decode_rest(body: bytes) -> RestRequest:
    """Return a request for the rest; raises msgspec.MsgspecError."""
    return _rest_decoder.decode(body)


def decode_result(body: bytes) -> GroupResult:
    """Return a result; raises msgspec.MsgspecError if it is none."""
    return _result_decoder.decode(body)


def group_request(
    request: ClientRequest,
    route: Route,
    shards: tuple[str, ...],
    config_version: int,
) -> GroupRequest:
    """Return the message for some shards of a client's request."""
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
