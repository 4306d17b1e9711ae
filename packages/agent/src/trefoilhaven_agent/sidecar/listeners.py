"""Check of an agent whether a target listens at its address."""

import asyncio
import time
from typing import Final

from trefoilhaven_core.connections.target_evidence import LoadingTime
from trefoilhaven_core.membership.messages import Address
from trefoilhaven_core.telemetry.process_start import PROCESS_STARTED_AT

# Timeout of one check, in seconds.
CHECK_TIMEOUT_S: Final = 0.15


async def is_unused(address: Address) -> bool:
    """Return whether nothing listens at an address of this host.

    Only a refused connection shows this. A timeout does not: a busy target
    may be slow to accept.
    """
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


def make_loading_time() -> LoadingTime:
    """Return the time until now in which this process has loaded."""
    return LoadingTime(PROCESS_STARTED_AT, time.time())
