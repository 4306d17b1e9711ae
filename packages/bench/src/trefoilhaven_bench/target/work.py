"""gRPC service of the target; runs requests and records each start."""

import asyncio
import time
from collections import Counter, defaultdict
from typing import Any, NamedTuple

from grpclib.server import Stream

from trefoilhaven_bench.payloads import (
    answer_content,
    decode_body,
    split_answer,
)
from trefoilhaven_bench.target.behaviour import (
    TargetSettings,
    initial_behaviour,
)
from trefoilhaven_core.wire.proto.calls_grpc import WorkBase
from trefoilhaven_core.wire.proto.calls_pb2 import (
    IncarnationToken,
    RegisterReply,
    WorkPart,
    WorkRequest,
)


class RequestStart(NamedTuple):
    """The start of a request; ``started_at`` is Unix time in seconds."""

    attempt: int
    incarnation: int
    idempotent: bool
    started_at: float


class WorkServer(WorkBase):
    """Runs requests in a fixed number of slots and queues the others."""

    def __init__(self, cfg: TargetSettings) -> None:
        """Create the server cold, with all slots free."""
        self.behaviour = initial_behaviour(cfg)
        self.counts: Counter[str] = Counter()
        self.ran: defaultdict[str, list[RequestStart]] = defaultdict(list)
        self.busy = 0
        self.queued = 0
        self.incarnation = 0
        self._cfg = cfg
        self._slots = asyncio.Semaphore(cfg.slots)
        self._started_at = time.monotonic()

    async def Register(self, stream: Stream[Any, Any]) -> None:
        """Accept an incarnation unless a newer one is registered."""
        token: Any = await stream.recv_message()
        accepted = self._accept(token)
        await stream.send_message(RegisterReply(accepted=accepted))

    async def Run(self, stream: Stream[Any, Any]) -> None:
        """Run a request when a slot is free and stream its answer."""
        request: Any = await stream.recv_message()
        if self._refuses(request):
            self.counts['refused'] += 1
            await stream.send_message(WorkPart(last=True, refused=True))
            return
        self.queued += 1
        self.counts['waited'] += self._slots.locked()
        try:
            await self._slots.acquire()
        finally:
            self.queued -= 1
        self.busy += 1
        try:
            await self._run_request(request, stream)
        except asyncio.CancelledError:
            self.counts['cancelled'] += 1
            raise
        finally:
            self.busy -= 1
            self._slots.release()

    async def _run_request(
        self,
        request: WorkRequest,
        stream: Stream[Any, Any],
    ) -> None:
        self._record(request)
        body = decode_body(request.body)
        age_s = time.monotonic() - self._started_at
        duration_s = self.behaviour.duration(
            request.key,
            body.service_time_s,
            age_s,
        )
        content = answer_content(
            self._cfg.service,
            request.key,
            body.answer_bytes,
        )
        parts = split_answer(content, body.parts) or [b'']
        for number, part in enumerate(parts, 1):
            await asyncio.sleep(duration_s / len(parts))
            last = number == len(parts)
            await stream.send_message(WorkPart(content=part, last=last))
        self.counts['finished'] += 1

    def _record(self, request: WorkRequest) -> None:
        start = RequestStart(
            request.attempt,
            request.token.incarnation,
            request.idempotent,
            time.time(),
        )
        self.ran[request.key].append(start)

    def _refuses(self, request: WorkRequest) -> bool:
        if not self._accept(request.token):
            return True
        return self.behaviour.shedding or self.behaviour.draining

    def _accept(self, token: IncarnationToken) -> bool:
        if (token.service, token.target) != (
            self._cfg.service,
            self._cfg.name,
        ):
            self.counts['cross_service'] += 1
            return False
        if token.incarnation < self.incarnation:
            self.counts['old_incarnation'] += 1
            return False
        self.incarnation = token.incarnation
        return True
