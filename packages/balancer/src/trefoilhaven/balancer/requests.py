"""Validation of callers' requests and their routing to an agent.

A non-idempotent request goes to the owner of its key's bucket, which alone
decides about it. An idempotent one goes to the target with the lowest
expected wait.
"""

import asyncio
import logging
from typing import Final, NamedTuple

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from trefoilhaven.balancer.agent_calls import (
    AgentCall,
    CallFailed,
    make_closing_part,
)
from trefoilhaven.balancer.idempotent_requests import IdempotentRequestHandler
from trefoilhaven.balancer.state import BalancerState
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.routing.tables import bucket_of, hash_item
from trefoilhaven_core.telemetry.logs import RateLimitedLog
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.channels import ChannelPool, remaining_s
from trefoilhaven_core.wire.proto.calls_grpc import RequestsBase
from trefoilhaven_core.wire.proto.calls_pb2 import (
    AnswerPart,
    CallerRequest,
    PlacedRequest,
)
from trefoilhaven_core.wire.proto import calls_pb2 as pb

logger = logging.getLogger(__name__)

MAX_BODY_BYTES: Final = 1_000_000
MAX_KEY_BYTES: Final = 256

# Delay before the next call to an owner, after one without a verdict or when
# no owner is known.
OWNER_RETRY_INTERVAL_S: Final = 0.1

# While an owner does not answer, it is looked up again at this interval.
OWNER_CHECK_INTERVAL_S: Final = 0.5

# Subtracted from the caller's deadline, in seconds, so that the outcome still
# arrives, but at most a tenth of the remaining time. It is also the minimum
# timeout of a call to an owner.
DEADLINE_MARGIN_S: Final = 0.05

CallerStream = Stream[CallerRequest, AnswerPart]


class _Owner(NamedTuple):
    """The agent to ask about a key, by the table or by a hint."""

    target: str
    address: Address


