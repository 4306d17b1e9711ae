"""Tests of the registrar."""

from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from expression import Error, Ok, Result
from trefoilhaven_core.platform import errors
from trefoilhaven_core.platform.clients import (
    Changes,
    Listing,
    PlatformClient,
    PlatformObject,
)
from trefoilhaven_core.platform.errors import PlatformError
from trefoilhaven_core.platform.registrar import Registrar

PATH = 'kind/a'


class OneObject(PlatformClient):
    """A platform with one object; ``errors`` are given to the next calls."""

    def __init__(self) -> None:
        self.content: Any = None
        self.version = 0
        self.errors: list[PlatformError] = []
        self.is_delete_answer_lost = False
        self.writes = 0
        self.expected: list[int] = []
        self.handlers: list[Callable[[int], None]] = []

    def on_new_era(self, handler: Callable[[int], None]) -> None:
        """Store a handler."""
        self.handlers.append(handler)

    def restore(self, version: int, content: Any) -> None:
        """Come back with another state of the object."""
        self.version = version
        self.content = content
        for handler in self.handlers:
            handler(1)

    async def get(self, path: str) -> Result[PlatformObject, PlatformError]:
        """Read the object."""
        if self.errors:
            return Error(self.errors.pop(0))
        if not self.version:
            return Error(errors.NotFound(path))
        return Ok(PlatformObject(path, self.version, self.content))

    async def put(
        self, path: str, content: Any, expected_version: int
    ) -> Result[int, PlatformError]:
        """Write if the version matches."""
        self.expected.append(expected_version)
        if self.errors:
            return Error(self.errors.pop(0))
        if expected_version != self.version:
            found = errors.Conflict(path, self.version, self.content)
            return Error(found)
        self.version += 1
        self.writes += 1
        self.content = content
        return Ok(self.version)

    async def delete(
        self, path: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete if the version matches."""
        if self.errors:
            return Error(self.errors.pop(0))
        if not self.version:
            return Error(errors.NotFound(path))
        if expected_version != self.version:
            found = errors.Conflict(path, self.version, self.content)
            return Error(found)
        self.version = 0
        self.content = None
        if self.is_delete_answer_lost:
            self.is_delete_answer_lost = False
            return Error(errors.Unavailable(True, 'no answer'))
        return Ok(None)

    async def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Result[Listing, PlatformError]:
        """Not called."""
        raise NotImplementedError

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> Result[Changes, PlatformError]:
        """Not called."""
        raise NotImplementedError


@pytest.fixture(name='platform')
def platform_fixture() -> OneObject:
    """Return a platform without the object."""
    return OneObject()


class TestRegistrar:
    """Writes until the object has the desired content."""

    async def test_create(self, platform: OneObject) -> None:
        """Guards against a process that is not registered."""
        registrar = Registrar(platform, PATH, Random(1))
        registrar.set_desired('x')
        assert await registrar.write()
        assert platform.content == 'x'

    async def test_predecessor(self, platform: OneObject) -> None:
        """Guards against a restarted process that can't replace its object."""
        platform.version = 7
        platform.content = 'old'
        registrar = Registrar(platform, PATH, Random(1))
        registrar.set_desired('x')
        assert await registrar.write()
        assert platform.content == 'x'

    async def test_replaced(self, platform: OneObject) -> None:
        """Guards against an earlier process's object that goes unnoticed.

        A write whose answer was lost finds its own content.
        """
        replaced: list[Any] = []
        first = Registrar(platform, PATH, Random(1), replaced.append)
        first.set_desired('x')
        await first.write()
        first.set_desired('y')
        await first.write()
        second = Registrar(platform, PATH, Random(1), replaced.append)
        second.set_desired('z')
        platform.errors = [errors.Unavailable(True, 'no answer')]
        await second.write()
        await second.write()
        assert replaced == [None, 'y']

    async def test_outage(self, platform: OneObject) -> None:
        """Guards against a write that is not repeated after an outage."""
        platform.errors = [errors.Unavailable(True, 'no answer')]
        registrar = Registrar(platform, PATH, Random(1))
        registrar.set_desired('x')
        assert not await registrar.write()
        assert await registrar.write()
        assert platform.content == 'x'

    async def test_delete(self, platform: OneObject) -> None:
        """Guards against an object that remains after its target has ended."""
        registrar = Registrar(platform, PATH, Random(1))
        registrar.set_desired('x')
        await registrar.write()
        registrar.set_desired(None)
        assert await registrar.write()
        assert platform.content is None

    async def test_predecessors_object(self, platform: OneObject) -> None:
        """Guards against an object that outlives its target.

        A restarted agent whose target has ended never wrote the object
        itself, so that it does not know its version.
        """
        platform.version = 7
        platform.content = 'old'
        registrar = Registrar(platform, PATH, Random(1))
        registrar.set_desired(None)
        for _ in range(3):
            await registrar.write()
        assert platform.content is None

    async def test_deleted_predecessor(self, platform: OneObject) -> None:
        """Guards against a target that left and that nobody reports.

        The answer to the deletion is lost, so that the repeated one finds no
        object.
        """
        platform.version = 7
        platform.content = 'old'
        deleted: list[Any] = []
        registrar = Registrar(
            platform, PATH, Random(1), on_predecessor_deleted=deleted.append
        )
        registrar.set_desired(None)
        platform.is_delete_answer_lost = True
        for _ in range(4):
            await registrar.write()
        assert deleted == ['old']

    async def test_own_object_deleted(self, platform: OneObject) -> None:
        """Guards against reports about the own target as a predecessor's."""
        deleted: list[Any] = []
        registrar = Registrar(
            platform, PATH, Random(1), on_predecessor_deleted=deleted.append
        )
        registrar.set_desired('x')
        await registrar.write()
        registrar.set_desired(None)
        await registrar.write()
        assert not deleted

    async def test_predecessors_object_outage(
        self, platform: OneObject
    ) -> None:
        """Guards against a failed read that is taken for an absent object."""
        platform.version = 7
        platform.content = 'old'
        platform.errors = [errors.Unavailable(False, 'no answer')]
        registrar = Registrar(platform, PATH, Random(1))
        registrar.set_desired(None)
        assert not await registrar.write()
        assert await registrar.write()
        assert platform.content is None

    async def test_changed_meanwhile(self, platform: OneObject) -> None:
        """Guards against older content that is not replaced."""
        registrar = Registrar(platform, PATH, Random(1))
        registrar.set_desired('x')
        await registrar.write()
        registrar.set_desired('y')
        assert await registrar.write()
        assert platform.content == 'y'


class TestNewEra:
    """The platform has come back from an older copy."""

    async def test_lost(self, platform: OneObject) -> None:
        """Guards against an object that the copy lacks."""
        replaced: list[Any] = []
        registrar = Registrar(platform, PATH, Random(1), replaced.append)
        registrar.set_desired('x')
        await registrar.write()
        platform.restore(0, None)
        assert await registrar.write()
        assert platform.content == 'x'
        assert replaced == [None]

    async def test_version_given_out_again(self, platform: OneObject) -> None:
        """Guards against the overwriting of an object that is not known.

        Another writer's object has the version that this one's had. The
        write creates the object, and takes the version from the conflict.
        """
        registrar = Registrar(platform, PATH, Random(1))
        registrar.set_desired('x')
        await registrar.write()
        platform.restore(1, 'theirs')
        platform.expected.clear()
        assert await registrar.write()
        assert platform.expected == [0, 1]
        assert platform.content == 'x'

    async def test_kept(self, platform: OneObject) -> None:
        """Guards against writes of what the copy has."""
        registrar = Registrar(platform, PATH, Random(1))
        registrar.set_desired('x')
        await registrar.write()
        platform.restore(1, 'x')
        assert await registrar.write()
        registrar.set_desired('y')
        assert await registrar.write()
        assert platform.writes == 2

    async def test_deletion_lost(self, platform: OneObject) -> None:
        """Guards against an ended target whose object is back."""
        deleted: list[Any] = []
        registrar = Registrar(
            platform, PATH, Random(1), on_predecessor_deleted=deleted.append
        )
        registrar.set_desired('x')
        await registrar.write()
        registrar.set_desired(None)
        await registrar.write()
        platform.restore(1, 'x')
        assert await registrar.write()
        assert not platform.version
        assert not deleted

    async def test_deletion_kept(self, platform: OneObject) -> None:
        """Guards against an error for an object that is not there."""
        registrar = Registrar(platform, PATH, Random(1))
        registrar.set_desired('x')
        await registrar.write()
        registrar.set_desired(None)
        await registrar.write()
        platform.restore(0, None)
        assert await registrar.write()

    async def test_nothing_desired(self, platform: OneObject) -> None:
        """Guards against the deletion of an object before a first write."""
        registrar = Registrar(platform, PATH, Random(1))
        platform.restore(1, 'theirs')
        assert not registrar._is_pending  # noqa: SLF001
