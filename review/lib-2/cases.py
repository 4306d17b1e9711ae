"""Runs a case and turns its result into an exit code."""

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from deployment import CannotRunError, Deployment, Record

LIMIT_S = 110
BROKEN, HELD, CANNOT_RUN = 1, 0, 2

Case = Callable[[Deployment, Record, bool], Awaitable[list[str]]]


def main(folder: Path, case: Case) -> None:
    """Run a case; it returns what broke the rule.

    The exit code is 1 if anything did, 0 if not, and 2 if it could not run.
    """
    record = Record(folder / 'record.txt')
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    record(f'case {folder.name}, with the disruption: {is_troubled}')
    try:
        broken = asyncio.run(_run(record, case, is_troubled))
    except (CannotRunError, TimeoutError, OSError) as exc:
        record(f'could not run: {exc!r}')
        traceback.print_exc()
        sys.exit(CANNOT_RUN)
    for line in broken:
        record(f'BROKEN {line}')
    record(f'{len(broken)} breaches')
    print(f'{len(broken)} breaches')
    sys.exit(BROKEN if broken else HELD)


async def _run(record: Record, case: Case, is_troubled: bool) -> list[str]:
    with tempfile.TemporaryDirectory(prefix='review-') as directory:
        deployment = Deployment(Path(directory), record)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await case(deployment, record, is_troubled)
        finally:
            await deployment.stop()
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                for log in Path(directory).glob('*.log'):
                    Path(keep, log.name).write_bytes(log.read_bytes())
