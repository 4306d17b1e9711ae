"""Execution of requests on the agent's target after admission."""

import asyncio
import logging
import time
from typing import Final, NamedTuple

from trefoilhaven_agent.requests.answers import AnswerBuffer, conclude_with
from trefoilhaven_agent.requests.works import (
    TargetCallFailed,
    TargetClient,
    TargetRefused,
    Work,
)
from trefoilhaven_agent.state import AgentState
from trefoilhaven_core.admission import lanes
from trefoilhaven_core.admission.queues import Queued, Refused, Started
from trefoilhaven_core.requests.answers import (
    CHUNK_BYTES,
    SplitAnswer,
    split_answer,
)
from trefoilhaven_core.requests.decisions import Conclude, Replay, Settled
from trefoilhaven_core.timeline.monotonic import monotonic
from trefoilhaven_core.wire.proto.calls_pb2 import (
    AnswerPart,
    CallerRequest,
    Chunk,
    Closing,
)
from trefoilhaven_core.wire.proto import calls_pb2 as pb

logger = logging.getLogger(__name__)

EXPIRE_INTERVAL_S: Final = 0.1


class QueuedRun(NamedTuple):
    """A request on its way through the queue to the target.

    ``recorded`` tells that the request table has a record of it and needs
    its outcome. ``deadline`` is monotonic time in seconds.
    """

    req: CallerRequest
    buffer: AnswerBuffer
    recorded: bool
    deadline: float


