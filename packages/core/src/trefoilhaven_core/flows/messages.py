"""Wire messages about packet flows."""

from enum import IntFlag
from typing import NamedTuple


class FlowFlag(IntFlag):
    """Flags of a flow packet."""

    none = 0
    first = 1
    last = 2
    reset = 4
    answer = 8
    placed = 16


class FlowKey(NamedTuple):
    """Five-tuple of a flow as the fabric sees it."""

    protocol: int
    source_host: str
    source_port: int
    destination_host: str
    destination_port: int


class FlowPacket(NamedTuple):
    """One datagram of a flow as balancers and agents forward it.

    ``service`` is empty on the way from the fabric to a balancer, which
    fills it in from the destination address. ``incarnation`` is that of
    the holder on a packet with the ``placed`` flag, otherwise 0.
    """

    service: str
    flow: FlowKey
    flags: FlowFlag
    hops: int
    incarnation: int
    payload: bytes


class FlowsEnded(NamedTuple):
    """Tells the owner of buckets which flows in them have ended.

    ``items`` holds pairs of bucket and flow hash.
    """

    service: str
    holder: str
    incarnation: int
    items: tuple[tuple[int, int], ...]
