"""The command ``timeline``."""

import asyncio
import time
from pathlib import Path
from typing import Annotated

import typer

from trefoilhaven.commands.codes import ExitCode
from trefoilhaven.commands.options import (
    Balancer,
    Output,
    OutputFormat,
    read_address,
    read_flow,
)
from trefoilhaven.commands.printing import fail, print_error, print_json
from trefoilhaven.commands.process_calls import (
    Unreachable,
    call_all,
    find_processes,
)
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.timeline.clocks import pack_stamp
from trefoilhaven_core.timeline.merges import format_event, merge_events
from trefoilhaven_core.timeline.messages import (
    TimelineEvent,
    TimelineReply,
    TimelineRequest,
)
from trefoilhaven_core.timeline.pictures import draw_timeline

_Timeline = tuple[list[TimelineReply], list[Unreachable]]


def timeline(
    balancer: Balancer,
    service: Annotated[str, typer.Option(help='Events of a service.')] = '',
    flow: Annotated[
        str,
        typer.Option(help='Events of a flow, as in explain.'),
    ] = '',
    key: Annotated[str, typer.Option(help='Events of a request key.')] = '',
    host: Annotated[str, typer.Option(help='Events of a host.')] = '',
    last: Annotated[
        float,
        typer.Option(min=0, metavar='SECONDS', help='Only recent events.'),
    ] = 0,
    picture: Annotated[
        Path | None,
        typer.Option(metavar='FILE.svg', help='Write a picture.'),
    ] = None,
    output: Output = OutputFormat.text,
) -> None:
    """Show the events of all processes in causal order.

    Example: trefoilhaven timeline --balancer 127.0.1.1:9002
    --service certify --last 60 --picture certify.svg
    """
    since = pack_stamp(time.time() - last) if last else 0
    request = TimelineRequest(service, flow, key, host, since)
    address = read_address(balancer)
    if flow:
        read_flow(flow)
    replies, unreachable = asyncio.run(_collect(address, request))
    events = merge_events(replies, request)
    for failure in unreachable:
        print_error(f'{failure.process}: {failure.reason}')
    if picture is not None:
        _write_picture(picture, events)
    if output is OutputFormat.json:
        print_json(
            {
                'events': [event._asdict() for event in events],
                'unreachable': [each._asdict() for each in unreachable],
                'overwritten': {
                    reply.process: reply.overwritten for reply in replies
                },
            },
        )
        return
    if not events:
        typer.echo('no events match', err=True)
    for event in events:
        typer.echo(format_event(event))


async def _collect(address: Address, request: TimelineRequest) -> _Timeline:
    processes = await find_processes(address, include_dead=True)
    results = await call_all(processes, request, TimelineReply)
    return results.replies, results.unreachable


def _write_picture(path: Path, events: tuple[TimelineEvent, ...]) -> None:
    try:
        path.write_text(draw_timeline(events), encoding='utf-8')
    except OSError as exc:
        fail(ExitCode.refused, f'{path} cannot be written: {exc.strerror}')
