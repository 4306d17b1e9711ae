"""Call of a balancer to an agent, whose answer goes to the caller."""

import asyncio
from typing import NamedTuple

from grpclib.client import Channel

from trefoilhaven_core.membership.messages import Load
from trefoilhaven_core.wire.channels import CALL_ERRORS
from trefoilhaven_core.wire.proto.calls_grpc import PlacementStub
from trefoilhaven_core.wire.proto.calls_pb2 import (
    AnswerPart,
    Closing,
    Outcome,
    PlacedRequest,
)


class CallFailed(NamedTuple):
    """The call ended without a closing part."""

    reason: str


class AgentCall:
    """Reads the answer of one call in a task of its own.

    Reading goes on after a wait for a part has timed out, so that the wait
    can be interrupted without ending the call.
    """

    def __init__(
        self,
        channel: Channel,
        placed: PlacedRequest,
        *,
        to_owner: bool,
        timeout_s: float,
    ) -> None:
        """Start the call; ``to_owner`` selects ``Decide``, not ``Run``."""
        stub = PlacementStub(channel)
        self._method = stub.Decide if to_owner else stub.Run
        self.request = placed.request
        self._placed = placed
        self._timeout_s = timeout_s
        self._parts: asyncio.Queue[AnswerPart | CallFailed] = asyncio.Queue()
        self._task = asyncio.create_task(self._read())

    async def next_part(self, wait_s: float) -> AnswerPart | CallFailed | None:
        """Return the next part, or None if none comes in ``wait_s`` seconds."""
        try:
            return await asyncio.wait_for(self._parts.get(), wait_s)
        except TimeoutError:
            return None

    def cancel(self) -> None:
        """End the call, which cancels the request at the agent."""
        self._task.cancel()

    async def _read(self) -> None:
        try:
            async with self._method.open(timeout=self._timeout_s) as stream:
                await stream.send_message(self._placed, end=True)
                async for part in stream:
                    await self._parts.put(part)
                    if part.HasField('closing'):
                        return
        except CALL_ERRORS as exc:
            await self._parts.put(CallFailed(repr(exc)))
            return
        await self._parts.put(CallFailed('the answer was cut off'))


def make_closing_part(
    service: str,
    key: str,
    outcome: Outcome,
    reason: str,
    retry_after_s: float = 0,
) -> AnswerPart:
    """Return the closing part of an answer without content."""
    closing = Closing(
        outcome=outcome,
        reason=reason,
        retry_after_s=retry_after_s,
    )
    return AnswerPart(service=service, key=key, closing=closing)


def load_of(closing: Closing) -> Load:
    """Return the load of the target that a closing part carries."""
    return Load(
        0,
        closing.busy_slots,
        closing.queued,
        closing.wait_s,
        0,
    )
