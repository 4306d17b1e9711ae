"""Questions to the processes of the system."""

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

# Calls that are open at once, to stay below usual limits of open files.
MAX_OPEN_CALLS = 64

_CODEC = make_codec()
_GONE = frozenset((MemberState.dead, MemberState.left))

_Reply = TypeVar('_Reply', bound=tuple)


class Process(NamedTuple):
    """A process as a balancer knows it.

    ``service`` is that of an agent and empty for a balancer.
    """

    name: str
    rpc: Address
    service: str = ''


class Unreachable(NamedTuple):
    """A process that gave no answer."""

    process: str
    reason: str


class Answers(NamedTuple, Generic[_Reply]):
    """Answers with their processes, and the processes without one."""

    given: list[tuple[Process, _Reply]]
    unreachable: list[Unreachable]

    @property
    def replies(self) -> list[_Reply]:
        """The answers alone."""
        return [reply for _, reply in self.given]


async def ask(
    address: Address,
    message: Any,
    kind: type[_Reply],
) -> Result[_Reply, CallError]:
    """Send a message and return the answer of the expected kind."""
    answer = await call_peer(address, message, codec=_CODEC)
    if answer.is_error():
        return Error(answer.error)
    reply = answer.ok.message
    if isinstance(reply, kind):
        return Ok(reply)
    return Error(CallError(address, f'sent a {type(reply).__name__}'))


async def ask_balancer(
    address: Address,
    message: Any,
    kind: type[_Reply],
) -> _Reply:
    """Ask the balancer of the command line; ends the command on failure."""
    answer = await ask(address, message, kind)
    if answer.is_error():
        fail(ExitCode.unreachable, f'balancer {answer.error}')
    return answer.ok


async def ask_all(
    processes: Iterable[Process],
    message: Any,
    kind: type[_Reply],
) -> Answers[_Reply]:
    """Ask processes at the same time."""
    gate = asyncio.Semaphore(MAX_OPEN_CALLS)
    listing = list(processes)

    async def ask_one(process: Process) -> Result[_Reply, CallError]:
        async with gate:
            return await ask(process.rpc, message, kind)

    answers = await asyncio.gather(*map(ask_one, listing))
    pairs = list(zip(listing, answers, strict=True))
    return Answers(
        [(process, answer.ok) for process, answer in pairs if answer.is_ok()],
        [
            Unreachable(process.name, str(answer.error))
            for process, answer in pairs
            if answer.is_error()
        ],
    )


async def find_processes(
    balancer: Address,
    *,
    with_dead: bool = False,
) -> list[Process]:
    """Return all processes that a balancer knows and that did not leave."""
    status = await ask_balancer(balancer, StatusRequest(), StatusReply)
    return known_processes(status, balancer, with_dead=with_dead)


def known_processes(
    status: StatusReply,
    balancer: Address,
    *,
    with_dead: bool = False,
) -> list[Process]:
    """Return the processes in a balancer's status, itself included.

    Dead ones are asked as well where an operator looks for a fault: they
    may only be cut off from the balancer, and are named if they are not
    reachable.
    """
    gone = {MemberState.left} if with_dead else _GONE
    known = {status.process: Process(status.process, balancer)}
    for record in status.balancers:
        if record.state not in gone:
            known.setdefault(record.name, Process(record.name, record.rpc))
    for each in status.members:
        member = each.member
        if member.state not in gone:
            name = f'{member.service}/{member.target}'
            known.setdefault(name, Process(name, member.rpc, member.service))
    return list(known.values())
