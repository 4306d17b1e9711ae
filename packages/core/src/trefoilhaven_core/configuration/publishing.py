"""Publishes one service file.

``Publication`` decides and does no input or output. ``publish`` executes
its steps with a platform client.
"""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any, NamedTuple

from expression import Result

from trefoilhaven_core.configuration.differences import compare_files
from trefoilhaven_core.configuration.messages import (
    ServiceContent,
    object_path,
)
from trefoilhaven_core.configuration.versions import address_since
from trefoilhaven_core.platform import errors
from trefoilhaven_core.platform.clients import PlatformClient, PlatformObject
from trefoilhaven_core.platform.errors import PlatformError
from trefoilhaven_core.settings import defaults


class PublishOutcome(Enum):
    """Result of a publication, as far as it is known.

    ``published``: the file is in force. ``unchanged``: it already was.
    ``difference``: a dry run would replace the version in force.
    ``conflict``: another version than the expected one is in force.
    ``refused``: the file is too large for the platform.
    ``unreachable``: the platform failed; the file was not published.
    ``unknown``: the file may have been published.
    """

    published = 'published'
    unchanged = 'unchanged'
    difference = 'difference'
    conflict = 'conflict'
    refused = 'refused'
    unreachable = 'unreachable'
    unknown = 'unknown'


class PublishPlan(NamedTuple):
    """A service file to publish.

    ``publish_id`` is unique to this run; ``now`` is the Unix time in
    seconds.
    """

    service: str
    publish_id: str
    publisher: str
    base_version: int
    file: dict[str, Any]
    now: float
    dry_run: bool = False


class PublishReport(NamedTuple):
    """Result of a publication; ``difference`` is a unified diff."""

    service: str
    outcome: PublishOutcome
    version: int
    message: str
    difference: str = ''


class ReadObject(NamedTuple):
    """Step: read the object after a wait in seconds."""

    wait_s: float


class WriteObject(NamedTuple):
    """Step: write the object if it still has the expected version."""

    content: ServiceContent
    expected_version: int


Step = ReadObject | WriteObject | PublishReport
_ReadResult = Result[PlatformObject, PlatformError]


