"""Compressed expert maps, which relays pass on without decoding them.

A map of 72 ranks and 12 layers has some 2,600 numbers. Encoding it for each rank takes
most of a small host's time for an order, and a relay's link would be busy for 0.1 s.
"""

import itertools
import typing
import zlib

from google.protobuf import message as protobuf_message

from lycheegauge import errors
from lycheegauge.internal.protocol import codec, maporders

MAP_MAX_BYTES = 1_048_576
"""Size limit of a decompressed map."""


def pack_layers(layers: tuple[maporders.LayerPlacement, ...]) -> bytes:
    """Serializes and compresses a map."""
    held = [rank.experts for layer in layers for rank in layer.ranks]
    flat = maporders.FlatMap(
        len(layers[0].ranks) if layers else 0,
        tuple(map(len, held)),
        tuple(itertools.chain.from_iterable(held)),
    )
    serialized: bytes = codec.encode(flat).SerializeToString()
    return zlib.compress(serialized)


def unpack_layers(packed: bytes) -> tuple[maporders.LayerPlacement, ...]:
    """Reads a map.

    Raises:
        errors.BorderError: The bytes are not a map, or it is too large.
    """
    try:
        inflater = zlib.decompressobj()
        serialized = inflater.decompress(packed, MAP_MAX_BYTES)
        message_class: typing.Any = codec.find_message_class("FlatMap")
        flat: maporders.FlatMap = codec.decode(message_class.FromString(serialized))
    except (zlib.error, protobuf_message.DecodeError) as error:
        raise errors.BorderError(
            f"cannot read expert map: {error}", "decode"
        ) from error
    experts = iter(flat.experts)
    held = [
        maporders.RankExperts(tuple(itertools.islice(experts, size)))
        for size in flat.sizes
    ]
    is_whole = inflater.eof and sum(flat.sizes) == len(flat.experts)
    if not is_whole or flat.ranks < 1 or len(held) % flat.ranks:
        raise errors.BorderError("expert map is cut short or too large", "decode")
    return tuple(
        maporders.LayerPlacement(tuple(held[start : start + flat.ranks]))
        for start in range(0, len(held), flat.ranks)
    )
