"""Load generator for long UDP flows through the fabric."""

import asyncio
import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from trefoilhaven_bench import settings as defaults
from trefoilhaven_bench.caller.latencies import Latencies
from trefoilhaven_bench.caller.plans import FlowPlan
from trefoilhaven_bench.caller.reports import FlowReport
from trefoilhaven_bench.payloads import (
    FlowQuestion,
    FlowReply,
    decode_payload,
    encode_payload,
)
from trefoilhaven_bench.processes import open_datagram_socket, parse_address
from trefoilhaven_core.flows.messages import FlowFlag, FlowKey, FlowPacket
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.wire.codec import make_codec

_UDP: Final = 17
_FIRST_PORT: Final = 10_000
_PORTS: Final = 50_000
# Send times kept for each flow to measure the round trip of late answers.
_MAX_SEND_TIMES: Final = 16


class _Flow:
    """Caller's state of one flow."""

    def __init__(self, key: FlowKey, number: int, now: float) -> None:
        self.key = key
        self.number = number
        self.sequence = 0
        self.sent: dict[int, float] = {}
        self.opened = False
        self.target = ''
        self.session = 0
        self.started_at = now
        self.last_sent_at = now
        self.answered_at = 0.0
        self.waiting_since: float | None = None
        self.failure = ''


