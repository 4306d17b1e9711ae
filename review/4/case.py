"""A heartbeat with missing fields makes an agent reset its server's flows."""

import asyncio
import json
import sys
import time
from pathlib import Path

DIRECTORY = Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent / 'lib'))

from standins import CannotRun, call_http, config, main  # noqa: E402

ROUTE = ('127.78.0.1', 443)
FLOWS = 12


async def case(fleet, trouble):
    fleet.add_front('front-1', '127.77.1.1')
    fleet.add_front('front-2', '127.77.1.2')
    for number in (1, 2):
        fleet.add_side(f'side-{number}', f'127.77.2.{number}')
    await fleet.start_store()
    fleet.store.write_config(config(1, [(ROUTE, 'work')]))
    for name in ('front-1', 'front-2'):
        fleet.spawn(name)
    servers = []
    for number in (1, 2):
        fleet.spawn(f'side-{number}', 'work')
        servers.append(
            await fleet.server(f'side-{number}', f'i-{number}', 'work')
        )
    await fleet.wait_ready(['front-1', 'front-2'])
    await fleet.wait(
        'heartbeats', lambda: all(each.confirmed for each in servers)
    )
    await asyncio.sleep(5)

    requester = fleet.requester('127.77.3.1')
    flows = [requester.flow(40_000 + each, ROUTE) for each in range(FLOWS)]
    await asyncio.gather(*(flow.connect() for flow in flows))
    await asyncio.gather(
        *(flow.request(f'a-{number}') for number, flow in enumerate(flows))
    )
    held = [flow for flow in flows if flow.key in servers[0].open]
    if not held:
        raise CannotRun('no flow is open at the first server')
    await asyncio.sleep(0.5)

    # A whole heartbeat has also address, version and cold_left_ms.
    heartbeat = {
        'service': 'work',
        'zone': 'a',
        'slots': 2,
        'state': 'ready',
        'sequence': 1,
        'born': round(time.time() * 1000),
    }
    if trouble:
        answer = await call_http(
            servers[0].host,
            fleet.ports['heartbeats'],
            'PUT',
            '/v1/instances/other',
            json.dumps(heartbeat).encode(),
        )
        fleet.record.line(
            f'another writer: PUT /v1/instances/other on side-1 '
            f'{json.dumps(heartbeat)} -> {answer and answer[0]}'
        )
    await asyncio.sleep(1)
    for turn in range(3):
        going = [flow for flow in flows if not flow.is_over]
        await asyncio.gather(
            *(
                flow.request(f'b-{turn}-{number}')
                for number, flow in enumerate(going)
            )
        )
        await asyncio.sleep(1)
    reset = [
        flow
        for flow in held
        if any(not is_own and near for _, _, near, is_own in flow.resets)
    ]
    still = sum(flow.key in servers[0].open for flow in held)
    fleet.record.line(
        f'{len(held)} flows were opened at i-1, which holds {still} of them '
        f'at the end; {len(reset)} were reset'
    )
    if reset:
        return (
            f'FLOW: {len(reset)} of {len(held)} open flows were reset by the '
            'system; their server lives and holds them'
        )
    return ''


main(case, DIRECTORY)
