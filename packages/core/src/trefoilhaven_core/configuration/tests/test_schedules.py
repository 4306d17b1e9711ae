"""Publications of several publishers under random faults and orders.

A write without an answer may still reach the platform at any later time. The
examples are the same in each run.
"""

from collections.abc import Callable
from typing import Any, Final

from expression import Error, Ok, Result
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhaven_core.configuration.messages import object_path
from trefoilhaven_core.configuration.publishing import (
    Publication,
    PublishOutcome,
    PublishPlan,
    PublishReport,
    ReadObject,
    Step,
    WriteObject,
)
from trefoilhaven_core.platform import errors
from trefoilhaven_core.platform.clients import PlatformObject
from trefoilhaven_core.platform.errors import PlatformError

_PATH: Final = object_path('certify')
_LOST: Final = errors.Unavailable(maybe_applied=True, reason='closed')
_DOWN: Final = errors.Unavailable(maybe_applied=False, reason='down')
_MAX_PUBLISHERS: Final = 4
_FAULTS: Final = ('', '', '', 'late', 'lost', 'down', 'limited')


class _Platform:
    """One object, its history and delayed writes."""

    def __init__(self) -> None:
        self.current = PlatformObject(_PATH, 0, None)
        self.history: list[str] = []
        self.late: list[Callable[[], Any]] = []

    def read(self, fault: str) -> Result[PlatformObject, PlatformError]:
        if fault:
            return Error(_DOWN)
        if self.current.version:
            return Ok(self.current)
        return Error(errors.NotFound(_PATH))

    def write(
        self,
        step: WriteObject,
        fault: str,
    ) -> Result[int, PlatformError]:
        if fault == 'late':
            self.late.append(lambda: self._apply(step))
        elif fault == 'limited':
            return Error(errors.RateLimited(0))
        elif fault == 'down':
            return Error(_DOWN)
        else:
            outcome = self._apply(step)
            return Error(_LOST) if fault == 'lost' else outcome
        return Error(_LOST)

    def _apply(self, step: WriteObject) -> Result[int, PlatformError]:
        if self.current.version != step.expected_version:
            return Error(errors.Conflict(*self.current))
        version = self.current.version + 3
        self.current = PlatformObject(_PATH, version, step.content)
        self.history.append(step.content['publish_id'])
        return Ok(version)


class _Publisher:
    """One publication that advances a step at a time."""

    def __init__(self, identity: str, base: int) -> None:
        file = {'service': 'certify', 'operator': identity}
        plan = PublishPlan('certify', identity, identity, base, file, now=1)
        self.identity = identity
        self._publication = Publication(plan)
        self.step: Step = self._publication.start()

    def advance(self, platform: _Platform, fault: str) -> None:
        if isinstance(self.step, ReadObject):
            self.step = self._publication.on_read(platform.read(fault))
        elif isinstance(self.step, WriteObject):
            written = platform.write(self.step, fault)
            self.step = self._publication.on_written(written)


_MOVES: Final = st.lists(
    st.tuples(st.integers(0, _MAX_PUBLISHERS), st.sampled_from(_FAULTS)),
    max_size=60,
)


class TestSchedules:
    """Reports compared with what the platform applied."""

    @settings(max_examples=1000, deadline=None, derandomize=True)
    @given(moves=_MOVES)
    def test_reports_are_true(self, moves: list[tuple[int, str]]) -> None:
        """Guards against a report of something that did not happen."""
        platform = _Platform()
        publishers = [_Publisher('p0', 0), _Publisher('p1', 0)]
        for choice, fault in moves:
            if choice < len(publishers):
                publishers[choice].advance(platform, fault)
            elif platform.late:
                platform.late.pop(choice % len(platform.late))()
            elif len(publishers) < _MAX_PUBLISHERS:
                base = platform.current.version
                publishers.append(_Publisher(f'p{len(publishers)}', base))
        for publisher in publishers:
            while not isinstance(publisher.step, PublishReport):
                publisher.advance(platform, '')
        for write in platform.late:
            write()
        assert len(set(platform.history)) == len(platform.history)
        for publisher in publishers:
            assert isinstance(publisher.step, PublishReport)
            _check(publisher.identity, publisher.step.outcome, platform)


def _check(
    identity: str,
    outcome: PublishOutcome,
    platform: _Platform,
) -> None:
    applied = identity in platform.history
    if outcome is PublishOutcome.published:
        assert applied
    elif outcome is not PublishOutcome.unknown:
        assert not applied