class RequestsTask(RequestsBase):
    """Serves the requests of callers."""

    def __init__(
        self,
        name: str,
        state: BalancerState,
        channels: ChannelPool,
        idempotent_handler: IdempotentRequestHandler,
    ) -> None:
        self._name = name
        self._state = state
        self._channels = channels
        self._idempotent_handler = idempotent_handler
        self._log = RateLimitedLog(logger)
        self._open = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._draining = False
        state.runtime.metrics.gauge('open_requests', lambda: self._open)

    async def drain(self) -> None:
        """Refuse new requests; return when none is in progress."""
        self._draining = True
        await self._idle.wait()

    async def Submit(self, stream: CallerStream) -> None:  # noqa: N802
        """Serve one request.

        Raises ``GRPCError``: ``INVALID_ARGUMENT`` with all findings, or
        ``UNAVAILABLE`` while the balancer is stopping.
        """
        req = await stream.recv_message()
        if req is None:
            raise GRPCError(Status.INVALID_ARGUMENT, 'no request was sent')
        if self._draining:
            raise GRPCError(
                Status.UNAVAILABLE,
                f'{self._name} is stopping; ask another balancer',
            )
        self._check(req)
        self._open += 1
        self._idle.clear()
        started = monotonic()
        try:
            await self._serve(stream, req, _deadline_of(stream, started))
        finally:
            self._open -= 1
            if not self._open:
                self._idle.set()

    def _check(self, req: CallerRequest) -> None:
        findings = []
        if self._state.configuration(req.service) is None:
            findings.append(f'service: "{req.service}" is not known')
        if not req.key or len(req.key.encode()) > MAX_KEY_BYTES:
            findings.append(f'key: must have 1 to {MAX_KEY_BYTES} bytes')
        if len(req.body) > MAX_BODY_BYTES:
            findings.append(
                f'body: {len(req.body)} bytes exceed {MAX_BODY_BYTES}',
            )
        if req.attempt < 1:
            findings.append('attempt: must be 1 or higher')
        if req.work_class not in {'', 'short', 'long'}:
            findings.append(f'work_class: "{req.work_class}" is not known')
        if findings:
            self._state.runtime.metrics.counter('bad_requests').add()
            raise GRPCError(Status.INVALID_ARGUMENT, '; '.join(findings))

    async def _serve(
        self,
        stream: CallerStream,
        req: CallerRequest,
        deadline: float,
    ) -> None:
        placed = PlacedRequest(
            request=req,
            sender=self._name,
            clock=self._state.runtime.clock.stamp(),
        )
        started = monotonic()
        if req.idempotent:
            closing = await self._idempotent_handler.serve(
                stream, placed, deadline
            )
        else:
            closing = await self._ask_owner(stream, placed, deadline)
        await stream.send_message(closing)
        metrics = self._state.runtime.metrics
        outcome = pb.Outcome.Name(closing.closing.outcome)
        metrics.counter(
            'requests',
            service=req.service,
            outcome=outcome.removeprefix('OUTCOME_').lower(),
        ).add()
        metrics.histogram('request_time').observe(
            monotonic() - started,
        )
        if closing.closing.outcome == pb.OUTCOME_UNKNOWN:
            self._log.warn(
                monotonic(),
                closing.closing.reason,
                'outcome unknown',
                service=req.service,
                request_key=req.key,
                reason=closing.closing.reason,
            )
            self._state.runtime.publish(
                'outcome unknown',
                req.service,
                request_key=req.key,
                detail=closing.closing.reason,
            )

    async def _ask_owner(
        self,
        stream: CallerStream,
        placed: PlacedRequest,
        deadline: float,
    ) -> AnswerPart:
        req = placed.request
        reason = 'no agent owns the bucket of the key'
        abandoned: list[AgentCall] = []
        hint = ''
        while monotonic() < deadline:
            owner = self._owner_of(req, hint)
            hint = ''
            if owner is None:
                await asyncio.sleep(OWNER_RETRY_INTERVAL_S)
                continue
            call = AgentCall(
                self._channels.get(owner.address),
                placed,
                to_owner=True,
                timeout_s=max(deadline - monotonic(), DEADLINE_MARGIN_S),
            )
            closing = await self._relay_answer(stream, call, owner, deadline)
            if isinstance(closing, AnswerPart):
                if closing.closing.outcome != pb.OUTCOME_NO_VERDICT:
                    return closing
                reason = closing.closing.reason
                hint = closing.closing.target
            elif closing is None:
                # The call stays open: ending it would cancel the request.
                abandoned.append(call)
                reason = f'{owner.target} is silent'
            else:
                reason = closing.reason
            await asyncio.sleep(OWNER_RETRY_INTERVAL_S)
        return make_closing_part(
            req.service, req.key, pb.OUTCOME_UNKNOWN, reason
        )

    async def _relay_answer(
        self,
        stream: CallerStream,
        call: AgentCall,
        owner: _Owner,
        deadline: float,
    ) -> AnswerPart | CallFailed | None:
        """Relay chunks to the caller; return how the call ended.

        Returns None when the owner has not answered and another agent owns
        the key now, or the deadline has passed.
        """
        req = call.request
        try:
            while True:
                part = await call.next_part(OWNER_CHECK_INTERVAL_S)
                if part is None:
                    moved = self._owner_of(req, '') != owner
                    if moved or monotonic() >= deadline:
                        return None
                elif isinstance(part, CallFailed) or part.HasField('closing'):
                    return part
                else:
                    await stream.send_message(part)
        except asyncio.CancelledError:
            # The caller cancelled or disconnected; the agent decides what
            # that means for the request.
            call.cancel()
            raise

    def _owner_of(self, req: CallerRequest, hint: str) -> _Owner | None:
        table = self._state.routes.table(req.service)
        if table is None:
            return None
        key_hash = hash_item(req.service, req.key.encode())
        target = hint or table.first(bucket_of(key_hash))
        member = target and self._state.store.member(req.service, target)
        return _Owner(member.target, member.rpc) if member else None


def _deadline_of(stream: CallerStream, now: float) -> float:
    """Return the monotonic time at which the outcome must be sent."""
    remaining = remaining_s(stream)
    margin = min(DEADLINE_MARGIN_S, remaining / 10)
    return now + remaining - margin
