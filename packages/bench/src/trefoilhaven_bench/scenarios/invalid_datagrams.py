"""Senders of invalid datagrams, none of which may reach a target."""

import random
import socket
from collections.abc import Iterable, Iterator
from typing import Final

from trefoilhaven_bench.deployments.running import Deployment
from trefoilhaven_bench.payloads import FlowQuestion, encode_payload
from trefoilhaven_bench.processes import parse_address
from trefoilhaven_core.flows.messages import FlowFlag, FlowKey, FlowPacket
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.wire.codec import make_codec

_UDP: Final = 17
_MAX_RANDOM_BYTES: Final = 1400
# An address without a service.
_UNKNOWN_ADDRESS: Final = Address('127.99.0.9', 9)


def send_malformed(
    deployment: Deployment,
    generator: random.Random,
    count: int,
) -> int:
    """Send random bytes and truncated packets to all UDP sockets.

    ``count`` datagrams go to each socket of the balancers and agents and to
    the fabric. Returns the number of datagrams that were sent.
    """
    addresses = [
        parse_address(child.plan.settings[kind])
        for child in deployment.children.values()
        if child.plan.role in {'balancer', 'agent'} and child.running
        for kind in ('flow', 'control')
    ]
    addresses.append(parse_address(deployment.layout.fabric_caller))
    whole = make_codec().encode(
        _packet(generator, '', _UNKNOWN_ADDRESS, 'none'),
    )
    payloads = [
        generator.randbytes(generator.randrange(_MAX_RANDOM_BYTES))
        if generator.random() < 0.5
        else whole[: generator.randrange(len(whole))]
        for _ in range(count)
    ]
    return _send_each(payloads, addresses)


def send_to_unknown(
    deployment: Deployment,
    generator: random.Random,
    count: int,
) -> int:
    """Send valid flow packets for an address without a service.

    Returns the number of datagrams that were sent.
    """
    codec = make_codec()
    payloads = [
        codec.encode(_packet(generator, '', _UNKNOWN_ADDRESS, 'none'))
        for _ in range(count)
    ]
    fabric = parse_address(deployment.layout.fabric_caller)
    return _send_each(payloads, [fabric])


def send_misdirected(
    deployment: Deployment,
    generator: random.Random,
    count: int,
) -> int:
    """Send packets of each service to the agents of all other services.

    Returns the number of datagrams that were sent.
    """
    codec = make_codec()
    sent = 0
    services = deployment.description.services
    for service in services:
        payloads = [
            codec.encode(
                _packet(
                    generator,
                    service.name,
                    parse_address(service.address),
                    service.name,
                ),
            )
            for _ in range(count)
        ]
        sent += _send_each(
            payloads,
            list(_agents_of_others(deployment, service.name)),
        )
    return sent


def _agents_of_others(
    deployment: Deployment,
    service: str,
) -> Iterator[Address]:
    for child in deployment.children.values():
        settings = child.plan.settings
        if child.plan.role == 'agent' and settings['service'] != service:
            yield parse_address(settings['flow'])


def _packet(
    generator: random.Random,
    service: str,
    destination: Address,
    payload_service: str,
) -> FlowPacket:
    flow = FlowKey(
        _UDP,
        '127.201.0.1',
        generator.randrange(1024, 65536),
        *destination,
    )
    question = FlowQuestion(
        payload_service,
        generator.getrandbits(62),
        1,
        0,
        b'',
    )
    flags = generator.choice(
        (FlowFlag.none, FlowFlag.first, FlowFlag.placed),
    )
    return FlowPacket(service, flow, flags, 0, 0, encode_payload(question))


def _send_each(
    payloads: list[bytes],
    addresses: Iterable[Address],
) -> int:
    sent = 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for address in addresses:
            for payload in payloads:
                sender.sendto(payload, address)
                sent += 1
    return sent
