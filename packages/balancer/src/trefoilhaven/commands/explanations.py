"""The command ``explain``: which target owns a flow or request key."""

import asyncio
from typing import Annotated, Any, NamedTuple

import typer

from trefoilhaven.commands.codes import ExitCode
from trefoilhaven.commands.options import (
    Balancer,
    Output,
    OutputFormat,
    read_address,
    read_flow,
)
from trefoilhaven.commands.printing import fail, print_json
from trefoilhaven.commands.process_calls import call_balancer, call_process
from trefoilhaven_core.flows.resolvers import HOP_LIMIT
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.routing.routes import flow_item
from trefoilhaven_core.routing.tables import bucket_of, hash_item
from trefoilhaven_core.telemetry.messages import (
    ExplainReply,
    ExplainRequest,
    StatusReply,
    StatusRequest,
)


class Explanation(NamedTuple):
    """What the queried processes know; unknown names are empty.

    ``item`` is the hash of the flow or request key. ``first`` and
    ``second`` are the choices of the balancer's table. ``complete`` is
    false when an agent on the way to the owner could not be queried.
    """

    service: str
    subject: str
    item: int
    bucket: int
    first: str
    second: str
    owner: str
    holder: str
    steps: tuple[str, ...]
    complete: bool


def explain(
    balancer: Balancer,
    service: Annotated[str, typer.Option(help='Name of the service.')],
    flow: Annotated[
        str,
        typer.Option(
            metavar='PROTOCOL,IP,PORT,IP,PORT',
            help='Five-tuple of a flow.',
        ),
    ] = '',
    key: Annotated[str, typer.Option(help='Key of a request.')] = '',
    output: Output = OutputFormat.text,
) -> None:
    """Show the owner of a flow or key, step by step.

    The steps name the bucket and the table's choices.

    Example: trefoilhaven explain --balancer 127.0.1.1:9002
    --service certify --key receipt-17
    """
    if bool(flow) == bool(key):
        raise typer.BadParameter('specify either --flow or --key')
    if flow:
        item = flow_item(service, read_flow(flow))
    else:
        item = hash_item(service, key.encode())
    request = ExplainRequest(service, bucket_of(item), item)
    address = read_address(balancer)
    found = asyncio.run(_trace_owner(address, request, flow or key))
    if output is OutputFormat.json:
        print_json(found._asdict())
    else:
        for number, step in enumerate(found.steps, start=1):
            typer.echo(f'{number}. {step}')
        typer.echo(f'owner: {found.owner or "not known"}')
    if not found.complete:
        raise typer.Exit(ExitCode.unreachable)


async def _trace_owner(
    balancer: Address,
    request: ExplainRequest,
    subject: str,
) -> Explanation:
    status = await call_balancer(balancer, StatusRequest(), StatusReply)
    if request.service not in status.versions:
        message = f'{status.process} has no configuration of'
        fail(ExitCode.refused, f'{message} {request.service}')
    first = await call_balancer(balancer, request, ExplainReply)
    steps = [
        f'{subject} of {request.service} is in bucket {request.bucket}',
        f'{first.process}: the table names {first.first or "no target"} '
        f'first and {first.second or "no target"} second',
    ]
    owner, holder, complete = '', '', True
    target, visited = first.first, set[str]()
    while target and target not in visited and len(visited) < HOP_LIMIT:
        visited.add(target)
        reply = await _call_agent(status, request, target)
        if isinstance(reply, str):
            steps.append(reply)
            complete = False
            break
        steps.append(_describe(reply))
        holder = reply.holder or holder
        owner = target if reply.owns else ''
        target = reply.owner
    return Explanation(
        request.service,
        subject,
        request.item,
        request.bucket,
        first.first,
        first.second,
        owner,
        holder,
        tuple(steps),
        complete,
    )


async def _call_agent(
    status: StatusReply,
    request: ExplainRequest,
    target: str,
) -> Any:
    for each in status.members:
        member = each.member
        if (member.service, member.target) == (request.service, target):
            called = await call_process(member.rpc, request, ExplainReply)
            if called.is_ok():
                return called.ok
            return f'{target}: {called.error}'
    return f'{target}: {status.process} does not know its address'


def _describe(reply: ExplainReply) -> str:
    if reply.owns:
        owned = 'owns the bucket'
    elif reply.owner:
        owned = f'names {reply.owner} as the owner'
    else:
        owned = 'knows no owner'
    parts = [f'{reply.process}: {owned}']
    if reply.holder:
        parts.append(f'held by {reply.holder}')
    if reply.detail:
        parts.append(reply.detail)
    return '; '.join(parts)
