"""Load generator for requests, repeated as section 5 of the design says."""

import asyncio
import random
import time
from collections import Counter
from typing import Any, Final, NamedTuple

import xxhash
from grpclib.client import Channel
from grpclib.exceptions import (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)

from trefoilhaven_bench import settings as defaults
from trefoilhaven_bench.caller.latencies import Latencies
from trefoilhaven_bench.caller.plans import RequestPlan
from trefoilhaven_bench.caller.reports import (
    FailedCall,
    RefusedAttempt,
    RequestReport,
)
from trefoilhaven_bench.payloads import WorkBody, answer_content, encode_body
from trefoilhaven_bench.processes import parse_address
from trefoilhaven_core.wire.proto.calls_grpc import RequestsStub
from trefoilhaven_core.wire.proto.calls_pb2 import (
    OUTCOME_DONE,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    AnswerPart,
    CallerRequest,
    Closing,
)


_MAX_REPORTED_FAILURES: Final = 1000

# An expired deadline raises TimeoutError, which is an OSError.
_CALL_ERRORS: Final = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    OSError,
)


class _Work(NamedTuple):
    key: str
    idempotent: bool
    is_long: bool
    body: WorkBody


class _Answer(NamedTuple):
    closing: Closing | None
    content: bytes


class RequestLoad:
    """Sends requests at a constant rate and checks their answers."""

    def __init__(self, plan: RequestPlan) -> None:
        """Create the load without opening connections."""
        self.plan = plan
        self.counts: Counter[str] = Counter()
        self._random = random.Random(plan.seed)
        self._channels: dict[str, Channel] = {}
        self._balancers = list(plan.balancers)
        self._refused: list[RefusedAttempt] = []
        self._run_once_keys: list[str] = []
        self._failed_calls: list[FailedCall] = []
        self._short = Latencies()
        self._long = Latencies()
        self._refusal = Latencies()
        self._stopped = asyncio.Event()
        self._changed = asyncio.Event()

    async def run(self) -> RequestReport:
        """Send requests for the plan's duration, then await all of them."""
        running: set[asyncio.Task[None]] = set()
        try:
            await self._send_all(running)
            await asyncio.gather(*running)
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
            for channel in self._channels.values():
                channel.close()
        return self.report()

    def stop(self) -> None:
        """Send no more requests; ``run`` still awaits those in progress."""
        self._stopped.set()

    def use_balancers(self, balancers: tuple[str, ...]) -> None:
        """Send further calls to these balancers."""
        self._balancers = list(balancers)

    async def until_finished(self, more: int, timeout_s: float) -> None:
        """Wait for ``more`` requests to finish; may raise ``TimeoutError``."""
        wanted = self.counts['finished'] + more
        async with asyncio.timeout(timeout_s):
            while self.counts['finished'] < wanted:
                self._changed.clear()
                await self._changed.wait()

    def report(self) -> RequestReport:
        """Return the outcomes so far."""
        counts = self.counts
        return {
            'service': self.plan.service,
            'sent': counts['sent'],
            'done': counts['done'],
            'not_run': counts['not_run'],
            'unknown': counts['unknown'],
            'wrong': counts['wrong'],
            'skipped': counts['skipped'],
            'counts': dict(counts),
            'refused': self._refused,
            'run_once_keys': self._run_once_keys,
            'failed_calls': self._failed_calls,
            'short': self._short.percentiles(),
            'long': self._long.percentiles(),
            'refusal': self._refusal.percentiles(),
        }

    async def submit(self, work: _Work) -> None:
        """Send attempts until one is not refused or the limit is reached."""
        self.counts['sent'] += 1
        started_at = time.monotonic()
        outcome = 'not_run'
        for attempt in range(1, defaults.MAX_REQUEST_ATTEMPTS + 1):
            closing = await self._submit_attempt(work, attempt)
            if closing is None or closing.outcome != OUTCOME_NOT_RUN:
                outcome = self._name_outcome(closing)
                break
            self._refused.append(RefusedAttempt(work.key, attempt))
            self.counts['refusals'] += 1
            pause_s = closing.retry_after_s or 0.05
            await asyncio.sleep(pause_s * (1 + self._random.random() / 2))
        self.counts[outcome] += 1
        self.counts['finished'] += 1
        if outcome == 'done':
            latencies = self._long if work.is_long else self._short
            latencies.record(time.monotonic() - started_at)
        self._changed.set()

    def _choose_work(self, number: int) -> _Work:
        is_long = self._random.random() < self.plan.long_share
        factor = self.plan.long_factor if is_long else 1
        idempotent = self._random.random() < self.plan.idempotent_share
        key = f'{self.plan.key_prefix}-{self.plan.seed}-{number}'
        body = WorkBody(
            self.plan.service_time_s * factor,
            self.plan.answer_bytes,
        )
        if not idempotent:
            self._run_once_keys.append(key)
        return _Work(key, idempotent, is_long, body)

    async def _send_all(self, running: set[asyncio.Task[None]]) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        number = 0
        while not self._stopped.is_set():
            due_at = started_at + number / self.plan.rate_per_s
            if due_at > started_at + self.plan.duration_s:
                break
            await asyncio.sleep(max(0, due_at - loop.time()))
            number += 1
            if len(running) >= self.plan.at_once:
                self.counts['skipped'] += 1
                continue
            task = asyncio.create_task(self.submit(self._choose_work(number)))
            running.add(task)
            task.add_done_callback(running.discard)

    async def _submit_attempt(
        self,
        work: _Work,
        attempt: int,
    ) -> Closing | None:
        """Send one attempt, repeated with the same ``issued_at`` if unknown."""
        issued_at = time.time()
        closing = await self._call(work, attempt, issued_at)
        for pause_s in defaults.REQUEST_REPEAT_PAUSES_S:
            if closing and closing.outcome != OUTCOME_UNKNOWN:
                break
            self.counts['asked_again'] += 1
            await asyncio.sleep(pause_s)
            closing = await self._call(work, attempt, issued_at)
        return closing

    async def _call(
        self,
        work: _Work,
        attempt: int,
        issued_at: float,
    ) -> Closing | None:
        """Send one call; return None without a complete answer."""
        request = CallerRequest(
            service=self.plan.service,
            key=work.key,
            attempt=attempt,
            issued_at=issued_at,
            idempotent=work.idempotent,
            body=encode_body(work.body),
            work_class='long' if work.is_long else 'short',
        )
        balancer = self._random.choice(self._balancers)
        stub = RequestsStub(self._channel(balancer))
        asked_at = time.monotonic()
        try:
            answer = await self._collect(stub, request)
        except _CALL_ERRORS as exc:
            self._record_failure(work, balancer, asked_at, exc)
            return None
        closing = self._verify(work, answer)
        if closing and closing.outcome == OUTCOME_NOT_RUN:
            self._refusal.record(time.monotonic() - asked_at)
        return closing

    async def _collect(
        self,
        stub: RequestsStub,
        request: CallerRequest,
    ) -> _Answer:
        closing: Closing | None = None
        chunks: dict[int, bytes] = {}
        async with stub.Submit.open(timeout=self.plan.deadline_s) as stream:
            await stream.send_message(request, end=True)
            async for part in stream:
                if not self._is_for(part, request):
                    continue
                if part.WhichOneof('part') == 'chunk':
                    chunks[part.chunk.number] = part.chunk.content
                else:
                    closing = part.closing
        if closing and len(chunks) != closing.chunks:
            closing = None
        ordered = [chunk for _, chunk in sorted(chunks.items())]
        return _Answer(closing, b''.join(ordered))

    def _is_for(self, part: AnswerPart, request: CallerRequest) -> bool:
        if (part.service, part.key) == (request.service, request.key):
            return True
        self.counts['wrong'] += 1
        return False

    def _verify(self, work: _Work, answer: _Answer) -> Closing | None:
        """Return the closing message, or None for an incomplete answer."""
        closing = answer.closing
        if closing is None:
            self.counts['partial'] += 1
            return None
        if closing.outcome != OUTCOME_DONE:
            return closing
        length = len(answer.content)
        digest = xxhash.xxh64_intdigest(answer.content)
        if (length, digest) != (closing.length, closing.digest):
            self.counts['partial'] += 1
            return None
        expected = answer_content(
            self.plan.service,
            work.key,
            work.body.answer_bytes,
        )
        if answer.content != expected:
            self.counts['wrong'] += 1
        self.counts[f'target {closing.target}'] += 1
        return closing

    def _name_outcome(self, closing: Closing | None) -> str:
        if closing is not None and closing.outcome == OUTCOME_DONE:
            return 'done'
        return 'unknown'

    def _record_failure(
        self,
        work: _Work,
        balancer: str,
        asked_at: float,
        exc: Exception,
    ) -> None:
        reason = type(exc).__name__
        self.counts[f'call_failed_{reason}'] += 1
        if len(self._failed_calls) < _MAX_REPORTED_FAILURES:
            failed_at = time.monotonic()
            self._failed_calls.append(
                FailedCall(work.key, balancer, asked_at, failed_at, reason),
            )

    def _channel(self, address: str) -> Any:
        if address not in self._channels:
            host, port = parse_address(address)
            self._channels[address] = Channel(host, port)
        return self._channels[address]
