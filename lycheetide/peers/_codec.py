"""MessagePack encoding by msgspec. Dataclasses are the schema; nothing is generated."""

import msgspec

_ENCODER = msgspec.msgpack.Encoder()


def encode(message):
    """Return the encoded bytes of a message."""
    return _ENCODER.encode(message)


def make_decoder(message_type):
    """Return a function that decodes one type of message."""
    return msgspec.msgpack.Decoder(message_type).decode
