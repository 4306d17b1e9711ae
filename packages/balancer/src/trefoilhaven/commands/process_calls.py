"""Calls of operator commands to balancers and agents."""

import asyncio
from collections.abc import Iterable
from typing import Any, Generic, NamedTuple, TypeVar

from expression import Error, Ok, Result

from trefoilhaven.commands.codes import ExitCode
from trefoilhaven.commands.printing import fail
from trefoilhaven_core.membership.messages import Address, MemberState
from trefoilhaven_core.telemetry.messages import StatusReply, StatusRequest
from trefoilhaven_core.wire.calls import (
    CallError,
    call_peer,
)
from trefoilhaven_core.wire.codec import make_codec

# Maximum number of concurrent calls. Each has a connection of its own, and
# the limit keeps them below common limits on open files.
MAX_OPEN_CALLS = 64

_CODEC = make_codec()
_DEAD_OR_LEFT = frozenset((MemberState.dead, MemberState.left))

_Reply = TypeVar('_Reply', bound=tuple)


class Process(NamedTuple):
    """A process as a balancer knows it.

    ``service`` is the service of an agent and empty for a balancer.
    """

    name: str
    rpc: Address
    service: str = ''


class Unreachable(NamedTuple):
    """A process that gave no usable reply, and why."""

    process: str
    reason: str


class CallResults(NamedTuple, Generic[_Reply]):
    """Processes with their replies, and the unreachable processes."""

    answered: list[tuple[Process, _Reply]]
    unreachable: list[Unreachable]

    @property
    def replies(self) -> list[_Reply]:
        """The replies without their processes."""
        return [reply for _, reply in self.answered]


async def call_process(
    address: Address,
    message: Any,
    reply_type: type[_Reply],
) -> Result[_Reply, CallError]:
    """Send a message and return the reply; another type is an error."""
    called = await call_peer(address, message, codec=_CODEC)
    if called.is_error():
        return Error(called.error)
    reply = called.ok.message
    if isinstance(reply, reply_type):
        return Ok(reply)
    return Error(CallError(address, f'sent a {type(reply).__name__}'))


async def call_balancer(
    address: Address,
    message: Any,
    reply_type: type[_Reply],
) -> _Reply:
    """Call the balancer of the command line; exit the command on failure."""
    called = await call_process(address, message, reply_type)
    if called.is_error():
        fail(ExitCode.unreachable, f'balancer {called.error}')
    return called.ok


async def call_all(
    processes: Iterable[Process],
    message: Any,
    reply_type: type[_Reply],
) -> CallResults[_Reply]:
    """Call processes concurrently, ``MAX_OPEN_CALLS`` at a time."""
    semaphore = asyncio.Semaphore(MAX_OPEN_CALLS)
    listing = list(processes)

    async def call_one(process: Process) -> Result[_Reply, CallError]:
        async with semaphore:
            return await call_process(process.rpc, message, reply_type)

    results = await asyncio.gather(*map(call_one, listing))
    pairs = list(zip(listing, results, strict=True))
    return CallResults(
        [(process, called.ok) for process, called in pairs if called.is_ok()],
        [
            Unreachable(process.name, str(called.error))
            for process, called in pairs
            if called.is_error()
        ],
    )


async def find_processes(
    balancer: Address,
    *,
    include_dead: bool = False,
) -> list[Process]:
    """Return the processes that a balancer knows, itself included.

    Left processes are excluded, and dead ones without ``include_dead``.
    """
    status = await call_balancer(balancer, StatusRequest(), StatusReply)
    return known_processes(status, balancer, include_dead=include_dead)


def known_processes(
    status: StatusReply,
    balancer: Address,
    *,
    include_dead: bool = False,
) -> list[Process]:
    """Return the processes in a balancer's status, itself included.

    Commands that help to find a fault include dead processes: they may
    only be disconnected from the balancer, and are reported as unreachable
    if they do not reply.
    """
    excluded_states = {MemberState.left} if include_dead else _DEAD_OR_LEFT
    known = {status.process: Process(status.process, balancer)}
    for record in status.balancers:
        if record.state not in excluded_states:
            known.setdefault(record.name, Process(record.name, record.rpc))
    for each in status.members:
        member = each.member
        if member.state not in excluded_states:
            name = f'{member.service}/{member.target}'
            known.setdefault(name, Process(name, member.rpc, member.service))
    return list(known.values())
