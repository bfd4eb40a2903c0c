"""Encode the messages between daemons as MessagePack."""

import typing

from grpclib.encoding import base
import msgspec

from basilspindle.peer.messages import fault

# First byte of an encoded message: the expected type or a fault in its place.
_MESSAGE_TAG = b'\x00'
_FAULT_TAG = b'\x01'
_Decoder = msgspec.msgpack.Decoder


class Codec(base.CodecBase):
    """Codec for message structs, used by grpclib."""

    __content_subtype__ = 'msgpack'
    __slots__ = ('_decoders', '_encoder')

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[type, _Decoder[typing.Any]] = {}

    def encode(self, message: typing.Any, message_type: typing.Any) -> bytes:
        """Encode a message, or a fault that is sent in its place."""
        tag = _FAULT_TAG if isinstance(message, fault.Fault) else _MESSAGE_TAG
        return tag + self._encoder.encode(message)

    def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
        """Decode a message or a fault; raises ``decoding.FAULTS``."""
        if not data:
            raise msgspec.DecodeError('the message is empty')
        if data[:1] == _FAULT_TAG:
            message_type = fault.Fault
        return self._decoder(message_type).decode(memoryview(data)[1:])

    def _decoder(self, message_type: type) -> '_Decoder[typing.Any]':
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = _Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder
