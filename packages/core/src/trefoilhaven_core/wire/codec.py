"""Codec of the datagrams between the system's processes.

A datagram is a msgpack array of the message's kind, the sender's hybrid
logical clock and the message itself, for example
``[3, 112589990684262400, ["classroom-desk", ...]]``.
"""

from typing import Final, NamedTuple

import msgspec
from expression import Error, Ok, Result

from trefoilhaven_core.wire.decoding import DECODE_ERRORS
from trefoilhaven_core.wire.kinds import MESSAGE_KINDS, KindTable

# The largest payload of a UDP datagram over IPv4, in bytes.
MAX_DATAGRAM_BYTES: Final = 65_507


class Decoded(NamedTuple):
    """A message with the hybrid logical clock of its sender."""

    clock: int
    message: NamedTuple


class DecodeError(NamedTuple):
    """Why a datagram could not be decoded."""

    reason: str


class Codec:
    """Encodes and decodes the message types of a table of kinds."""

    def __init__(self, kinds: KindTable) -> None:
        """Create one decoder for each kind."""
        self._numbers = {kind: number for number, kind in kinds.items()}
        self._decoders = {
            number: msgspec.msgpack.Decoder(kind)
            for number, kind in kinds.items()
        }
        self._envelope = msgspec.msgpack.Decoder(tuple[int, int, msgspec.Raw])
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: NamedTuple, clock: int = 0) -> bytes:
        """Return the datagram of a message.

        Raises ``KeyError`` for a type that is not in the table.
        """
        number = self._numbers[type(message)]
        return self._encoder.encode((number, clock, message))

    def decode(self, datagram: bytes) -> Result[Decoded, DecodeError]:
        """Return the message of a datagram, or why it is malformed."""
        read = self.read(datagram)
        return Error(read) if isinstance(read, DecodeError) else Ok(read)

    def read(self, datagram: bytes) -> Decoded | DecodeError:
        """Decode a datagram as ``decode`` does, without a ``Result``.

        Sockets use this, since constructing a ``Result`` for each datagram
        took a tenth of an agent's time.
        """
        try:
            number, clock, content = self._envelope.decode(datagram)
        except DECODE_ERRORS as exc:
            return DecodeError(f'not an envelope: {exc}')
        decoder = self._decoders.get(number)
        if decoder is None:
            return DecodeError(f'unknown message kind {number}')
        try:
            return Decoded(clock, decoder.decode(content))
        except DECODE_ERRORS as exc:
            return DecodeError(f'kind {number}: {exc}')


def make_codec() -> Codec:
    """Return the codec of all messages of the system."""
    return Codec(MESSAGE_KINDS)
