"""JSON encoding of typed messages, by msgspec.

Messages are frozen dataclasses with slots; an unknown field is ignored so
that instances of two releases understand each other.
"""

from typing import Any
from typing import TypeVar

import msgspec

T = TypeVar("T")

_encoder = msgspec.json.Encoder()
_decoder_by_type: dict[Any, msgspec.json.Decoder] = {}


def encode(message: Any) -> bytes:
    """Return the message as JSON in UTF-8."""
    return _encoder.encode(message)


def decode(data: bytes, message_type: type[T]) -> T:
    """Return the message of ``message_type`` that ``data`` holds.

    Raises msgspec.ValidationError, whose text names path and type, if the
    fields do not fit, and msgspec.DecodeError if ``data`` is not JSON.
    """
    decoder = _decoder_by_type.get(message_type)
    if decoder is None:
        decoder = msgspec.json.Decoder(message_type)
        _decoder_by_type[message_type] = decoder
    return decoder.decode(data)
