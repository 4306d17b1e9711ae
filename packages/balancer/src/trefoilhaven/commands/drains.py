"""The commands ``drain`` and ``undrain``."""

import asyncio
from typing import Annotated

import typer

from trefoilhaven.commands.codes import ExitCode
from trefoilhaven.commands.options import Balancer, read_address
from trefoilhaven.commands.printing import fail
from trefoilhaven.commands.process_calls import call_balancer, call_process
from trefoilhaven_core.membership.messages import Address, Member
from trefoilhaven_core.telemetry.messages import (
    DrainReply,
    DrainRequest,
    StatusReply,
    StatusRequest,
)

_Target = Annotated[str, typer.Argument(help='Name of the target.')]
_Service = Annotated[
    str,
    typer.Option(help='Service of the target, if several have the name.'),
]


def drain(target: _Target, balancer: Balancer, service: _Service = '') -> None:
    """Stop sending new work to a target; open work continues.

    Example: trefoilhaven drain certify-2 --balancer 127.0.1.1:9002
    """
    asyncio.run(_request(read_address(balancer), service, target, drain=True))
    typer.echo(f'{target} is draining')


def undrain(
    target: _Target,
    balancer: Balancer,
    service: _Service = '',
) -> None:
    """Send new work to a target again.

    Example: trefoilhaven undrain certify-2 --balancer 127.0.1.1:9002
    """
    asyncio.run(_request(read_address(balancer), service, target, drain=False))
    typer.echo(f'{target} takes new work')


async def _request(
    balancer: Address,
    service: str,
    target: str,
    *,
    drain: bool,
) -> None:
    status = await call_balancer(balancer, StatusRequest(), StatusReply)
    member = _find_member(status, service, target)
    message = DrainRequest(member.service, target, drain)
    called = await call_process(member.rpc, message, DrainReply)
    if called.is_error():
        # The agent may have got the request although no reply arrived.
        fail(ExitCode.unreachable, f'{target}: {called.error}')
    if not called.ok.accepted:
        fail(ExitCode.refused, f'{target} refuses: {called.ok.reason}')


def _find_member(status: StatusReply, service: str, target: str) -> Member:
    found = [
        each.member
        for each in status.members
        if each.member.target == target and service in {'', each.member.service}
    ]
    if not found:
        message = f'{status.process} does not know target {target}'
        fail(
            ExitCode.refused, f'{message} of {service}' if service else message
        )
    if len(found) > 1:
        services = ', '.join(sorted(member.service for member in found))
        fail(
            ExitCode.refused,
            f'{target} exists in {services}; specify --service',
        )
    return found[0]
