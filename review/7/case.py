"""A late heartbeat makes a restarted agent deny its server's open flows."""

import asyncio
import json
import sys
from pathlib import Path

DIRECTORY = Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent / 'lib'))

from standins import CannotRun, call_http, config, main  # noqa: E402

ROUTE = ('198.18.0.1', 443)
RESTART_DELAY_S = 0.3
STABLE_WINDOW_S = 4.0
FLOWS = 12


async def deliver_late(fleet, earlier, sequence):
    """Deliver a heartbeat as soon as the agent takes connections."""
    body = {
        'service': earlier.service,
        'address': f'{earlier.host}:{fleet.ports["app"]}',
        'zone': 'a',
        'version': 'v1',
        'slots': 2,
        'state': 'ready',
        'cold_left_ms': 0,
        'sequence': sequence,
        'born': earlier.born,
    }
    for _ in range(400):
        answer = await call_http(
            earlier.host,
            fleet.ports['heartbeats'],
            'PUT',
            f'/v1/instances/{earlier.identity}',
            json.dumps(body).encode(),
        )
        if answer is not None:
            fleet.record.line(
                f'late heartbeat {sequence} of {earlier.identity}, which has '
                f'ended, arrives: {answer[0]}'
            )
            return
        await asyncio.sleep(0.005)
    raise CannotRun('the late heartbeat could not be delivered')


async def case(fleet, trouble):
    fleet.add_front('front-1', '127.77.1.1')
    fleet.add_front('front-2', '127.77.1.2')
    for number in (1, 2):
        fleet.add_side(f'side-{number}', f'127.77.2.{number}')
    await fleet.start_store()
    fleet.store.write_config(config(1, [(ROUTE, 'work')]))
    for name in ('front-1', 'front-2'):
        fleet.spawn(name)
    for number in (1, 2):
        fleet.spawn(f'side-{number}', 'work')
    earlier = await fleet.server('side-1', 'i-earlier', 'work')
    other = await fleet.server('side-2', 'i-other', 'work')
    await fleet.wait_ready(['front-1', 'front-2'])
    await fleet.wait('heartbeats', lambda: earlier.confirmed and other.confirmed)
    await asyncio.sleep(2)
    # The server crashes, and a new lifetime registers at the address.
    sequence = earlier.sequence + 1
    await earlier.end('crashes')
    await asyncio.sleep(1)
    later = await fleet.server('side-1', 'i-later', 'work')
    await fleet.wait('heartbeat', lambda: later.confirmed)
    await asyncio.sleep(STABLE_WINDOW_S + 1)

    requester = fleet.requester('127.77.3.1')
    flows = [requester.flow(40_000 + each, ROUTE) for each in range(FLOWS)]
    await asyncio.gather(*(flow.connect() for flow in flows))
    await asyncio.gather(
        *(flow.request(f'before-{number}') for number, flow in enumerate(flows))
    )
    held = [flow for flow in flows if flow.key in later.open]
    if not held:
        raise CannotRun('no flow is open at the later server')
    await asyncio.sleep(0.3)
    fleet.kill('side-1')
    await asyncio.sleep(RESTART_DELAY_S)
    fleet.spawn('side-1', 'work')
    if trouble:
        await deliver_late(fleet, earlier, sequence)
    await asyncio.sleep(STABLE_WINDOW_S + 2)
    fleet.record.line(
        f'{len(held)} flows are open at {later.identity}, which has run all '
        'the while'
    )
    await asyncio.gather(
        *(flow.request(f'after-{flow.source[1]}', 1.5) for flow in held)
    )
    reset = [
        flow
        for flow in held
        if any(not is_own and near for _, _, near, is_own in flow.resets)
    ]
    if reset:
        return (
            f'FLOW: {len(reset)} of {len(held)} open flows were reset by the '
            'system; their server lives and holds them'
        )
    return ''


main(case, DIRECTORY)
