"""Keeps one object of this process up to date on the platform."""

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import Any, Final

from expression import Ok

from trefoilhaven_core.platform.backoffs import Backoff
from trefoilhaven_core.platform.clients import PlatformClient
from trefoilhaven_core.platform.errors import (
    Conflict,
    NotFound,
    describe_error,
)

logger = logging.getLogger(__name__)

BACKOFF_LIMIT_S: Final = 2.0

# After the return of an older copy, the processes write again within this
# time, in seconds. Lost entries are to be back two seconds after the return.
REWRITE_SPREAD_S: Final = 0.5


class Registrar:
    """Writes the desired content of an object until a write succeeds.

    Writes carry the version that they replace, so that a write that is
    applied late can't undo a later one. When the platform has come back from
    an older copy, which may lack the object, have its earlier content, or have
    it although it was deleted, the registrar writes or deletes it again.
    """

    def __init__(
        self,
        client: PlatformClient,
        path: str,
        rng: Random,
        on_first_write: Callable[[Any], None] | None = None,
        on_predecessor_deleted: Callable[[Any], None] | None = None,
    ) -> None:
        """Create a registrar; nothing is written before ``set_desired``.

        ``on_first_write`` gets the content that the first write replaced,
        None when there was no object. That may be the content of this
        process, if the answer to an earlier write was lost. It is not called
        when the repeated write conflicts too.

        ``on_predecessor_deleted`` gets the content of a deleted object that
        an earlier process wrote.
        """
        self._on_first_write = on_first_write
        self._on_predecessor_deleted = on_predecessor_deleted
        self._predecessor: Any = None
        self._client = client
        self._path = path
        self._backoff = Backoff(rng, limit_s=BACKOFF_LIMIT_S)
        self._rng = rng
        self._version: int | None = None
        self._is_version_current = True
        self._has_desired = False
        self._delay_s = 0.0
        self._desired: Any = None
        self._is_pending = False
        self._changed = asyncio.Event()
        client.on_new_era(lambda _: self.write_again())

    def set_desired(self, content: Any) -> None:
        """Set the content to write, None to delete the object."""
        self._desired = content
        self._has_desired = True
        self._is_pending = True
        self._changed.set()

    def write_again(self) -> None:
        """Write or delete the object again, in case the platform lost that.

        The version known so far may have been reused, so that it is
        read first. Nothing is done before the first ``set_desired``.
        """
        if not self._has_desired:
            return
        self._is_version_current = False
        self._is_pending = True
        self._delay_s = self._rng.uniform(0, REWRITE_SPREAD_S)
        self._changed.set()

    async def run(self) -> None:
        """Write the desired content after each change, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            delay_s = self._delay_s
            self._delay_s = 0.0
            await asyncio.sleep(delay_s)
            while self._is_pending and not await self.write():
                await asyncio.sleep(self._backoff.next_s())

    async def write(self) -> bool:
        """Make one attempt; return whether the object is as desired."""
        content = self._desired
        if content is None:
            done = await self._delete()
        else:
            done = await self._put(content)
        if done and content is self._desired:
            self._is_pending = False
        if done:
            self._backoff.reset()
            logger.info('object written', extra={'path': self._path})
        return done and not self._is_pending

    async def _put(self, content: Any) -> bool:
        known = (self._version or 0) if self._is_version_current else 0
        replaced = None
        written = await self._client.put(self._path, content, known)
        if written.is_error() and isinstance(written.error, Conflict):
            # An earlier process left its object, or the answer to a write of
            # this one was lost. The conflict gives the version, so the write
            # is repeated without a delay.
            known = written.error.version
            replaced = written.error.content
            if replaced == content:
                written = Ok(known)
            else:
                written = await self._client.put(self._path, content, known)
        if written.is_ok():
            self._is_version_current = True
            if self._version is None and self._on_first_write:
                self._on_first_write(replaced)
            self._version = written.ok
            return True
        self._record_failure(written.error)
        return False

    async def _delete(self) -> bool:
        if self._version is None or not self._is_version_current:
            # An earlier process may have left its object, or a deletion was
            # lost with the latest changes of the platform.
            read = await self._client.get(self._path)
            if read.is_error():
                self._record_failure(read.error)
                return isinstance(read.error, NotFound)
            if self._version is None:
                self._predecessor = read.ok.content
            self._version = read.ok.version
            self._is_version_current = True
        if not self._version:
            self._report_predecessor()
            return True
        deleted = await self._client.delete(self._path, self._version)
        if deleted.is_error():
            self._record_failure(deleted.error)
            if not isinstance(deleted.error, NotFound):
                return False
        self._version = 0
        self._report_predecessor()
        return True

    def _report_predecessor(self) -> None:
        content = self._predecessor
        self._predecessor = None
        if content is not None and self._on_predecessor_deleted:
            self._on_predecessor_deleted(content)

    def _record_failure(self, error: Any) -> None:
        if isinstance(error, Conflict):
            self._version = error.version
            self._is_version_current = True
        elif isinstance(error, NotFound):
            self._version = 0
            self._is_version_current = True
        logger.info(
            'object not written',
            extra={'path': self._path, 'reason': describe_error(error)},
        )
