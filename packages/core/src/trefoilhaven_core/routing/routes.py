"""Routing of flow packets at a balancer: address to service to agent.

Routes depend on the configuration and the members only. No state is kept
per flow, so memory use does not grow with the number of open flows.
"""

from collections.abc import Collection, Mapping
from enum import Enum
from typing import NamedTuple

import msgspec

from trefoilhaven_core.flows.messages import FlowKey, FlowPacket
from trefoilhaven_core.membership.messages import Address, Member
from trefoilhaven_core.routing.tables import (
    BucketTable,
    bucket_of,
    build_table,
    hash_item,
)

_encoder = msgspec.msgpack.Encoder()


class NoRoute(Enum):
    """Why a packet has no route."""

    unknown_address = 'unknown address'
    wrong_service = 'wrong service'
    no_target = 'no target'


class Route(NamedTuple):
    """The agent that receives a packet, and the packet with its service."""

    target: str
    address: Address
    packet: FlowPacket


def flow_item(service: str, flow: FlowKey) -> int:
    """Return the item hash of a flow within its service."""
    return hash_item(service, _encoder.encode(flow))


class FlowRoutes:
    """Bucket tables of all services that a balancer routes to."""

    def __init__(self) -> None:
        self._services: dict[Address, str] = {}
        self._tables: dict[str, BucketTable] = {}
        self._addresses: dict[str, dict[str, Address]] = {}

    def set_services(self, services: Mapping[Address, str]) -> None:
        """Replace the mapping of addresses to services."""
        self._services = dict(services)

    def set_members(self, service: str, eligible: Collection[Member]) -> None:
        """Replace the eligible members of a service.

        The bucket table is recomputed only if the set of targets changed.
        """
        self._addresses[service] = {
            member.target: member.flow for member in eligible
        }
        names = tuple(sorted(self._addresses[service]))
        table = self._tables.get(service)
        if table is None or table.targets != names:
            self._tables[service] = build_table(service, names)

    def table(self, service: str) -> BucketTable | None:
        """Return the bucket table of a service, None if it is unknown."""
        return self._tables.get(service)

    def route(self, packet: FlowPacket) -> Route | NoRoute:
        """Return the route of a packet received from the fabric.

        A packet that already names a service must name the one of its
        destination address.
        """
        destination = Address(
            packet.flow.destination_host,
            packet.flow.destination_port,
        )
        service = self._services.get(destination)
        if service is None:
            return NoRoute.unknown_address
        if packet.service not in {'', service}:
            return NoRoute.wrong_service
        table = self._tables.get(service)
        if table is None:
            return NoRoute.no_target
        target = table.first(bucket_of(flow_item(service, packet.flow)))
        if target is None:
            return NoRoute.no_target
        return Route(
            target,
            self._addresses[service][target],
            packet._replace(service=service, hops=0, incarnation=0),
        )
