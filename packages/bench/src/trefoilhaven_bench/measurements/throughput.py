"""New flows a second that one balancer process forwards."""

import asyncio
import contextlib
import socket
from pathlib import Path
from typing import Final, NamedTuple

import psutil

from trefoilhaven_bench.deployments.commands import OperatorCommands
from trefoilhaven_bench.deployments.descriptions import (
    DeploymentDescription,
    ServiceDescription,
)
from trefoilhaven_bench.deployments.running import Deployment
from trefoilhaven_bench.measurements.processes import (
    SERVICE,
    read_metrics,
)
from trefoilhaven_bench.measurements.tables import Table, table_of
from trefoilhaven_bench.processes import parse_address
from trefoilhaven_core.flows.messages import FlowFlag, FlowKey, FlowPacket
from trefoilhaven_core.wire.codec import make_codec

# Offered rates in new flows a second; each lasts ``RATE_DURATION_S``.
RATES: Final = (2_500, 5_000, 10_000, 15_000)
RATE_DURATION_S: Final = 5.0
IN_FORCE_TIMEOUT_S: Final = 10.0

_BATCHES_PER_S: Final = 100
_DRAIN_WAIT_S: Final = 1.0
_MIB: Final = 1024 * 1024


class ThroughputRow(NamedTuple):
    """One offered rate of new flows at one balancer process."""

    offered_per_s: int
    sent: int
    forwarded: int
    core_share: float
    resident_mib: float


async def measure_throughput(
    seed: int,
    directory: Path,
    sources: Path,
) -> Table:
    """Send first packets of distinct flows straight to a balancer."""
    description = DeploymentDescription(
        'throughput',
        'lin',
        'tw-south',
        ('tainan-a',),
        (ServiceDescription(SERVICE, '127.1.0.1:7000', 1, 2),),
        balancers=1,
        seed=seed,
        log_level='error',
    )
    async with Deployment(description, directory) as deployment:
        commands = OperatorCommands(deployment, sources)
        await deployment.start_environment()
        await commands.publish_all()
        await deployment.start_product()
        name = deployment.running_balancers()[0]
        # The agent would open a socket for each flow. Only the balancer is
        # measured, so the connection limit makes the agent refuse all but one.
        version = await commands.change_service(
            SERVICE,
            flows={'connection_limit': 1},
        )
        await commands.until_in_force(SERVICE, version, IN_FORCE_TIMEOUT_S)
        rows = []
        first = 0
        for rate in RATES:
            rows.append(await _measure(deployment, name, rate, first))
            first += int(rate * RATE_DURATION_S)
    return table_of('throughput', 'New flows at one balancer process', rows)


async def _measure(
    deployment: Deployment,
    name: str,
    rate: int,
    first: int,
) -> ThroughputRow:
    child = deployment.children[name]
    process = psutil.Process(child.pid)
    address = parse_address(child.plan.settings['flow'])
    before = await read_metrics(deployment, name)
    used = process.cpu_times()
    sent = await asyncio.to_thread(_send, address, rate, first)
    await asyncio.sleep(_DRAIN_WAIT_S)
    after = await read_metrics(deployment, name)
    times = process.cpu_times()
    key = 'trefoilhaven_first_packets_forwarded_total'
    busy = times.user + times.system - used.user - used.system
    return ThroughputRow(
        rate,
        sent,
        int(after[key] - before.get(key, 0)),
        busy / RATE_DURATION_S,
        process.memory_info().rss / _MIB,
    )


def _send(address: tuple[str, int], rate: int, first: int) -> int:
    """Send first packets at a steady rate; return how many were sent."""
    codec = make_codec()
    packets = [
        codec.encode(_packet(number))
        for number in range(first, first + int(rate * RATE_DURATION_S))
    ]
    batch = rate // _BATCHES_PER_S
    # Nothing is sent to this socket; receiving waits until the next batch.
    timer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    timer.settimeout(1 / _BATCHES_PER_S)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock, timer:
        timer.bind(('127.0.0.1', 0))
        for start in range(0, len(packets), batch):
            for raw in packets[start : start + batch]:
                sock.sendto(raw, address)
            with contextlib.suppress(TimeoutError):
                timer.recv(1)
    return len(packets)


def _packet(number: int) -> FlowPacket:
    flow = FlowKey(
        17,
        f'10.{number // 12_500_000}.{number // 50_000 % 250}.1',
        1024 + number % 50_000,
        '127.1.0.1',
        7000,
    )
    return FlowPacket('', flow, FlowFlag.first, 0, 0, bytes(64))
