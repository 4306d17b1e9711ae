"""Policies of routes and services, beside the routes themselves.

They come from the same configuration as the routes and have its version.
Balancers exchange them apart from the routes, since a process that does not
know them yet would reject routes with further fields.
"""

from typing import Final, NamedTuple

import msgspec

from trefoilhaven_core.connections.routes import ServiceAddress

# Name under which the policies are exchanged along with the configurations
# of services.
POLICIES_NAME: Final = '@policies'


class RoutePolicy(NamedTuple):
    """What the callers of an address need.

    A request should be answered within ``objective_s`` and is given up after
    ``timeout_s``, both in seconds. ``priority`` is 0 for the most urgent
    requests. Requests that are not idempotent may run at most once.
    """

    address: ServiceAddress
    objective_s: float
    timeout_s: float
    priority: int
    is_idempotent: bool


class ServicePolicy(NamedTuple):
    """Warm-up limits of the targets of a service.

    A target is cold for ``cold_s`` seconds after its start. It can then
    handle ``cold_openings_per_s`` new connections a second.
    """

    service: str
    cold_s: float
    cold_openings_per_s: float


class Policies(NamedTuple):
    """All policies at one version of the configuration."""

    version: int = 0
    routes: tuple[RoutePolicy, ...] = ()
    services: tuple[ServicePolicy, ...] = ()


_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Policies)


def encode_policies(policies: Policies) -> bytes:
    """Return policies as MessagePack."""
    return _encoder.encode(policies)


def decode_policies(content: bytes) -> Policies:
    """Return policies from MessagePack; raises ``msgspec.MsgspecError``."""
    return _decoder.decode(content)
