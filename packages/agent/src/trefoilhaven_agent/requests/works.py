"""Calls from the agent to its target."""

import logging
from collections.abc import AsyncIterator
from typing import Final, NamedTuple

from grpclib.client import Channel

from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.wire.channels import CALL_ERRORS
from trefoilhaven_core.wire.proto.calls_grpc import WorkStub
from trefoilhaven_core.wire.proto.calls_pb2 import (
    IncarnationToken,
    WorkPart,
    WorkRequest,
)

logger = logging.getLogger(__name__)

# The target is on the same host: a probe that takes longer, in seconds, has
# failed.
PROBE_TIMEOUT_S: Final = 1.0


class TargetRefused(Exception):
    """The target refused a request without starting it."""


class TargetCallFailed(Exception):
    """The call ended without a full answer; the request may have run."""


class Work(NamedTuple):
    """A request as it is sent to the target."""

    key: str
    attempt: int
    idempotent: bool
    body: bytes


class TargetClient:
    """Client of the target's ``Work`` service."""

    def __init__(
        self,
        service: str,
        target: str,
        incarnation: int,
        address: Address,
    ) -> None:
        """Create a client; the connection opens with the first call."""
        self._token = IncarnationToken(
            service=service,
            target=target,
            incarnation=incarnation,
        )
        self._channel = Channel(address.host, address.port)
        self._stub = WorkStub(self._channel)

    async def register(self) -> bool:
        """Register the agent's incarnation; also probes the target.

        Returns False when the target refuses or can't be reached.
        """
        try:
            reply = await self._stub.Register(
                self._token,
                timeout=PROBE_TIMEOUT_S,
            )
        except CALL_ERRORS as exc:
            logger.debug('target probe failed', extra={'error': repr(exc)})
            return False
        return reply.accepted

    async def run(self, work: Work, timeout_s: float) -> AsyncIterator[bytes]:
        """Run a request and yield the contents of the answer's parts.

        Raises ``TargetRefused`` before the first part, ``TargetCallFailed``
        when the answer is cut off or the deadline passes. Closing the iterator
        cancels the request at the target.
        """
        req = WorkRequest(
            token=self._token,
            key=work.key,
            attempt=work.attempt,
            idempotent=work.idempotent,
            body=work.body,
        )
        last = False
        try:
            async with self._stub.Run.open(timeout=timeout_s) as stream:
                await stream.send_message(req, end=True)
                async for part in stream:
                    last = part.last
                    yield _content(part)
        except ConnectionRefusedError as exc:
            # No connection existed, so the target never saw the request.
            raise TargetRefused(repr(exc)) from exc
        except CALL_ERRORS as exc:
            raise TargetCallFailed(repr(exc)) from exc
        if not last:
            raise TargetCallFailed('the answer ended before its last part')

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()


def _content(part: WorkPart) -> bytes:
    if part.refused:
        raise TargetRefused('the target refused the request')
    return part.content
