"""In-memory platform for tests of code that uses a platform client."""

from collections.abc import Callable
from typing import Any, Final

from expression import Error, Ok, Result

from trefoilhaven_core.platform import errors
from trefoilhaven_core.platform.clients import (
    Changes,
    Listing,
    PlatformClient,
    PlatformObject,
)
from trefoilhaven_core.platform.errors import PlatformError

DOWN: Final = errors.Unavailable(maybe_applied=False, reason='down')
LOST: Final = errors.Unavailable(maybe_applied=True, reason='closed')


class MemoryPlatform(PlatformClient):
    """Objects in memory; ``faults`` has one entry for each next write.

    A fault is ``lost_after`` (applied, answer lost), ``lost_before`` (not
    applied, answer lost) or a function that runs before the write.
    """

    def __init__(self, *faults: str | Callable[['MemoryPlatform'], None]):
        self.objects: dict[str, PlatformObject] = {}
        self.faults = list(faults)
        self.writes = 0
        self.is_down = False

    async def get(self, path: str) -> Result[PlatformObject, PlatformError]:
        """Return an object."""
        if self.is_down:
            return Error(DOWN)
        found = self.objects.get(path)
        return Ok(found) if found else Error(errors.NotFound(path))

    async def put(
        self,
        path: str,
        content: Any,
        expected_version: int,
    ) -> Result[int, PlatformError]:
        """Write an object under the next fault."""
        fault = self.faults.pop(0) if self.faults else ''
        if callable(fault):
            fault(self)
        if self.is_down or fault == 'lost_before':
            return Error(LOST)
        outcome = self.apply(path, content, expected_version)
        return Error(LOST) if fault == 'lost_after' else outcome

    def apply(
        self,
        path: str,
        content: Any,
        expected_version: int,
    ) -> Result[int, PlatformError]:
        """Write an object of the expected version, without any fault."""
        current = self.objects.get(path, PlatformObject(path, 0, None))
        if current.version != expected_version:
            return Error(errors.Conflict(*current))
        self.writes += 1
        version = expected_version + 1
        self.objects[path] = PlatformObject(path, version, content)
        return Ok(version)

    async def delete(
        self, path: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete an object of the expected version."""
        if self.is_down:
            return Error(DOWN)
        found = self.objects.get(path)
        if found is None:
            return Error(errors.NotFound(path))
        if found.version != expected_version:
            return Error(errors.Conflict(path, found.version, found.content))
        del self.objects[path]
        return Ok(None)

    async def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """Return all objects."""
        if self.is_down:
            return Error(DOWN)
        return Ok(Listing(self.writes, tuple(self.objects.values())))

    async def watch(
        self,
        prefix: str,
        after: int,
        timeout_s: float,
    ) -> Result[Changes, PlatformError]:
        """Return at once without changes."""
        return Ok(Changes(after, ()))
