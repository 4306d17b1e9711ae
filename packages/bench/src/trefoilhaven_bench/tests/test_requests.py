"""Tests of the request load against a scripted balancer."""

import asyncio
from typing import Any

import xxhash
from grpclib.server import Server, Stream

from trefoilhaven_bench.caller.plans import RequestPlan
from trefoilhaven_bench.caller.requests import RequestLoad
from trefoilhaven_bench.payloads import answer_content
from trefoilhaven_bench.processes import parse_address
from trefoilhaven_bench.tests.ports import free_addresses
from trefoilhaven_core.wire.proto import calls_pb2 as pb
from trefoilhaven_core.wire.proto.calls_grpc import RequestsBase

_SERVICE = 'collect'


class _Balancer(RequestsBase):
    """Sends scripted closings, then *done* with the expected content."""

    def __init__(self, script: list[pb.Closing]) -> None:
        self.seen: list[pb.CallerRequest] = []
        self.asked = asyncio.Event()
        self.answers = asyncio.Event()
        self.answers.set()
        self._script = script

    async def Submit(self, stream: Stream[Any, Any]) -> None:
        req: Any = await stream.recv_message()
        self.seen.append(req)
        self.asked.set()
        await self.answers.wait()
        if self._script:
            await self._send(stream, closing=self._script.pop(0))
            return
        content = answer_content(req.service, req.key, 2048)
        await self._send(stream, chunk=pb.Chunk(number=0, content=content))
        closing = pb.Closing(
            outcome=pb.OUTCOME_DONE,
            chunks=1,
            length=len(content),
            digest=xxhash.xxh64_intdigest(content),
        )
        await self._send(stream, closing=closing)

    async def _send(self, stream: Stream[Any, Any], **part: Any) -> None:
        req = self.seen[-1]
        await stream.send_message(
            pb.AnswerPart(service=req.service, key=req.key, **part),
        )


async def _ask_once(script: list[pb.Closing]) -> tuple[Any, _Balancer]:
    address = free_addresses(1)[0]
    balancer = _Balancer(script)
    server = Server([balancer])
    await server.start(*parse_address(address))
    plan = RequestPlan(_SERVICE, (address,), rate_per_s=1, duration_s=0)
    report = await RequestLoad(plan).run()
    server.close()
    await server.wait_closed()
    return report, balancer


class TestRequestLoad:
    """Repeated attempts and checks of answers."""

    async def test_not_run(self) -> None:
        """Guards against repeating a refused attempt under its old number."""
        refusal = pb.Closing(outcome=pb.OUTCOME_NOT_RUN, retry_after_s=0.01)
        report, balancer = await _ask_once([refusal])
        assert report['done'] == 1
        assert [req.attempt for req in balancer.seen] == [1, 2]
        first, second = balancer.seen
        assert second.issued_at > first.issued_at

    async def test_unknown(self) -> None:
        """Guards against repeating an *unknown* attempt as a new one."""
        report, balancer = await _ask_once(
            [pb.Closing(outcome=pb.OUTCOME_UNKNOWN)],
        )
        assert report['done'] == 1
        first, second = balancer.seen
        assert (first.attempt, first.issued_at) == (1, second.issued_at)
        assert second.attempt == 1

    async def test_partial(self) -> None:
        """Guards against accepting a partial answer as complete."""
        partial = pb.Closing(outcome=pb.OUTCOME_DONE, chunks=2, length=9)
        report, _ = await _ask_once([partial])
        assert (report['done'], report['counts']['partial']) == (1, 1)

    async def test_cancelled(self) -> None:
        """Guards against requests that continue after the load is cancelled."""
        address = free_addresses(1)[0]
        balancer = _Balancer([])
        balancer.answers.clear()
        server = Server([balancer])
        await server.start(*parse_address(address))
        load = RequestLoad(RequestPlan(_SERVICE, (address,), rate_per_s=20))
        running = asyncio.create_task(load.run())
        await balancer.asked.wait()
        running.cancel()
        await asyncio.wait([running])
        left = ' '.join(repr(task) for task in asyncio.all_tasks())
        server.close()
        await server.wait_closed()
        assert 'RequestLoad.submit' not in left
