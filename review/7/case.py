"""Flows that are taken to a silent server after a kill of many processes."""

import asyncio
import random
import signal
import time
from pathlib import Path

from cases import main
from clients import ClientSocket, Flow
from deployment import CannotRunError, Deployment, Record, configuration
from trefoilhaven_core.membership.messages import Address

# Bounds of the deployment, in seconds.
STABLE_WINDOW_S = 4.0
FLOW_S = 2.0
MIN_OTHER_PACKETS = 3
DEADLINE_S = 2.0

ROUTE = Address('127.200.0.1', 443)
GATEWAYS = ['a', 'a', 'a', 'b', 'b', 'c', 'c']
TARGETS = [('desk', zone) for zone in 'aaabbcc'] + [
    ('press', zone) for zone in 'abc'
]
# 9 of 17 processes: a share of 0.53; the largest dose of the site is 0.55.
KILLED = ['s1', 's2', 's3', 's4', 's5', 's6', 'g1', 'g2', 'g4']
SILENT = 's4'
FLOWS_A_CLIENT = 20
MAX_IDLE_S = 12.0


async def talk(flow: Flow, pause_s: float, *, is_brief: bool) -> float:
    """Send two requests on a flow that was idle, or a single one.

    Returns when the client has been served or has given up.
    """
    await asyncio.sleep(pause_s)
    if await flow.request(DEADLINE_S) and not is_brief:
        await asyncio.sleep(0.3)
        await flow.request(DEADLINE_S)
    return time.monotonic()


async def open_flows(socket: ClientSocket) -> list[Flow]:
    """Open flows one after the other, with a request on each."""
    flows = []
    for _ in range(FLOWS_A_CLIENT):
        flow = socket.flow(ROUTE)
        await flow.open()
        if not (flow.opened_at and await flow.request(DEADLINE_S)):
            raise CannotRunError('a flow was not served at the beginning')
        flows.append(flow)
    return flows


async def run(
    deployment: Deployment, record: Record, is_troubled: bool
) -> list[str]:
    """Kill most processes; let one server fall silent when they are back."""
    await deployment.start(GATEWAYS, TARGETS, configuration(1, {ROUTE: 'desk'}))
    port = deployment.ports['fabric']
    sockets = [
        ClientSocket(
            Address(f'127.1.0.{number}', port), lambda: deployment.rotation
        )
        for number in range(1, 17)
    ]
    await asyncio.sleep(2)
    opened_at = time.monotonic()
    opened = await asyncio.gather(*map(open_flows, sockets))
    flows = [flow for each in opened for flow in each]
    owners = {
        flow.key: name
        for flow in flows
        for name, server in deployment.servers.items()
        if server.flows.get(flow.key) == flow.server_sequence
    }
    record(f'{len(flows)} flows are open and idle')
    killed_at = time.monotonic()
    if is_troubled:
        for name in KILLED:
            deployment.signal(name, signal.SIGKILL)
        record(f'killed: {KILLED}')
        await asyncio.sleep(0.3)
        for name in KILLED:
            await deployment.ended(name)
            deployment.spawn(name)
        await asyncio.sleep(2.2)
        deployment.servers[SILENT].fall_silent()
        record(f'server of {SILENT} falls silent')
    await asyncio.sleep(
        max(0, killed_at + 2.7 + STABLE_WINDOW_S - time.monotonic())
    )
    judged = [flow for flow in flows if owners.get(flow.key) != SILENT]
    resumed_at = time.monotonic()
    if resumed_at + 2 - opened_at > MAX_IDLE_S:
        raise CannotRunError('the flows were idle for too long')
    record(
        f'{len(judged)} flows of living servers go on, '
        f'{resumed_at - killed_at:.1f} s after the kill; '
        f'{len(deployment.rotation)} gateways in rotation'
    )
    # Every second client sends a single request and keeps its flow.
    talks = [
        talk(flow, random.uniform(0, 2), is_brief=bool(number % 2))
        for number, flow in enumerate(judged)
    ]
    ends = await asyncio.gather(*talks)
    if is_troubled:
        await deployment.servers[SILENT].crash()
        record(f'server of {SILENT} ends')
    await asyncio.sleep(1.5)
    broken = []
    for number, (flow, ended_at) in enumerate(zip(judged, ends, strict=True)):
        owner = owners[flow.key]
        arrivals = sorted(
            (at, name)
            for name, server in deployment.servers.items()
            for at, key, _ in server.arrivals
            if key == flow.key and at >= resumed_at
        )
        own = [at for at, name in arrivals if name == owner]
        text = ' '.join(
            f'{at - resumed_at:.2f}:{name}' for at, name in arrivals
        )
        record(f'flow {flow.key[1]} of {owner}: {text}')
        # The clients of the other flows may have given up before.
        if flow.reset_at and number % 2:
            broken.append(
                f'FLOW (a): flow {flow.key[1]} of {owner} was reset '
                f'{flow.reset_at - resumed_at:.2f} s after it went on'
            )
        edges = [*own, ended_at]
        for start, end in zip(edges, edges[1:], strict=False):
            others = [
                at
                for at, name in arrivals
                if name != owner and start < at < start + FLOW_S
            ]
            if end - start >= FLOW_S and len(others) >= MIN_OTHER_PACKETS:
                broken.append(
                    f'FLOW (b): {len(others)} packets of flow {flow.key[1]} '
                    f'reached other servers and none its own, {owner}, '
                    f'for {FLOW_S} s from {start - resumed_at:.2f} s on'
                )
                break
    return broken


if __name__ == '__main__':
    main(Path(__file__).parent, run)
