"""Interface of the platform's object store, used by other packages."""

from abc import ABC, abstractmethod
from typing import Any, NamedTuple

from expression import Result

from trefoilhaven_core.platform.errors import PlatformError


class PlatformObject(NamedTuple):
    """One object.

    ``version`` is 1 or more and grows with each write; 0 stands for an object
    that does not exist.
    """

    path: str
    version: int
    content: Any


class Listing(NamedTuple):
    """Objects under a prefix at one revision of the platform."""

    revision: int
    objects: tuple[PlatformObject, ...]


class ObjectChange(NamedTuple):
    """An object that was written or deleted at a revision."""

    path: str
    version: int
    content: Any
    deleted: bool
    revision: int


class Changes(NamedTuple):
    """Changes under a prefix; the next watch starts after ``revision``."""

    revision: int
    objects: tuple[ObjectChange, ...]


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

    async def close(self) -> None:  # noqa: B027
        """Close the connections; does nothing if there are none."""
