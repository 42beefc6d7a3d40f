"""JSON encoding and decoding of typed messages with msgspec.

Messages are frozen dataclasses with slots.  Unknown fields are ignored, so
that instances of different releases can exchange messages.
"""

from typing import Any
from typing import TypeVar

import msgspec

T = TypeVar("T")

_encoder = msgspec.json.Encoder()
_decoder_by_type: dict[Any, msgspec.json.Decoder] = {}


def encode(message: Any) -> bytes:
    """Return the message encoded as UTF-8 JSON."""
    return _encoder.encode(message)


def decode(data: bytes, message_type: type[T]) -> T:
    """Decode ``data`` into a ``message_type``.

    Raises msgspec.ValidationError, whose text names the path and the
    expected type, if a field does not match, and msgspec.DecodeError if
    ``data`` is not JSON.
    """
    decoder = _decoder_by_type.get(message_type)
    if decoder is None:
        decoder = msgspec.json.Decoder(message_type)
        _decoder_by_type[message_type] = decoder
    return decoder.decode(data)
