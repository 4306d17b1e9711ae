"""An agent that restarts soon after its server denies the server's flows."""

import asyncio
import sys
from pathlib import Path

DIRECTORY = Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent / 'lib'))

from standins import CannotRun, config, main  # noqa: E402

ROUTE = ('127.78.0.1', 443)
STORE_DOWN_S = 4.5
RESTART_DELAY_S = 0.3
STABLE_WINDOW_S = 4.0
FLOWS = 12


async def case(fleet, trouble):
    fleet.add_front('front-1', '127.77.1.1')
    fleet.add_front('front-2', '127.77.1.2')
    fleet.add_side('side-1', '127.77.2.1')
    fleet.add_side('side-2', '127.77.2.2')
    await fleet.start_store()
    fleet.store.write_config(config(1, [(ROUTE, 'work')]))
    for name in ('front-1', 'front-2'):
        fleet.spawn(name)
    fleet.spawn('side-1', 'work')
    first = await fleet.server('side-1', 'i-first', 'work')
    await fleet.wait_ready(['front-1', 'front-2'])
    await fleet.wait('heartbeat', lambda: first.confirmed)
    await asyncio.sleep(STABLE_WINDOW_S + 1)

    if trouble:
        fleet.store.mode = 'busy'
        fleet.record.line('store: down (503)')
    down_at = fleet.record.now()
    # A server is added with its machine, as planned.
    fleet.spawn('side-2', 'work')
    added = await fleet.server('side-2', 'i-added', 'work')
    await fleet.wait('heartbeat', lambda: added.confirmed, 3)
    await asyncio.sleep(0.3)
    requester = fleet.requester('127.77.3.1')
    flows = [requester.flow(40_000 + each, ROUTE) for each in range(FLOWS)]
    await asyncio.gather(*(flow.connect() for flow in flows))
    await asyncio.gather(
        *(flow.request(f'before-{number}') for number, flow in enumerate(flows))
    )
    held = [flow for flow in flows if flow.key in added.open]
    if not held:
        raise CannotRun('no flow was placed at the added server')
    # The last acknowledgements arrive; the flows pause.
    await asyncio.sleep(0.2)
    if trouble:
        fleet.kill('side-2')
        await asyncio.sleep(RESTART_DELAY_S)
        fleet.spawn('side-2', 'work')
    await asyncio.sleep(max(0, down_at + STORE_DOWN_S - fleet.record.now()))
    if trouble:
        fleet.store.mode = ''
        fleet.record.line('store: up')
    # Store and machines are calm for longer than stable_window_ms.
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    fleet.record.line(
        f'{len(held)} flows are open at {added.identity}, which has run all '
        'the while; their requesters go on'
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
