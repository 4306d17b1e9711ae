"""Interface of the platform's object store, used by other packages."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Result

from trefoilhaven_core.platform.errors import PlatformError
from trefoilhaven_core.platform.points import StorePoint


class PlatformObject(NamedTuple):
    """One object.

    ``version`` is 1 or more and grows with each write; 0 stands for an object
    that does not exist.
    """

    path: str
    version: int
    content: Any


class Listing(NamedTuple):
    """Objects under a prefix at one revision of the platform.

    ``era`` is 0 for a platform that has no eras.
    """

    revision: int
    objects: tuple[PlatformObject, ...]
    era: int = 0

    @property
    def point(self) -> StorePoint:
        """Era and revision."""
        return StorePoint(self.era, self.revision)


class ObjectChange(NamedTuple):
    """An object that was written or deleted at a revision."""

    path: str
    version: int
    content: Any
    deleted: bool
    revision: int


class Changes(NamedTuple):
    """Changes under a prefix; the next watch starts after ``revision``.

    Changes of a later era than that of the watched revision are not
    complete: revisions were reused.
    """

    revision: int
    objects: tuple[ObjectChange, ...]
    era: int = 0

    @property
    def point(self) -> StorePoint:
        """Era and revision."""
        return StorePoint(self.era, self.revision)


class PlatformClient(ABC):
    """Client of the platform's object store.

    No method raises for a failure of the platform; failures are returned
    as ``PlatformError``.
    """

    @abstractmethod
    async def get(self, path: str) -> Result[PlatformObject, PlatformError]:
        """Return one object."""

    @abstractmethod
    async def put(
        self,
        path: str,
        content: Any,
        expected_version: int,
    ) -> Result[int, PlatformError]:
        """Write an object of the expected version, 0 to create it.

        Returns the new version.
        """

    @abstractmethod
    async def delete(
        self,
        path: str,
        expected_version: int,
    ) -> Result[None, PlatformError]:
        """Delete an object of the expected version."""

    @abstractmethod
    async def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """Return all objects whose path starts with a prefix.

        With ``allow_stale`` the platform may answer with a state that is
        some seconds old, if it has a cheaper call for that.
        """

    @abstractmethod
    async def watch(
        self,
        prefix: str,
        after: int,
        timeout_s: float,
    ) -> Result[Changes, PlatformError]:
        """Wait for changes after a revision.

        Returns without changes when none came within the timeout.
        """

    def on_new_era(  # noqa: B027
        self, handler: Callable[[int], None]
    ) -> None:
        """Call a handler with each new era; never for one without eras.

        Any answer to this process may show the new era.
        """

    def limit_probe_interval(self, limit_s: float) -> None:  # noqa: B027
        """Limit the time between probes of an unavailable platform."""

    def end_waits(self) -> None:  # noqa: B027
        """Make later calls at once, also while the platform is unavailable.

        A process that stops calls it before its last write.
        """

    async def close(self) -> None:  # noqa: B027
        """Close the connections; does nothing if there are none."""