class Publication:
    """State machine of one publication.

    When it is unknown whether a write was applied, the object is read back
    and its publish ID compared. While the object still has the base version,
    the same write is sent again. The platform applies at most one of the
    two, since both expect the base version.
    """

    def __init__(self, plan: PublishPlan) -> None:
        self._plan = plan
        self._read_backs = 0
        self._maybe_applied = False
        self._since = plan.now

    def start(self) -> Step:
        """Return the first step."""
        return ReadObject(0)

    def on_read(self, outcome: _ReadResult) -> Step:
        """Process the result of a read and return the next step."""
        if outcome.is_ok():
            return self._compare(outcome.ok)
        if isinstance(outcome.error, errors.NotFound):
            absent = PlatformObject(object_path(self._plan.service), 0, None)
            return self._compare(absent)
        if self._maybe_applied:
            return self._read_back(outcome.error)
        return self._failed(outcome.error)

    def on_written(self, outcome: Result[int, PlatformError]) -> Step:
        """Process the result of a write and return the next step."""
        if outcome.is_ok():
            return self._published(outcome.ok)
        match outcome.error:
            case errors.Conflict(path, version, content):
                return self._compare(PlatformObject(path, version, content))
            case errors.Unavailable(maybe_applied=True):
                self._maybe_applied = True
        if self._maybe_applied:
            return self._read_back(outcome.error)
        return self._failed(outcome.error)

    def _compare(self, current: PlatformObject) -> Step:
        plan = self._plan
        if _content_field(current, 'publish_id') == plan.publish_id:
            return self._published(current.version)
        if self._may_have_been_overwritten(current):
            return self._report(
                PublishOutcome.unknown,
                current.version,
                f'version {current.version} of {_publisher(current)} is in '
                'force; it is unknown whether this file was published '
                'before it',
                current,
            )
        if current.version == plan.base_version:
            return self._write_or_diff(current)
        if _content_field(current, 'file') == plan.file:
            return self._unchanged(current)
        return self._conflict(current)

    def _may_have_been_overwritten(self, current: PlatformObject) -> bool:
        # A version that another publisher wrote over the base version proves
        # that the write of unknown outcome was not applied and never will
        # be. Version numbers do not show this, since a platform may number
        # the versions of all objects in one sequence.
        base = self._plan.base_version
        return (
            self._maybe_applied
            and current.version != base
            and _content_field(current, 'base_version') != base
        )

    def _write_or_diff(self, current: PlatformObject) -> Step:
        plan = self._plan
        if _content_field(current, 'file') == plan.file:
            return self._unchanged(current)
        if plan.dry_run:
            return self._report(
                PublishOutcome.difference,
                current.version,
                f'would replace version {current.version}',
                current,
            )
        content = ServiceContent(
            publish_id=plan.publish_id,
            publisher=plan.publisher,
            base_version=plan.base_version,
            address_since=self._address_since(current),
            file=plan.file,
        )
        return WriteObject(content, plan.base_version)

    def _address_since(self, current: PlatformObject) -> float:
        before = _content_field(current, 'file')
        known = before.get('address') if isinstance(before, dict) else None
        if known == self._plan.file.get('address'):
            return address_since(current.content)
        return self._plan.now

    def _read_back(self, error: PlatformError) -> Step:
        self._read_backs += 1
        wait_s = defaults.PUBLISH_READ_BACK_WAIT_S
        if isinstance(error, errors.RateLimited):
            wait_s = max(wait_s, error.retry_after_s)
        if self._read_backs <= defaults.PUBLISH_READ_BACKS:
            return ReadObject(wait_s)
        return self._report(
            PublishOutcome.unknown,
            0,
            'the answer to the write was lost and the object could not be '
            'read back; the file may be in force',
        )

    def _published(self, version: int) -> Step:
        message = f'version {version} is published'
        return self._report(PublishOutcome.published, version, message)

    def _unchanged(self, current: PlatformObject) -> Step:
        message = f'version {current.version} already has this content'
        return self._report(PublishOutcome.unchanged, current.version, message)

    def _conflict(self, current: PlatformObject) -> Step:
        found = 'the object does not exist'
        if current.version:
            found = f'{_publisher(current)} published version {current.version}'
        message = (
            f'the file was written for version {self._plan.base_version}, but '
            f'{found}'
        )
        return self._report(
            PublishOutcome.conflict,
            current.version,
            message,
            current,
        )

    def _failed(self, error: PlatformError) -> Step:
        message = f'not published: {errors.describe_error(error)}'
        if isinstance(error, errors.TooLarge):
            return self._report(PublishOutcome.refused, 0, message)
        return self._report(PublishOutcome.unreachable, 0, message)

    def _report(
        self,
        outcome: PublishOutcome,
        version: int,
        message: str,
        current: PlatformObject | None = None,
    ) -> PublishReport:
        difference = ''
        if current is not None:
            difference = compare_files(
                _content_field(current, 'file'),
                self._plan.file,
                f'version {current.version} at the platform',
                'this file',
            )
        return PublishReport(
            self._plan.service,
            outcome,
            version,
            message,
            difference,
        )


async def publish(
    client: PlatformClient,
    plan: PublishPlan,
    sleep: Callable[[float], Awaitable[Any]] = asyncio.sleep,
) -> PublishReport:
    """Publish a plan with a platform client and return the outcome."""
    publication = Publication(plan)
    path = object_path(plan.service)
    step = publication.start()
    while not isinstance(step, PublishReport):
        if isinstance(step, ReadObject):
            await sleep(step.wait_s)
            step = publication.on_read(await client.get(path))
        else:
            written = await client.put(
                path,
                step.content,
                step.expected_version,
            )
            step = publication.on_written(written)
    return step


def _content_field(current: PlatformObject, key: str) -> Any:
    if isinstance(current.content, dict):
        return current.content.get(key)
    return None


def _publisher(current: PlatformObject) -> str:
    return str(_content_field(current, 'publisher') or 'another publisher')
