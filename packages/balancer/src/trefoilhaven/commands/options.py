"""Options that several commands share."""

from enum import Enum
from pathlib import Path
from typing import Annotated

import typer

from trefoilhaven_core.flows.messages import FlowKey
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.settings.readers import is_platform_url, parse_address

_PROTOCOLS = range(256)
_FLOW_FIELDS = 5


class OutputFormat(Enum):
    """Format of a command's output."""

    text = 'text'
    json = 'json'


def read_address(text: str) -> Address:
    """Return an option's address; raise a usage error if malformed."""
    address = parse_address(text)
    if address is None:
        raise typer.BadParameter(f'{text!r} is not an address ip:port')
    return address


def read_url(text: str) -> str:
    """Return an option's URL; raise a usage error if malformed."""
    if not is_platform_url(text):
        raise typer.BadParameter(f'{text!r} is not http://ip:port')
    return text


def read_flow(text: str) -> FlowKey:
    """Return an option's five-tuple; raise a usage error if malformed."""
    parts = text.split(',')
    if len(parts) == _FLOW_FIELDS and parts[0].isdecimal():
        source = parse_address(':'.join(parts[1:3]))
        destination = parse_address(':'.join(parts[3:]))
        protocol = int(parts[0])
        if source and destination and protocol in _PROTOCOLS:
            return FlowKey(protocol, *source, *destination)
    raise typer.BadParameter(
        f'{text!r} is not a flow such as 17,127.0.0.1,4000,127.1.0.1,7000',
    )


Output = Annotated[
    OutputFormat,
    typer.Option('--output', help='Print text or JSON.'),
]
Balancer = Annotated[
    str,
    typer.Option(
        '--balancer',
        metavar='IP:PORT',
        help='gRPC address of a balancer.',
    ),
]
ServicePaths = Annotated[
    list[Path],
    typer.Argument(
        metavar='PATH...',
        help='Service files, or directories that contain service.json or '
        '*.service.json.',
    ),
]
