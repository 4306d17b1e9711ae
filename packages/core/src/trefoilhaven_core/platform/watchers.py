"""Watches the objects under a prefix, also across outages."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from random import Random
from typing import Any

from trefoilhaven_core.platform import errors
from trefoilhaven_core.platform.backoffs import Backoff
from trefoilhaven_core.platform.clients import (
    ObjectChange,
    PlatformClient,
    PlatformObject,
)
from trefoilhaven_core.platform.errors import PlatformError, describe_error
from trefoilhaven_core.platform.points import StorePoint
from trefoilhaven_core.settings import defaults

logger = logging.getLogger(__name__)

ChangeHandler = Callable[[ObjectChange], None]


class Watcher:
    """Lists a prefix, then watches it; lists again after each failure.

    After a failure, or when the platform has come back from an older copy,
    ``on_change`` gets every object again and must compare versions. Objects
    that were reported before and are not listed any more are reported as
    deleted, with the last known version and without content. After an older
    copy such an object may only have been lost with the latest changes, and
    its writer may write it again.
    """

    def __init__(
        self,
        client: PlatformClient,
        prefix: str,
        on_change: ChangeHandler,
        rng: Random,
        sleep: Callable[[float], Awaitable[Any]] = asyncio.sleep,
        watch_timeout_s: float = defaults.PLATFORM_WATCH_TIMEOUT_S,
        backoff_limit_s: float = defaults.PLATFORM_BACKOFF_LIMIT_S,
    ) -> None:
        """Create a watcher; ``run`` starts it."""
        self.failures = 0
        self.watch_timeout_s = watch_timeout_s
        self._client = client
        self._prefix = prefix
        self._on_change = on_change
        self._backoff = Backoff(rng, limit_s=backoff_limit_s)
        self._sleep = sleep
        self._point: StorePoint | None = None
        self._reported: dict[str, int] = {}

    async def run(self) -> None:
        """Watch the objects until the task is cancelled."""
        while True:
            await self.poll_with_backoff()

    async def poll_with_backoff(self) -> None:
        """Poll once; after a failure, wait for the backoff delay."""
        error = await self.poll()
        if error is not None:
            await self._wait_after(error)

    async def poll(self) -> PlatformError | None:
        """Make one list or watch call and report its objects.

        Returns the error of a failed call. A watch that meets a later era
        reports nothing, as it lacks the changes up to the watched revision;
        the next call lists.
        """
        if self._point is None:
            return await self._list()
        changes = await self._client.watch(
            self._prefix, self._point.revision, self.watch_timeout_s
        )
        if changes.is_error():
            return changes.error
        if changes.ok.era != self._point.era:
            self._point = None
            return None
        self._point = changes.ok.point
        self._report_changes(changes.ok.objects)
        self._backoff.reset()
        return None

    async def _list(self) -> PlatformError | None:
        listing = await self._client.list(self._prefix)
        if listing.is_error():
            return listing.error
        self._point = listing.ok.point
        listed = {each.path for each in listing.ok.objects}
        deleted = [
            ObjectChange(path, version, None, True, listing.ok.revision)
            for path, version in self._reported.items()
            if path not in listed
        ]
        self._report_changes(map(_as_change, listing.ok.objects))
        self._report_changes(deleted)
        return None

    def _report_changes(self, changes: Iterable[ObjectChange]) -> None:
        for change in changes:
            if change.deleted:
                self._reported.pop(change.path, None)
            else:
                self._reported[change.path] = change.version
            self._on_change(change)

    async def _wait_after(self, error: PlatformError) -> None:
        self.failures += 1
        self._point = None
        wait_s = self._backoff.next_s()
        if isinstance(error, errors.RateLimited):
            wait_s = max(wait_s, error.retry_after_s)
        logger.warning(
            'watch of %s failed, retrying in %.1f s: %s',
            self._prefix,
            wait_s,
            describe_error(error),
        )
        await self._sleep(wait_s)


def _as_change(found: PlatformObject) -> ObjectChange:
    return ObjectChange(*found, deleted=False, revision=0)
