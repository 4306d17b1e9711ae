"""Removal of the objects of hosts that have failed for good.

The agent deletes its target's object when the target ends. A failed host
takes down both, so that the balancer of the lowest rank deletes the object
after a timeout. An agent that was only unreachable for so long writes its
object again when it reconnects.
"""

import asyncio
import contextlib
import logging
from typing import Final, NamedTuple

from trefoilhaven.gateway.state import GatewayState
from trefoilhaven_core.membership.messages import Member
from trefoilhaven_core.membership.objects import TARGETS_PREFIX, read_member
from trefoilhaven_core.membership.ranks import balancer_rank
from trefoilhaven_core.platform.clients import PlatformClient
from trefoilhaven_core.platform.errors import NotFound, describe_error
from trefoilhaven_core.timeline.monotonic import monotonic

logger = logging.getLogger(__name__)

# Silence after which an agent counts as failed for good. It is long because
# partitions between failure domains last minutes, and because the object of
# a failed host does no harm.
REMOVAL_TIMEOUT_S: Final = 120.0
CHECK_INTERVAL_S: Final = 10.0


class _RecordKey(NamedTuple):
    """Identifies a target's record and with it the object to remove."""

    host: str
    target: str
    incarnation: int


class RemovalTask:
    """Deletes the objects of failed targets in the platform's store.

    It also ends the records of targets that others have replaced.
    """

    def __init__(self, state: GatewayState, client: PlatformClient) -> None:
        self._state = state
        self._client = client
        self._removed: set[_RecordKey] = set()

    async def run(self) -> None:
        """Check for failed targets regularly until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = monotonic()
            self._state.end_replaced(now, REMOVAL_TIMEOUT_S)
            # The calls wait while the store is unavailable.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.remove_failed(now)

    async def remove_failed(self, now: float) -> None:
        """Delete the objects of failed targets if this balancer ranks first."""
        state = self._state
        if balancer_rank(state.cfg.name, state.store.balancers):
            return
        failed = state.target_selector.failed_members(now, REMOVAL_TIMEOUT_S)
        failed_by_key = {
            _RecordKey(member.host, member.target, member.incarnation): member
            for member in failed
        }
        # A target that is heard again may fail again.
        self._removed &= failed_by_key.keys()
        for key, member in failed_by_key.items():
            if key not in self._removed and await self._remove(member):
                self._removed.add(key)

    async def _remove(self, member: Member) -> bool:
        """Delete a target's object; return whether no retry is needed."""
        path = f'{TARGETS_PREFIX}{member.host}'
        read = await self._client.get(path)
        if read.is_error():
            return isinstance(read.error, NotFound)
        found = read_member(read.ok.content)
        if found.is_error() or not _is_same(found.ok, member):
            return True
        deleted = await self._client.delete(path, read.ok.version)
        if deleted.is_error():
            logger.info(
                'object of a failed host not removed',
                extra={'path': path, 'reason': describe_error(deleted.error)},
            )
            return False
        logger.info(
            'object of a failed host removed',
            extra={
                'path': path,
                'target': member.target,
                'incarnation': member.incarnation,
                'silent_s': REMOVAL_TIMEOUT_S,
            },
        )
        return True


def _is_same(found: Member, member: Member) -> bool:
    return (found.target, found.incarnation) == (
        member.target,
        member.incarnation,
    )
