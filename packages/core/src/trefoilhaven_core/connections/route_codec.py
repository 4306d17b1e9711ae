"""Encoding of the routes that balancers exchange."""

from typing import Final

import msgspec
from trefoilhaven_core.connections.routes import RouteConfiguration

# Name under which the routes are exchanged along with the configurations of
# services. The name of a service can't begin with ``@``.
ROUTES_NAME: Final = '@routes'

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(RouteConfiguration)


def encode_routes(configuration: RouteConfiguration) -> bytes:
    """Return routes as MessagePack."""
    return _encoder.encode(configuration)


def decode_routes(content: bytes) -> RouteConfiguration:
    """Return routes from MessagePack; raises ``msgspec.MsgspecError``."""
    return _decoder.decode(content)
