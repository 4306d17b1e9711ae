"""Versioned object store and rate limit of the platform."""

from typing import Any, NamedTuple

from expression import Error, Ok, Result


class StoredObject(NamedTuple):
    """A stored object; a deleted one remains as a tombstone for watches."""

    path: str
    version: int
    content: Any
    deleted: bool
    revision: int


class Conflict(NamedTuple):
    """Current version and content when a conditional write fails."""

    version: int
    content: Any


class ObjectStore:
    """Objects by path, with a revision that every write increments."""

    def __init__(self) -> None:
        """Start empty at revision 0."""
        self.revision = 0
        self._objects: dict[str, StoredObject] = {}

    def get(self, path: str) -> StoredObject | None:
        """Return an object, or None when it is absent or deleted."""
        found = self._objects.get(path)
        return None if found is None or found.deleted else found

    def below(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose path has a prefix, sorted by path."""
        return [
            found
            for path, found in sorted(self._objects.items())
            if path.startswith(prefix) and not found.deleted
        ]

    def changed(self, prefix: str, after: int) -> list[StoredObject]:
        """Return objects written or deleted after a revision, in that order."""
        found = (
            stored
            for path, stored in self._objects.items()
            if path.startswith(prefix) and stored.revision > after
        )
        return sorted(found, key=lambda stored: stored.revision)

    def write(
        self,
        path: str,
        content: Any,
        expected: int,
    ) -> Result[StoredObject, Conflict]:
        """Create or replace an object if its version is the expected one.

        The expected version of an absent object is 0.
        """
        return self._store(path, content, expected, deleted=False)

    def delete(
        self,
        path: str,
        expected: int,
    ) -> Result[StoredObject, Conflict]:
        """Delete an object if its version is the expected one."""
        return self._store(path, None, expected, deleted=True)

    def _store(
        self,
        path: str,
        content: Any,
        expected: int,
        *,
        deleted: bool,
    ) -> Result[StoredObject, Conflict]:
        present = self.get(path)
        version = present.version if present else 0
        if version != expected:
            return Error(
                Conflict(version, present.content if present else None),
            )
        self.revision += 1
        stored = StoredObject(
            path,
            self.revision,
            content,
            deleted,
            self.revision,
        )
        self._objects[path] = stored
        return Ok(stored)


class TokenBucket:
    """Rate limit in calls per second; the burst is the calls of a second."""

    def __init__(self, rate: float, now: float) -> None:
        """Start full."""
        self._rate = rate
        self._tokens = rate
        self._refilled_at = now

    def take(self, now: float) -> float:
        """Take a token; return 0, or the seconds until one is available."""
        self._tokens = min(
            self._rate,
            self._tokens + (now - self._refilled_at) * self._rate,
        )
        self._refilled_at = now
        if self._tokens < 1:
            return (1 - self._tokens) / self._rate
        self._tokens -= 1
        return 0
