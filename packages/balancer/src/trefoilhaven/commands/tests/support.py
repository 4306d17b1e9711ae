"""In-memory balancers and agents for tests of the commands."""

from typing import Any

from expression import Error, Ok, Result

from trefoilhaven_core.membership.messages import (
    Address,
    BalancerRecord,
    Load,
    Member,
    MemberState,
)
from trefoilhaven_core.telemetry import messages as telemetry
from trefoilhaven_core.timeline.messages import (
    TimelineEvent,
    TimelineReply,
    TimelineRequest,
)
from trefoilhaven_core.timeline.rings import EventRing
from trefoilhaven_core.wire.calls import CallError
from trefoilhaven_core.wire.codec import Codec, Decoded

FIRST_BALANCER = Address('127.0.1.1', 9002)
SECOND_BALANCER = Address('127.0.1.2', 9002)


def make_member(number: int, state: MemberState = MemberState.alive) -> Member:
    """Return the member ``certify-<number>``."""
    host = f'127.0.2.{number}'
    return Member(
        'certify',
        f'certify-{number}',
        f'host-{number}',
        'tt-south-a',
        1000 + number,
        1,
        state,
        Address(host, 9000),
        Address(host, 9001),
        Address(host, 9002),
        3,
    )


class Peers:
    """Fake processes that reply to the messages of operator commands.

    Calls to an address in ``silent`` fail as unreachable.
    """

    def __init__(self, members: list[Member]) -> None:
        """Set up two balancers and an agent for each member."""
        self.members = members
        self.silent: set[Address] = set()
        self.versions = {'certify': 1}
        self.owner = 'certify-2'
        self.drains: list[telemetry.DrainRequest] = []
        self._processes = {
            FIRST_BALANCER: 'entry-1',
            SECOND_BALANCER: 'entry-2',
        } | {member.rpc: member.target for member in members}

    async def call(
        self,
        address: Address,
        message: Any,
        *,
        codec: Codec,
    ) -> Result[Decoded, CallError]:
        """Replace ``call_peer``; messages pass through the codec."""
        if address in self.silent or address not in self._processes:
            return Error(CallError(address, 'is unreachable: refused'))
        request = codec.decode(codec.encode(message)).ok.message
        reply = self._answer(self._processes[address], request)
        return Ok(codec.decode(codec.encode(reply)).ok)

    def status(self, process: str) -> telemetry.StatusReply:
        """Return the status of a process."""
        second = BalancerRecord(
            'entry-2',
            'tt-south-b',
            2,
            1,
            MemberState.alive,
            Address('127.0.1.2', 9001),
            SECOND_BALANCER,
        )
        return telemetry.StatusReply(
            process,
            'balancer' if process.startswith('entry') else 'agent',
            'tt-south-a',
            1,
            self.versions,
            {'certify': tuple(each.target for each in self.members)},
            tuple(
                telemetry.MemberStatus(each, Load(open_flows=5), 0.1)
                for each in self.members
            ),
            (second,),
            {},
        )

    def _answer(self, process: str, message: Any) -> Any:
        match message:
            case telemetry.StatusRequest():
                return _only(self.status(process), message.service)
            case TimelineRequest():
                return self._timeline(process, message)
            case telemetry.DrainRequest():
                self.drains.append(message)
                refused = process == 'certify-3'
                return telemetry.DrainReply(
                    not refused,
                    'the last target' if refused else '',
                )
        return telemetry.ExplainReply(
            process,
            'certify-1',
            'certify-2',
            self.owner,
            owns=process == self.owner,
            holder='certify-3' if process == self.owner else '',
            detail='',
        )

    def _timeline(
        self,
        process: str,
        request: TimelineRequest,
    ) -> TimelineReply:
        ring = EventRing(process)
        clock = 100 - len(process)
        ring.add(TimelineEvent(clock, process, 'claim', 'certify'))
        ring.add(TimelineEvent(clock + 5, process, 'claim', 'collect'))
        return ring.answer(request)


def _only(
    reply: telemetry.StatusReply,
    service: str,
) -> telemetry.StatusReply:
    """Return the reply, without members for an unknown service."""
    if service in {'', 'certify'}:
        return reply
    return reply._replace(versions={}, registered={}, members=())
