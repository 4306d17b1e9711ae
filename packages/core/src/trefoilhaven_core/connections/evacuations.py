"""Failure domains whose targets get no new connections.

An operator evacuates a failure domain by an object in the platform's store
and takes it back by removing the object. Processes exchange the complete set
of evacuated domains at one point of the store's history.
"""

from typing import Final, NamedTuple

import msgspec

# Name under which evacuations are exchanged along with the configurations of
# services.
EVACUATIONS_NAME: Final = '@evacuations'

# Bits of a version below those of the era. A store that makes 10,000 changes
# a second uses them up after 55 years, and 262,143 eras fit into the other
# bits of a version number.
_REVISION_BITS: Final = 44


class Evacuations(NamedTuple):
    """All evacuated failure domains at a revision of the store.

    ``era`` rises each time the store returns from an older copy, after which
    revisions are given out again.
    """

    era: int = 0
    revision: int = 0
    domains: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """Number that orders evacuations by era and revision."""
        return self.era << _REVISION_BITS | self.revision


_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Evacuations)


def encode_evacuations(evacuations: Evacuations) -> bytes:
    """Return evacuations as MessagePack; equal ones have equal bytes."""
    domains = tuple(sorted(evacuations.domains))
    return _encoder.encode((evacuations.era, evacuations.revision, domains))


def decode_evacuations(content: bytes) -> Evacuations:
    """Return evacuations from MessagePack.

    Raises ``msgspec.MsgspecError``.
    """
    return _decoder.decode(content)
