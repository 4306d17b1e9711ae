"""Tests of the calls that a store's availability admits."""

import asyncio
from random import Random

import pytest
from trefoilhaven_core.platform.availability import (
    Admission,
    CallOutcome,
    StoreAvailability,
)

DOWN = CallOutcome.unavailable


class ClockFixture:
    """A clock that sleeping advances."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.slept: list[float] = []

    def now(self) -> float:
        """Return the time."""
        return self.now_s

    async def sleep(self, wait_s: float) -> None:
        """Advance the time."""
        self.slept.append(wait_s)
        self.now_s += wait_s
        await asyncio.sleep(0)


class Fixture:
    """An availability and the calls that it has admitted."""

    def __init__(self) -> None:
        self.clock = ClockFixture()
        self.availability = StoreAvailability(
            Random(2), self.clock.now, self.clock.sleep
        )
        self.probes: list[float] = []

    async def call(self, outcome: CallOutcome) -> Admission:
        """Make a call with an outcome."""
        async with self.availability.admission() as admission:
            if admission.is_probe:
                self.probes.append(self.clock.now_s)
            self.availability.record(admission, outcome, 'reason')
            return admission


@pytest.fixture(name='fixture')
def availability_fixture() -> Fixture:
    """Return an available store."""
    return Fixture()


class TestProbes:
    """Calls while the store is unavailable."""

    async def test_intervals(self, fixture: Fixture) -> None:
        """Guards against probes that come too often or too rarely."""
        for _ in range(6):
            await fixture.call(DOWN)
        gaps = fixture.clock.slept
        assert 0.25 <= gaps[0] <= 0.5
        assert 0.5 <= gaps[1] <= 1
        assert all(1 <= gap <= 2 for gap in gaps[2:])

    async def test_low_limit(self, fixture: Fixture) -> None:
        """Guards against a gateway of a low rank that finds out late."""
        fixture.availability.limit_probe_interval(0.5)
        for _ in range(6):
            await fixture.call(DOWN)
        assert all(gap <= 0.5 for gap in fixture.clock.slept)

    async def test_one_at_a_time(self, fixture: Fixture) -> None:
        """Guards against all waiting calls that are sent together.

        After the first one has succeeded, the others follow at once.
        """
        await fixture.call(DOWN)
        answered = CallOutcome.rejected
        outcomes = (DOWN, answered, answered, answered)
        admissions = await asyncio.gather(*map(fixture.call, outcomes))
        assert [each.is_probe for each in admissions] == [
            True,
            True,
            False,
            False,
        ]
        assert len(fixture.clock.slept) == 2

    async def test_together(self, fixture: Fixture) -> None:
        """Guards against a first probe that is late after many failures.

        Ten calls that were sent before fail at the same moment.
        """
        async with fixture.availability.admission() as admission:
            for _ in range(10):
                fixture.availability.record(admission, DOWN, 'reason')
        await fixture.call(DOWN)
        assert fixture.clock.slept[0] <= 0.5

    async def test_earlier_call(self, fixture: Fixture) -> None:
        """Guards against an old call that stops all others.

        It was sent before the outage ended, and its time runs out after.
        """
        old = Admission(is_probe=False, admitted_at=fixture.clock.now_s)
        fixture.clock.now_s += 1
        await fixture.call(CallOutcome.succeeded)
        fixture.availability.record(old, CallOutcome.unanswered, 'reason')
        assert fixture.availability.is_available

    async def test_cancelled(self, fixture: Fixture) -> None:
        """Guards against a probe that is given up and blocks the others."""
        await fixture.call(DOWN)
        probe = asyncio.create_task(fixture.call(DOWN))
        await asyncio.sleep(0)
        probe.cancel()
        await asyncio.wait([probe])
        admission = await fixture.call(CallOutcome.succeeded)
        assert admission.is_probe
        assert fixture.availability.is_available

    async def test_end_of_waits(self, fixture: Fixture) -> None:
        """Guards against a process that waits for the store while it stops."""
        await fixture.call(DOWN)
        fixture.availability.end_waits()
        await fixture.call(DOWN)
        assert not fixture.clock.slept

    async def test_rate_limit(self, fixture: Fixture) -> None:
        """Guards against a probe before the time the store asked for."""
        async with fixture.availability.admission() as admission:
            fixture.availability.record(
                admission, CallOutcome.limited, 'reason', 3.0
            )
        await fixture.call(DOWN)
        assert fixture.clock.slept == [3.0]

    async def test_outdated(self, fixture: Fixture) -> None:
        """Guards against a late answer of an old era taken for an outage."""
        await fixture.call(CallOutcome.outdated)
        assert fixture.availability.is_available
        assert fixture.availability.count(CallOutcome.outdated) == 1