class Runner:
    """Starts queued requests on free slots and records their outcome."""

    def __init__(self, state: AgentState, target_client: TargetClient) -> None:
        """Start without requests."""
        self._state = state
        self._target_client = target_client
        self._token = 0
        self._waiting: dict[int, asyncio.Future[Refused | None]] = {}
        metrics = state.runtime.metrics
        self._started = metrics.counter('requests_started')
        self._wait_time = metrics.histogram('queue_wait')
        self._service_time = metrics.histogram('service_time')

    async def run(self) -> None:
        """Refuse queued requests that are too late, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            now = monotonic()
            for refused in self._state.queue.expire(now):
                self._wake(refused.token, refused)
            self._start_next()
            self._state.requests.tick(now, time.time())

    async def execute(self, run: QueuedRun) -> None:
        """Queue and run a request, and close its answer."""
        self._token += 1
        token = self._token
        refused = await self._admit(token, run)
        if refused is not None:
            self.refuse(run, refused.reason, refused.retry_after_s)
            return
        started = monotonic()
        took_s: float | None = None
        try:
            if await self._call_target(run):
                took_s = monotonic() - started
                self._service_time.observe(took_s)
        finally:
            self._state.queue.finished(monotonic(), token, took_s)
            self._start_next()

    def refuse(
        self, run: QueuedRun, reason: str, retry_after_s: float = 0
    ) -> None:
        """Close an answer as not run, if the refusal can be recorded."""
        if not run.recorded:
            run.buffer.conclude(pb.OUTCOME_NOT_RUN, reason, retry_after_s)
            return
        settled = self._state.requests.on_refused(
            run.req.key,
            run.req.attempt,
            reason,
            retry_after_s,
        )
        self.settle(run, settled)

    def conclude_unknown(self, run: QueuedRun, reason: str) -> None:
        """Close an answer with an unknown outcome."""
        if not run.recorded:
            run.buffer.conclude(pb.OUTCOME_UNKNOWN, reason)
            return
        self._state.runtime.publish(
            'request lost',
            run.req.service,
            request_key=run.req.key,
            host=self._state.cfg.name,
            detail=reason,
        )
        self.settle(run, self._state.requests.on_lost(run.req.key))

    def settle(self, run: QueuedRun, settled: Settled) -> None:
        """Close an answer with the result of the request table."""
        answer = settled.answer
        if isinstance(answer, Conclude):
            conclude_with(run.buffer, answer)
            return
        self.replay(run.buffer, answer)

    def replay(self, buffer: AnswerBuffer, replayed: Replay) -> None:
        """Write a complete cached answer to a buffer."""
        split = split_answer(replayed.answer)
        for number, content in enumerate(split.chunks):
            buffer.append(_chunk_part(buffer, number, content))
        buffer.close(self._closing(split))

    def finish(self, run: QueuedRun, content: bytes) -> None:
        """Close an answer whose chunks are in the buffer already."""
        if run.recorded:
            self._state.requests.on_finished(run.req.key, content)
        run.buffer.close(self._closing(split_answer(content)))

    def _closing(self, split: SplitAnswer) -> Closing:
        load = self._state.load()
        return Closing(
            outcome=pb.OUTCOME_DONE,
            chunks=len(split.chunks),
            length=split.length,
            digest=split.digest,
            target=self._state.cfg.name,
            busy_slots=load.busy_slots,
            queued=load.queued,
            wait_s=load.wait_s,
        )

    async def _admit(self, token: int, run: QueuedRun) -> Refused | None:
        now = monotonic()
        work = lanes.Work(
            token,
            run.req.work_class,
            len(run.req.body),
            run.deadline,
        )
        offered = self._state.queue.offer(now, work)
        if isinstance(offered, Refused):
            return offered
        if isinstance(offered, Started):
            return None
        assert isinstance(offered, Queued)
        fut: asyncio.Future[Refused | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[token] = fut
        try:
            refused = await fut
        except asyncio.CancelledError:
            self._withdraw(token, fut)
            raise
        self._wait_time.observe(monotonic() - now)
        return refused

    def _withdraw(
        self,
        token: int,
        fut: 'asyncio.Future[Refused | None]',
    ) -> None:
        self._waiting.pop(token, None)
        if not self._state.queue.cancel(token) and not fut.cancelled():
            # The work got its slot in the same iteration of the event loop.
            self._state.queue.finished(monotonic(), token, None)
            self._start_next()

    def _start_next(self) -> None:
        while True:
            dispatch = self._state.queue.next(monotonic())
            for refused in dispatch.refused:
                self._wake(refused.token, refused)
            if dispatch.start is None:
                return
            self._wake(dispatch.start.token, None)

    def _wake(self, token: int, refused: Refused | None) -> None:
        fut = self._waiting.pop(token, None)
        if fut is not None and not fut.done():
            fut.set_result(refused)

    async def _call_target(self, run: QueuedRun) -> bool:
        now = monotonic()
        if run.recorded and not self._state.requests.on_started(
            run.req.key,
            self._state.lease.lease_valid(now),
        ):
            self.refuse(run, 'the lease ended before the start')
            return False
        req = run.req
        work = Work(req.key, req.attempt, req.idempotent, req.body)
        self._started.add()
        try:
            content = await self._read_answer(run, work, run.deadline - now)
        except TargetRefused as exc:
            self.refuse(run, str(exc))
            return False
        except TargetCallFailed as exc:
            self.conclude_unknown(run, str(exc))
            return False
        except asyncio.CancelledError:
            self.conclude_unknown(run, 'the request was cancelled')
            raise
        self.finish(run, content)
        return True

    async def _read_answer(
        self,
        run: QueuedRun,
        work: Work,
        timeout_s: float,
    ) -> bytes:
        """Read the answer and write it to the buffer in chunks.

        The chunks are split as for a replay, so that the receiver may
        combine parts of both.
        """
        content = bytearray()
        number = 0
        async for part in self._target_client.run(work, max(timeout_s, 0.01)):
            content += part
            while len(content) >= (number + 1) * CHUNK_BYTES:
                start = number * CHUNK_BYTES
                chunk = bytes(content[start : start + CHUNK_BYTES])
                run.buffer.append(_chunk_part(run.buffer, number, chunk))
                number += 1
        rest = bytes(content[number * CHUNK_BYTES :])
        if rest:
            run.buffer.append(_chunk_part(run.buffer, number, rest))
        return bytes(content)


def _chunk_part(
    buffer: AnswerBuffer, number: int, content: bytes
) -> AnswerPart:
    return AnswerPart(
        service=buffer.service,
        key=buffer.key,
        chunk=Chunk(number=number, content=content),
    )
