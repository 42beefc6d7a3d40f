"""Messages between instances: shards, single requests, and news.

They are encoded as MessagePack, as records and signatures are raw bytes.
Structs are encoded as arrays: the order of their fields is the format.
"""

from typing import Annotated
from typing import TypeVar
from typing import get_args

import msgspec

from heatherdyke.gateway.leaf_crashes import CrashSighting
from heatherdyke.gateway.messages import MAX_FINAL_STATUS
from heatherdyke.gateway.messages import MIN_FINAL_STATUS
from heatherdyke.gateway.quarantine import Verdict

SEARCH_PATH = b"/peer/search"
REMAINDER_PATH = b"/peer/search/rest"
FORWARD_PATH = b"/peer/forward"
NEWS_PATH = b"/peer/quarantine"
ZONE_PATH = b"/peer/zone"
FRESHNESS_PATH = b"/peer/freshness"
HEALTH_PATH = "/peer/health"
# A message is decoded and applied in one turn of the event loop, and its
# items take far more memory than they have bytes.  A shard has at least one
# leaf, and more news is sent in several messages.
MAX_SHARDS = 16_384
MAX_FIELDS = 16_384
MAX_NEWS = 4096
MAX_PLACES = 1024
MAX_ATTEMPTS = 1024
MAX_KINDS = 16

Shards = Annotated[list[str], msgspec.Meta(max_length=MAX_SHARDS)]
Parts = Annotated[list[tuple[str, bytes]], msgspec.Meta(max_length=MAX_SHARDS)]
Fields = Annotated[
    list[tuple[bytes, bytes]], msgspec.Meta(max_length=MAX_FIELDS)
]
FinalStatus = Annotated[
    int, msgspec.Meta(ge=MIN_FINAL_STATUS, le=MAX_FINAL_STATUS)
]
LeafIds = Annotated[list[str], msgspec.Meta(max_length=MAX_ATTEMPTS)]
Places = Annotated[list[str], msgspec.Meta(max_length=MAX_PLACES)]
Keys = Annotated[list[str], msgspec.Meta(max_length=MAX_NEWS)]
Sightings = Annotated[list[CrashSighting], msgspec.Meta(max_length=MAX_NEWS)]
Verdicts = Annotated[list[Verdict], msgspec.Meta(max_length=MAX_NEWS)]


class GroupRequest(msgspec.Struct, array_like=True):
    """Requests a group of shards of a search.

    ``config_version`` is the version that the sender has applied.  A partial
    result is due ``due_s`` after the arrival of the message; after
    ``limit_s`` the sender stops waiting.
    """

    method: bytes
    target: bytes
    headers: Fields
    body: bytes
    request_id: bytes
    route: str
    shards: Shards
    record_limit: int
    rank: int
    max_attempts: int
    min_share: float
    objective_s: float
    home_regions: Places
    due_s: float = 0.0
    limit_s: float = 0.0
    config_version: int = 0


class GroupResult(msgspec.Struct, array_like=True):
    """The greatest records of the shards answered since the last result.

    ``parts`` holds the shards and signatures, ``missing`` the other shards
    with the leafs that were queried.  While ``is_open`` they may still
    answer; a RemainderRequest then fetches their records.
    """

    parts: Parts
    records: bytes
    missing: Shards
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

    After ``limit_s`` the sender stops waiting.  ``max_attempts`` is how many
    more leafs may get the request; the last four fields are those of
    PriorAttempts.
    """

    method: bytes
    target: bytes
    headers: Fields
    body: bytes
    request_id: bytes
    route: str
    service: str
    idempotent: bool
    rank: int
    max_attempts: int
    objective_s: float
    home_regions: Places
    limit_s: float = 0.0
    config_version: int = 0
    rejected_by: LeafIds = []
    counted: bool = False
    charged: bool = False
    careful: bool = False


class ForwardResult(msgspec.Struct, array_like=True):
    """The response to the client; 503 means that the request has not run."""

    status: FinalStatus
    headers: Fields
    body: bytes


class QuarantineNews(msgspec.Struct, array_like=True):
    """Crashes that one instance has seen, and verdicts on requests.

    The response to news has verdicts only: to news that ``asks``, the latest
    ones of the instance that responds, and for ``checks``, keys of requests,
    those that leafs have completed for it.
    """

    sightings: Sightings = []
    verdicts: Verdicts = []
    asks: bool = False
    checks: Keys = []


class ZoneReport(msgspec.Struct, array_like=True):
    """The zones that do not respond to an instance of ``zone``."""

    zone: str
    silent_zones: Places = []


class KindReport(msgspec.Struct, array_like=True):
    """No object of ``kind`` changed after one revision up to another.

    The store had no later revision ``age_s`` before the message was written.
    """

    kind: str
    after: int
    until: int
    age_s: float


Kinds = Annotated[list[KindReport], msgspec.Meta(max_length=MAX_KINDS)]


class FreshnessReport(msgspec.Struct, array_like=True):
    """What an instance knows of the store's latest changes.

    An empty one asks for that of another instance.  ``era`` is that of the
    store's revisions, None if the store states none.
    """

    kinds: Kinds = []
    era: int | None = None


PeerMessage = (
    GroupRequest
    | GroupResult
    | RemainderRequest
    | ForwardRequest
    | ForwardResult
    | QuarantineNews
    | ZoneReport
    | FreshnessReport
)
T = TypeVar("T", bound=PeerMessage)

_encoder = msgspec.msgpack.Encoder()
_decoder_by_type = {
    message_type: msgspec.msgpack.Decoder(message_type)
    for message_type in get_args(PeerMessage)
}


def encode_message(message: PeerMessage) -> bytes:
    """Return the encoded message."""
    return _encoder.encode(message)


def decode_message(body: bytes, message_type: type[T]) -> T:
    """Decode a message of this type; raises MsgspecError if invalid."""
    try:
        return _decoder_by_type[message_type].decode(body)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
