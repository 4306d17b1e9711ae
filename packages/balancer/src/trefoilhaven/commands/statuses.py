"""The command ``status``."""

import asyncio
from typing import Annotated

import typer

from trefoilhaven.commands.codes import ExitCode
from trefoilhaven.commands.options import (
    Balancer,
    Output,
    OutputFormat,
    read_address,
)
from trefoilhaven.commands.printing import (
    fail,
    format_table,
    print_error,
    print_json,
)
from trefoilhaven.commands.process_calls import (
    Unreachable,
    call_all,
    call_balancer,
    known_processes,
)
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.settings.printing import json_value
from trefoilhaven_core.telemetry.messages import (
    MemberStatus,
    StatusReply,
    StatusRequest,
)

_MEMBER_COLUMNS = [
    'SERVICE',
    'TARGET',
    'STATE',
    'HOST',
    'DOMAIN',
    'INCARNATION',
    'FLOWS',
    'BUSY',
    'QUEUED',
    'AGE',
]
_PROCESS_COLUMNS = ['PROCESS', 'ROLE', 'DOMAIN', 'INCARNATION', 'VERSIONS']

_Statuses = tuple[list[StatusReply], list[Unreachable]]


def status(
    balancer: Balancer,
    everywhere: Annotated[
        bool,
        typer.Option('--all', help='Ask every process, not one balancer.'),
    ] = False,
    service: Annotated[
        str,
        typer.Option(help='Only members of a service.'),
    ] = '',
    output: Output = OutputFormat.text,
) -> None:
    """Show members, loads and configuration versions.

    Example: trefoilhaven status --balancer 127.0.1.1:9002 --all
    """
    address = read_address(balancer)
    replies, unreachable = asyncio.run(
        _collect(address, service, everywhere=everywhere),
    )
    for failure in unreachable:
        print_error(f'{failure.process}: {failure.reason}')
    if output is OutputFormat.json:
        print_json(
            {
                'processes': [_to_json(reply) for reply in replies],
                'unreachable': [each._asdict() for each in unreachable],
            },
        )
        return
    typer.echo(format_table([_PROCESS_COLUMNS, *map(_process_row, replies)]))
    members = sorted(
        replies[0].members,
        key=lambda each: (each.member.service, each.member.target),
    )
    typer.echo(f'\nmembers as {replies[0].process} knows them:')
    typer.echo(format_table([_MEMBER_COLUMNS, *map(_member_row, members)]))


async def _collect(
    address: Address,
    service: str,
    *,
    everywhere: bool,
) -> _Statuses:
    request = StatusRequest(service)
    first = await call_balancer(address, request, StatusReply)
    if service and service not in first.versions and not first.members:
        message = f'{first.process} has no configuration of {service}'
        fail(ExitCode.refused, message)
    if not everywhere:
        return [first], []
    others = [
        process
        for process in known_processes(first, address, include_dead=True)
        if process.name != first.process
    ]
    results = await call_all(others, request, StatusReply)
    replies = sorted(
        results.replies,
        key=lambda reply: (reply.role != first.role, reply.process),
    )
    return [first, *replies], results.unreachable


def _to_json(reply: StatusReply) -> dict[str, object]:
    members = [
        {
            **json_value(each.member),
            'state': each.member.state.name,
            'load': json_value(each.load),
            'load_age_s': each.age_s,
        }
        for each in reply.members
    ]
    balancers = [
        {**json_value(each), 'state': each.state.name}
        for each in reply.balancers
    ]
    return {
        **json_value(reply),
        'members': members,
        'balancers': balancers,
    }


def _process_row(reply: StatusReply) -> list[str]:
    versions = ', '.join(
        f'{service} {version}'
        for service, version in sorted(reply.versions.items())
    )
    return [
        reply.process,
        reply.role,
        reply.failure_domain,
        str(reply.incarnation),
        versions or '-',
    ]


def _member_row(each: MemberStatus) -> list[str]:
    member, load, age_s = each
    return [
        member.service,
        member.target,
        member.state.name,
        member.host,
        member.failure_domain,
        str(member.incarnation),
        str(load.open_flows),
        str(load.busy_slots),
        str(load.queued),
        f'{age_s:.1f}s' if age_s >= 0 else '-',
    ]
