"""A draining server whose machine is frozen while the store comes back older."""

import asyncio
import signal
import time
from pathlib import Path

from cases import main
from clients import ClientSocket, Flow
from deployment import CannotRunError, Deployment, Record, configuration
from trefoilhaven_core.membership.messages import Address

# Bounds and doses of the deployment, in seconds.
STABLE_WINDOW_S = 4.0
FREEZE_S = 4.0
AWAY_S = 0.6
MAX_IDLE_S = 12.0
DEADLINE_S = 2.0

ROUTE = Address('127.200.0.1', 443)
CONFIG = configuration(1, {ROUTE: 'desk'})
GATEWAYS = ['a', 'a', 'a', 'b', 'b', 'c', 'c']
TARGETS = [('desk', zone) for zone in 'aaabbcc'] + [
    ('press', zone) for zone in 'abc'
]
# The server that is added, drains and whose machine freezes.
ADDED = 's11'
MIN_FLOWS = 6


async def open_flow(flow: Flow) -> Flow | None:
    """Open a flow with one request; return None if it was not served."""
    await flow.open()
    is_served = flow.opened_at and await flow.request(DEADLINE_S)
    return flow if is_served else None


async def run(
    deployment: Deployment, record: Record, is_troubled: bool
) -> list[str]:
    """Add a server and drain it; freeze its machine during a drill."""
    await deployment.start(GATEWAYS, TARGETS, CONFIG)
    port = deployment.ports['fabric']
    sockets = [
        ClientSocket(
            Address(f'127.1.0.{number}', port), lambda: deployment.rotation
        )
        for number in range(1, 9)
    ]
    await asyncio.sleep(4)
    older = deployment.store.copy()
    copied_at = time.monotonic()
    deployment.hosts[ADDED] = '127.0.20.11'
    deployment.domains[ADDED] = 'a'
    deployment.services[ADDED] = 'desk'
    deployment.spawn(ADDED)
    await asyncio.sleep(0.5)
    server = await deployment.start_server(ADDED)
    await deployment.wait(
        'the heartbeat of the new server',
        lambda: server.acknowledged == 'ready',
    )
    record(f'server of {ADDED} was added')
    await asyncio.sleep(0.5)
    held: list[Flow] = []
    while len(held) < MIN_FLOWS:
        if time.monotonic() > copied_at + 6:
            raise CannotRunError('the new server got too few flows')
        flows = [socket.flow(ROUTE) for socket in sockets]
        opened = await asyncio.gather(*map(open_flow, flows))
        held += [
            flow
            for flow in filter(None, opened)
            if server.flows.get(flow.key) == flow.server_sequence
        ]
    server.state = 'draining'
    await deployment.wait(
        'the acknowledgement of the drain',
        lambda: server.acknowledged == 'draining',
    )
    record(f'{ADDED} drains, acknowledged, with {len(held)} open flows')
    if is_troubled:
        deployment.store.is_down = True
        deployment.proxy.cut()
        record('the store is away')
    await asyncio.sleep(AWAY_S)
    frozen_at = time.monotonic()
    if is_troubled:
        deployment.signal(ADDED, signal.SIGSTOP)
        deployment.store.restore(older)
        deployment.store.is_down = False
        await deployment.store.write('config', 'main', CONFIG)
        record(
            f'the store is back from a copy {frozen_at - copied_at:.1f} s old, '
            f'and the machine of {ADDED} freezes'
        )
    await asyncio.sleep(FREEZE_S)
    if is_troubled:
        deployment.signal(ADDED, signal.SIGCONT)
        record(f'the machine of {ADDED} wakes')
    await asyncio.sleep(STABLE_WINDOW_S + 0.3)
    resumed_at = time.monotonic()
    if resumed_at - min(flow.answered_at for flow in held) > MAX_IDLE_S:
        raise CannotRunError('the flows were idle for too long')
    record(f'the flows go on, {resumed_at - frozen_at:.1f} s after the return')
    await asyncio.gather(*(flow.request(DEADLINE_S) for flow in held))
    broken = []
    for flow in held:
        is_held = server.flows.get(flow.key) == flow.server_sequence
        what = 'reset' if flow.reset_at else f'{flow.answers} answers'
        record(f'flow {flow.key[1]}, held by {ADDED}: {is_held}: {what}')
        if flow.reset_at and is_held:
            broken.append(
                f'FLOW (a): flow {flow.key[1]}, which {ADDED} holds, was reset '
                f'{flow.reset_at - resumed_at:.2f} s after it went on'
            )
    return broken


if __name__ == '__main__':
    main(Path(__file__).parent, run)
