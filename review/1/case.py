"""A flow that has carried 8 MiB is reset."""

import asyncio
import sys
import time
from pathlib import Path

DIRECTORY = Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent / 'lib'))

from standins import config, main  # noqa: E402

ROUTE = ('127.78.0.1', 443)
WORK_S = 0.026
PAUSE_S = 0.01
MAX_FLOW_S = 60.0
REQUESTS = 420
# Response sizes of the first class on the sheet: the largest and the mean.
LARGEST_BYTES = 24_000
MEAN_BYTES = 4_000


async def case(fleet, trouble):
    fleet.add_front('front-1', '127.77.1.1')
    fleet.add_front('front-2', '127.77.1.2')
    fleet.add_side('side-1', '127.77.2.1')
    fleet.add_side('side-2', '127.77.2.2')
    await fleet.start_store()
    fleet.store.write_config(config(1, [(ROUTE, 'work')]))
    for name in ('front-1', 'front-2'):
        fleet.spawn(name)
    servers = []
    for number in (1, 2):
        fleet.spawn(f'side-{number}', 'work')
        servers.append(
            await fleet.server(
                f'side-{number}', f'i-{number}', 'work', work_s=WORK_S
            )
        )
    await fleet.wait_ready(['front-1', 'front-2'])
    await fleet.wait(
        'heartbeats', lambda: all(each.confirmed for each in servers)
    )
    await asyncio.sleep(5)

    size = LARGEST_BYTES if trouble else MEAN_BYTES
    requester = fleet.requester('127.77.3.1')
    flow = requester.flow(40_000, ROUTE)
    opened_at = time.monotonic()
    if not await flow.connect():
        return 'the flow did not open'
    served = 0
    for number in range(REQUESTS):
        if time.monotonic() - opened_at > MAX_FLOW_S - 2:
            break
        answer = await flow.request(
            f'bulk-{number}', 1.5, size=size, quiet=True
        )
        if answer is None:
            break
        served += 1
        if served % 50 == 0:
            fleet.record.line(
                f'{served} responses of {size} bytes, {flow.received} bytes'
            )
        await asyncio.sleep(PAUSE_S)
    age_s = time.monotonic() - opened_at
    holder = [each.identity for each in servers if flow.key in each.open]
    fleet.record.line(
        f'{served} of {REQUESTS} requests served on the flow, '
        f'{flow.received} bytes received, age {age_s:.1f} s, '
        f'open at {holder}'
    )
    if any(not is_own and near for _, _, near, is_own in flow.resets):
        return (
            f'FLOW: the system reset an open flow of {age_s:.1f} s after '
            f'{flow.received} bytes; its server lives and holds it'
        )
    return '' if served == REQUESTS else 'requests were not served'


main(case, DIRECTORY)
