"""MessagePack by msgspec; the dataclasses are the schema, so nothing is generated."""

import msgspec

_ENCODER = msgspec.msgpack.Encoder()


def encode(message):
    """Return a message's bytes."""
    return _ENCODER.encode(message)


def make_decoder(message_type):
    """Return a function that reads one type of message."""
    return msgspec.msgpack.Decoder(message_type).decode
