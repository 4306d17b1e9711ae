"""Waits until a published version is in force on every live process.

Processes that the balancer knows as dead or left are not called.
"""

import asyncio
import time
from collections.abc import Iterable, Mapping

import typer

from trefoilhaven.commands.codes import ExitCode
from trefoilhaven.commands.printing import print_error
from trefoilhaven.commands.process_calls import (
    Process,
    call_all,
    find_processes,
)
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.settings import defaults
from trefoilhaven_core.telemetry.messages import StatusReply, StatusRequest


async def wait_until_in_force(
    balancer: Address,
    required_versions: Mapping[str, int],
    timeout_s: float = defaults.PUBLISH_WAIT_S,
) -> ExitCode:
    """Poll the live processes until all have the required versions.

    The versions are by service. After ``timeout_s`` seconds, prints an error
    for each process that has not acknowledged and returns
    ``ExitCode.unknown``.
    """
    started_s = time.monotonic()
    while True:
        lagging = await _find_lagging_processes(balancer, required_versions)
        waited_s = time.monotonic() - started_s
        if not lagging:
            typer.echo(f'in force on every live process after {waited_s:.1f} s')
            return ExitCode.ok
        if waited_s > timeout_s:
            for line in lagging:
                print_error(line)
            return ExitCode.unknown
        await asyncio.sleep(defaults.PUBLISH_POLL_S)


async def _find_lagging_processes(
    balancer: Address,
    required_versions: Mapping[str, int],
) -> list[str]:
    processes = await find_processes(balancer)
    results = await call_all(processes, StatusRequest(), StatusReply)
    unreachable = [
        f'{failure.process} has not acknowledged: {failure.reason}'
        for failure in results.unreachable
    ]
    return find_lagging(results.answered, required_versions) + unreachable


def find_lagging(
    answered: Iterable[tuple[Process, StatusReply]],
    required_versions: Mapping[str, int],
) -> list[str]:
    """Return a line for each process that has an older version.

    Balancers need the versions of all services, agents only the version of
    their own service. A service without a version counts as version 0.
    """
    return [
        f'{process.name} has version {reply.versions.get(service, 0)} of '
        f'{service}, not {version}'
        for process, reply in answered
        for service, version in required_versions.items()
        if process.service in {'', service}
        and reply.versions.get(service, 0) < version
    ]