class FlowLoad(asyncio.DatagramProtocol):
    """Opens flows, sends packets on each of them and checks the answers.

    ``run`` lasts for the plan's duration or until ``stop``. Meanwhile,
    ``targets`` and ``broken`` return the current state.
    """

    def __init__(self, plan: FlowPlan) -> None:
        """Create the load without sending anything."""
        self.plan = plan
        self.counts: Counter[str] = Counter()
        self._random = random.Random(plan.seed)
        self._codec = make_codec()
        self._fabric = parse_address(plan.fabric)
        self._flows: dict[FlowKey, _Flow] = {}
        self._due: list[tuple[float, int, FlowKey]] = []
        self._latencies = Latencies()
        self._stopped = asyncio.Event()
        self._changed = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self._padding = self._random.randbytes(plan.padding)
        self._source_host = f'127.200.{plan.seed % 250}.1'

    def connection_made(self, transport: Any) -> None:
        """Keep the socket for sending."""
        self._transport = transport

    async def run(self) -> FlowReport:
        """Open all flows, run them for the duration and return the report."""
        loop = asyncio.get_running_loop()
        await open_datagram_socket(self, Address('127.0.0.1', 0))
        ends_at = loop.time() + self.plan.duration_s
        opener = asyncio.create_task(self._open_flows())
        while not self._stopped.is_set() and loop.time() < ends_at:
            self._send_due(loop.time())
            pause_s = self._due[0][0] - loop.time() if self._due else 0.01
            await asyncio.sleep(min(max(pause_s, 0.001), 0.02))
        opener.cancel()
        for flow in self._flows.values():
            if not flow.failure:
                self._send(flow, FlowFlag.last)
        if self._transport is not None:
            self._transport.close()
        return self.report()

    def stop(self) -> None:
        """End the run early."""
        self._stopped.set()

    @property
    def opened(self) -> int:
        """Number of flows that received an answer, failed ones included."""
        return sum(1 for flow in self._flows.values() if flow.opened)

    @property
    def broken(self) -> int:
        """Number of flows that failed after they were opened."""
        return sum(
            1 for flow in self._flows.values() if flow.opened and flow.failure
        )

    def targets(self) -> Counter[str]:
        """Return the number of open flows that have not failed, by target."""
        return Counter(
            flow.target
            for flow in self._flows.values()
            if flow.opened and not flow.failure
        )

    def broken_by_target(self) -> Counter[str]:
        """Return the number of broken flows by target."""
        return Counter(
            flow.target
            for flow in self._flows.values()
            if flow.opened and flow.failure
        )

    async def until_opened(self, count: int, timeout_s: float) -> None:
        """Wait until ``count`` flows are open; may raise ``TimeoutError``."""
        await self._until(lambda: self.opened >= count, timeout_s)

    async def until_answers(self, more: int, timeout_s: float) -> None:
        """Wait for ``more`` further answers; may raise ``TimeoutError``."""
        wanted = self.counts['answers'] + more
        await self._until(lambda: self.counts['answers'] >= wanted, timeout_s)

    async def until_settled(self, timeout_s: float) -> None:
        """Wait until each flow open now is answered again or has failed.

        Raises ``TimeoutError`` after ``timeout_s`` seconds.
        """
        now = asyncio.get_running_loop().time()
        waiting = [flow for flow in self._flows.values() if flow.opened]
        await self._until(
            lambda: all(
                flow.answered_at > now or flow.failure for flow in waiting
            ),
            timeout_s,
        )

    def report(self) -> FlowReport:
        """Return the counts so far."""
        flows = self._flows.values()
        failed = [flow for flow in flows if flow.opened and flow.failure]
        return {
            'service': self.plan.service,
            'opened': self.opened,
            'unopened': len(flows) - self.opened,
            'broken': len(failed),
            'broken_by': dict(Counter(flow.failure for flow in failed)),
            'broken_flows': [
                f'{flow.number} on {flow.target}: {flow.failure}'
                for flow in failed[:20]
            ],
            'wrong': self.counts['wrong'],
            'packets': self.counts['packets'],
            'answers': self.counts['answers'],
            'retransmits': self.counts['retransmits'],
            'by_target': dict(self.targets()),
            'round_trip': self._latencies.percentiles(),
        }

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Check an answer or a reset."""
        decoded = self._codec.decode(data)
        packet = None if decoded.is_error() else decoded.ok.message
        if not isinstance(packet, FlowPacket):
            self.counts['wrong'] += 1
            return
        flow = self._flows.get(packet.flow)
        if flow is None:
            self.counts['wrong'] += 1
        elif packet.flags & FlowFlag.reset:
            flow.failure = flow.failure or 'reset'
        elif not flow.failure:
            self._on_answer(flow, packet)
        self._changed.set()

    async def _until(
        self,
        condition: Callable[[], bool],
        timeout_s: float,
    ) -> None:
        async with asyncio.timeout(timeout_s):
            while not condition():
                self._changed.clear()
                await self._changed.wait()

    async def _open_flows(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        destination = parse_address(self.plan.address)
        for number in range(self.plan.flows):
            due_at = started_at + number / self.plan.open_per_s
            if due_at > loop.time():
                await asyncio.sleep(due_at - loop.time())
            key = FlowKey(
                _UDP,
                self._source_host,
                _FIRST_PORT + number % _PORTS,
                destination.host,
                destination.port + number // _PORTS,
            )
            flow = _Flow(key, self._random.getrandbits(62), loop.time())
            self._flows[key] = flow
            heapq.heappush(self._due, (loop.time(), number, key))

    def _send_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            due_at, number, key = heapq.heappop(self._due)
            flow = self._flows[key]
            self._check_silence(flow, now)
            if not flow.failure:
                self._send_next(flow, now)
                pause_s = self._next_pause_s(flow)
                heapq.heappush(self._due, (now + pause_s, number, key))

    def _next_pause_s(self, flow: _Flow) -> float:
        interval_s = 1 / self.plan.packets_per_s
        if flow.waiting_since is None:
            return interval_s
        return min(interval_s, defaults.FLOW_RETRANSMIT_INTERVAL_S)

    def _check_silence(self, flow: _Flow, now: float) -> None:
        if flow.waiting_since is None:
            return
        if now - flow.waiting_since > defaults.FLOW_SILENCE_TIMEOUT_S:
            flow.failure = 'silence'

    def _send_next(self, flow: _Flow, now: float) -> None:
        """Send the next packet, or retransmit the last one without answer."""
        is_new = now - flow.last_sent_at >= 0.99 / self.plan.packets_per_s
        if flow.sequence == 0 or is_new:
            flow.sequence += 1
            flow.last_sent_at = now
            flow.sent[flow.sequence] = now
            flow.sent.pop(flow.sequence - _MAX_SEND_TIMES, None)
        elif flow.waiting_since is None:
            return
        else:
            self.counts['retransmits'] += 1
        if flow.waiting_since is None:
            flow.waiting_since = now
        self._send(flow, FlowFlag.none if flow.opened else FlowFlag.first)

    def _send(self, flow: _Flow, flags: FlowFlag) -> None:
        question = FlowQuestion(
            self.plan.service,
            flow.number,
            flow.sequence,
            0,
            self._padding,
        )
        packet = FlowPacket('', flow.key, flags, 0, 0, encode_payload(question))
        self.counts['packets'] += 1
        if self._transport is not None:
            self._transport.sendto(self._codec.encode(packet), self._fabric)

    def _on_answer(self, flow: _Flow, packet: FlowPacket) -> None:
        now = asyncio.get_running_loop().time()
        reply = decode_payload(packet.payload, FlowReply)
        if reply is None or reply.flow != flow.number:
            self.counts['wrong'] += 1
            return
        if reply.service != self.plan.service:
            self.counts['wrong'] += 1
            flow.failure = 'other service'
            return
        self.counts['answers'] += 1
        if not flow.opened:
            flow.opened = True
            flow.target = reply.target
            flow.session = reply.session
        elif reply.target != flow.target:
            flow.failure = f'moved to {reply.target}'
        elif reply.session != flow.session:
            flow.failure = 'restarted'
        sent_at = flow.sent.pop(reply.answered, None)
        if sent_at is not None:
            self._latencies.record(now - sent_at)
        flow.answered_at = now
        is_latest = reply.answered >= flow.sequence
        flow.waiting_since = None if is_latest else now
