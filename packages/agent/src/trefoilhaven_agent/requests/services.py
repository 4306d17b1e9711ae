"""gRPC service that balancers and sibling agents send requests to."""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from trefoilhaven_agent.requests.answers import AnswerBuffer, conclude_with
from trefoilhaven_agent.requests.relays import SiblingRelay
from trefoilhaven_agent.requests.runs import QueuedRun, Runner
from trefoilhaven_agent.state import AgentState
from trefoilhaven_core.requests.decisions import (
    Conclude,
    Decision,
    Follow,
    Outcome,
    RelayTo,
    Replay,
    Request,
    RunHere,
)
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.channels import remaining_s
from trefoilhaven_core.wire.proto import calls_pb2 as pb
from trefoilhaven_core.wire.proto.calls_grpc import PlacementBase
from trefoilhaven_core.wire.proto.calls_pb2 import (
    AnswerPart,
    CallerRequest,
    PlacedRequest,
)

logger = logging.getLogger(__name__)

PlacedStream = Stream[PlacedRequest, AnswerPart]


class _OpenRequest(NamedTuple):
    """A request in progress, with its answer and task."""

    buffer: AnswerBuffer
    task: 'asyncio.Task[None]'


class PlacementService(PlacementBase):
    """Decides about requests and runs them, independent of their streams."""

    def __init__(
        self,
        state: AgentState,
        runner: Runner,
        relay: SiblingRelay,
    ) -> None:
        """Start without requests."""
        self._state = state
        self._runner = runner
        self._relay = relay
        self._open: dict[str, _OpenRequest] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        state.runtime.metrics.gauge(
            'open_requests',
            lambda: len(self._tasks),
        )

    async def wait_idle(self) -> None:
        """Return when no request is in progress."""
        await self._idle.wait()

    async def Decide(self, stream: PlacedStream) -> None:  # noqa: N802
        """Decide about a request as the owner of its key's bucket."""
        placed = await _receive(stream)
        now = monotonic()
        decision = self._state.requests.on_decide(
            now,
            time.time(),
            _request(placed.request),
            self._state.key_ownership(placed.request.key, now),
        )
        if not isinstance(decision, Conclude):
            self._state.record_served(placed.request.key)
        await self._answer(stream, placed, decision, may_hand_off=True)

    async def Run(self, stream: PlacedStream) -> None:  # noqa: N802
        """Run or follow a request that a balancer or an owner placed."""
        placed = await _receive(stream)
        decision = self._state.requests.on_run(
            monotonic(),
            time.time(),
            _request(placed.request),
            placed.follow_only,
            placed.holder_incarnation,
        )
        await self._answer(stream, placed, decision, may_hand_off=False)

    async def _answer(
        self,
        stream: PlacedStream,
        placed: PlacedRequest,
        decision: Decision,
        *,
        may_hand_off: bool,
    ) -> None:
        req = placed.request
        buffer = AnswerBuffer(req.service, req.key)
        deadline = monotonic() + remaining_s(stream)
        opened: _OpenRequest | None = None
        if isinstance(decision, Conclude):
            self._conclude(buffer, req, decision)
        elif isinstance(decision, Replay):
            self._runner.replay(buffer, decision)
        elif isinstance(decision, Follow):
            opened = self._open.get(req.key)
            if opened is None:
                buffer.conclude(pb.OUTCOME_UNKNOWN, 'the request may have run')
            else:
                buffer = opened.buffer
        else:
            opened = self._begin(
                QueuedRun(req, buffer, _is_recorded(decision), deadline),
                decision,
                may_hand_off=may_hand_off,
            )
        await self._send(stream, buffer, req, opened)

    def _begin(
        self,
        run: QueuedRun,
        decision: RunHere | RelayTo,
        *,
        may_hand_off: bool,
    ) -> _OpenRequest:
        if isinstance(decision, RelayTo):
            work = self._relay.follow(run, decision)
        elif may_hand_off and run.recorded:
            work = self._relay.place(run)
        else:
            work = self._runner.execute(run)
        task = asyncio.create_task(work)
        opened = _OpenRequest(run.buffer, task)
        self._tasks.add(task)
        self._idle.clear()
        if run.recorded:
            self._open[run.req.key] = opened
        task.add_done_callback(self._make_done_callback(run.req.key, opened))
        return opened

    def _make_done_callback(
        self,
        key: str,
        opened: _OpenRequest,
    ) -> 'Callable[[asyncio.Task[None]], None]':
        def end(task: 'asyncio.Task[None]') -> None:
            self._tasks.discard(task)
            if self._open.get(key) is opened:
                self._open.pop(key)
            if not opened.buffer.closed:
                opened.buffer.conclude(
                    pb.OUTCOME_UNKNOWN,
                    'the request may have run',
                )
            if not task.cancelled() and task.exception() is not None:
                logger.error('request failed', exc_info=task.exception())
            if not self._tasks:
                self._idle.set()

        return end

    async def _send(
        self,
        stream: PlacedStream,
        buffer: AnswerBuffer,
        req: CallerRequest,
        opened: _OpenRequest | None,
    ) -> None:
        try:
            async for part in buffer.follow():
                await stream.send_message(part)
        except asyncio.CancelledError:
            # An idempotent run has a single stream and ends with it. A
            # recorded run continues: the sender may only have lost its
            # connection, and will repeat the request under the same key.
            if opened is not None and req.idempotent:
                opened.task.cancel()
            raise

    def _conclude(
        self,
        buffer: AnswerBuffer,
        req: CallerRequest,
        decision: Conclude,
    ) -> None:
        if decision.outcome != Outcome.no_verdict:
            conclude_with(buffer, decision)
            return
        closing = pb.Closing(
            outcome=pb.OUTCOME_NO_VERDICT,
            reason=decision.reason,
            target=self._state.owner_hint(req.key),
        )
        buffer.close(closing)


def _is_recorded(decision: RunHere | RelayTo) -> bool:
    return isinstance(decision, RelayTo) or decision.recorded


def _request(req: CallerRequest) -> Request:
    return Request(
        req.service,
        req.key,
        req.attempt,
        req.issued_at,
        req.idempotent,
    )


async def _receive(stream: PlacedStream) -> PlacedRequest:
    placed = await stream.recv_message()
    if placed is None:
        raise GRPCError(Status.INVALID_ARGUMENT, 'no request was sent')
    return placed


def seeded_generator(state: AgentState) -> random.Random:
    """Return a random generator seeded with the agent's identity."""
    return random.Random(f'{state.cfg.name}/{state.runtime.incarnation}')
