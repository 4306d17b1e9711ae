"""Encoding of routes for their way between balancers."""

from typing import Final

import msgspec
from trefoilhaven_core.connections.routes import RouteConfiguration

# Name under which the routes travel beside the configurations of services,
# whose names can't begin with this sign.
ROUTES_NAME: Final = '@routes'

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(RouteConfiguration)


def encode_routes(configuration: RouteConfiguration) -> bytes:
    """Return routes as bytes."""
    return _encoder.encode(configuration)


def decode_routes(content: bytes) -> RouteConfiguration:
    """Return routes from bytes; raises ``msgspec.MsgspecError``."""
    return _decoder.decode(content)
