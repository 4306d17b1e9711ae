"""One heartbeat of another writer that can't be read."""

import asyncio
import time
from pathlib import Path

from cases import main
from clients import ClientSocket, Flow
from deployment import CannotRunError, Deployment, Record, configuration
from trefoilhaven_core.membership.messages import Address

DEADLINE_S = 2.0
SHIFT_AFTER_S = 4.8
WATCHED_S = 30.0

ROUTE = Address('127.200.0.1', 443)
GATEWAYS = ['a', 'a', 'a', 'b', 'b', 'c', 'c']
TARGETS = [('desk', zone) for zone in 'aaabbcc'] + [
    ('press', zone) for zone in 'abc'
]
AGENT = 's1'
FLOWS_A_CLIENT = 6

# The body of the heartbeat: 64 KB that end in the middle of a string.
BODY_BYTES = 65_000
HEAD = b'{"service":"desk","x":' + b'[' * 2_000 + b'"'
BODY = HEAD + b'\\"' * ((BODY_BYTES - len(HEAD)) // 2)


async def send_heartbeat(deployment: Deployment, host: str) -> None:
    """Send the body from the agent's own machine, as its server would."""
    reader, writer = await asyncio.open_connection(
        host, deployment.ports['announcements'], local_addr=(host, 0)
    )
    writer.write(
        b'PUT /v1/instances/i-other HTTP/1.1\r\nHost: agent\r\n'
        b'Content-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n' % len(BODY)
    )
    writer.write(BODY)
    line = await reader.readline()
    deployment.record(f'answer to the heartbeat: {line!r}')
    writer.close()


async def watch(deployment: Deployment, since: float) -> float:
    """Return for how long the agent has answered no readiness check."""
    answered_at = since
    longest_s = 0.0
    while time.monotonic() < since + WATCHED_S:
        if await deployment.is_agent_ready(AGENT):
            longest_s = max(longest_s, time.monotonic() - answered_at)
            answered_at = time.monotonic()
        await asyncio.sleep(0.2)
    return max(longest_s, time.monotonic() - answered_at)


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
    """Send the heartbeat to one agent; then the clients change their zone."""
    await deployment.start(GATEWAYS, TARGETS, configuration(1, {ROUTE: 'desk'}))
    port = deployment.ports['fabric']
    zone = 'a'
    sockets = [
        ClientSocket(
            Address(f'127.1.0.{number}', port),
            lambda: deployment.zone_rotation(zone),
        )
        for number in range(1, 9)
    ]
    await asyncio.sleep(6)
    opened = await asyncio.gather(*map(open_flows, sockets))
    flows = [flow for each in opened for flow in each]
    record(f'{len(flows)} flows are open')
    sent_at = time.monotonic()
    sending = None
    if is_troubled:
        host = deployment.hosts[AGENT]
        sending = asyncio.create_task(send_heartbeat(deployment, host))
        record(f'a heartbeat that cannot be read is sent to {AGENT}')
    watching = asyncio.create_task(watch(deployment, sent_at))
    await asyncio.sleep(SHIFT_AFTER_S)
    zone = 'b'
    record('the clients move from zone a to zone b, and send requests')
    resumed_at = time.monotonic()
    await asyncio.gather(*(flow.request(DEADLINE_S) for flow in flows))
    broken = []
    for flow in flows:
        owner = next(
            (
                name
                for name, server in deployment.servers.items()
                if server.flows.get(flow.key) == flow.server_sequence
            ),
            None,
        )
        what = 'reset' if flow.reset_at else f'{flow.answers} answers'
        record(f'flow {flow.key[1]} of {owner}: {what}')
        if flow.reset_at and owner is not None:
            broken.append(
                f'FLOW (a): flow {flow.key[1]}, which {owner} holds, was reset '
                f'{flow.reset_at - resumed_at:.2f} s after the clients moved'
            )
    hung_s = await watching
    record(f'longest time without an answer of {AGENT}: {hung_s:.1f} s')
    if sending is not None:
        sending.cancel()
    return broken


if __name__ == '__main__':
    main(Path(__file__).parent, run)
