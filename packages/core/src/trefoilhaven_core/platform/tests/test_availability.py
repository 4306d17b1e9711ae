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


class TestWaiters:
    """Calls that wait for a probe while another call succeeds."""

    @pytest.fixture(name='waiting')
    def waiting_fixture(self) -> Fixture:
        """Return an unavailable store whose first probe never gets due."""
        waiting = Fixture()

        async def sleep(wait_s: float) -> None:
            waiting.clock.slept.append(wait_s)
            await asyncio.Event().wait()

        waiting.availability = StoreAvailability(
            Random(2), waiting.clock.now, sleep
        )
        return waiting

    async def test_success_ends_waits(self, waiting: Fixture) -> None:
        """Guards against calls that wait while the store is available.

        A call from before the outage succeeds during the wait.
        """
        old = await waiting.call(DOWN)
        done = CallOutcome.succeeded
        calls = [asyncio.create_task(waiting.call(done)) for _ in range(3)]
        await asyncio.sleep(0)
        assert waiting.clock.slept
        waiting.availability.record(old, done, 'reason')
        async with asyncio.timeout(1):
            admissions = await asyncio.gather(*calls)
        assert not any(each.is_probe for each in admissions)

    async def test_long_call(self, waiting: Fixture) -> None:
        """Guards against a long watch that holds up all other calls.

        It waited for a probe and was admitted by the success of another call.
        """
        old = await waiting.call(DOWN)
        is_watching = asyncio.Event()

        async def watch() -> None:
            async with waiting.availability.admission() as admission:
                assert not admission.is_probe
                is_watching.set()
                await asyncio.Event().wait()

        watching = asyncio.create_task(watch())
        await asyncio.sleep(0)
        call = asyncio.create_task(waiting.call(CallOutcome.succeeded))
        await asyncio.sleep(0)
        waiting.availability.record(old, CallOutcome.succeeded, 'reason')
        try:
            async with asyncio.timeout(1):
                await is_watching.wait()
                assert not (await call).is_probe
        finally:
            watching.cancel()
            await asyncio.wait([watching])

    async def test_success_during_probe(self, fixture: Fixture) -> None:
        """Guards against calls that wait for the end of a slow probe."""
        old = await fixture.call(DOWN)
        async with fixture.availability.admission() as probe:
            assert probe.is_probe
            call = asyncio.create_task(fixture.call(CallOutcome.succeeded))
            await asyncio.sleep(0)
            fixture.availability.record(old, CallOutcome.succeeded, 'reason')
            async with asyncio.timeout(1):
                assert not (await call).is_probe

    async def test_success_at_end_of_sleep(self, fixture: Fixture) -> None:
        """Guards against a call that holds the lock without probing.

        Another call succeeds at the moment at which the sleep ends.
        """
        old = await fixture.call(DOWN)
        availability = fixture.availability

        async def sleep(_: float) -> None:
            availability.record(old, CallOutcome.succeeded, 'reason')

        availability._sleep = sleep  # noqa: SLF001
        async with availability.admission() as admission:
            assert not admission.is_probe
            assert not availability._probe_lock.locked()  # noqa: SLF001

    async def test_new_outage(self, waiting: Fixture) -> None:
        """Guards against waiting calls that are all sent in a new outage.

        The store fails again before the woken calls run.
        """
        old = await waiting.call(DOWN)
        calls = [asyncio.create_task(waiting.call(DOWN)) for _ in range(3)]
        await asyncio.sleep(0)
        waiting.availability.record(old, CallOutcome.succeeded, 'reason')
        waiting.availability.record(old, DOWN, 'reason')
        for _ in range(10):
            await asyncio.sleep(0)
        assert not any(each.done() for each in calls)
        for each in calls:
            each.cancel()
        await asyncio.wait(calls)

    async def test_end_of_waits(self, waiting: Fixture) -> None:
        """Guards against a process that stops while its last write waits."""
        await waiting.call(DOWN)
        calls = [asyncio.create_task(waiting.call(DOWN)) for _ in range(2)]
        await asyncio.sleep(0)
        waiting.availability.end_waits()
        async with asyncio.timeout(1):
            await asyncio.gather(*calls)

    async def test_cancelled(self, waiting: Fixture) -> None:
        """Guards against a wait that is given up and keeps the lock."""
        await waiting.call(DOWN)
        call = asyncio.create_task(waiting.call(DOWN))
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.wait([call])
        assert call.cancelled()
        assert not waiting.availability._probe_lock.locked()  # noqa: SLF001


class TestOtherAnswers:
    """Probes whose answers show neither an outage nor its end."""

    @pytest.mark.parametrize(
        'outcome', [CallOutcome.failed, CallOutcome.outdated]
    )
    async def test_backoff(
        self, fixture: Fixture, outcome: CallOutcome
    ) -> None:
        """Guards against probes without a delay between them.

        The store answers them with status 500, or from an older era.
        """
        await fixture.call(DOWN)
        for _ in range(5):
            await fixture.call(outcome)
        assert not fixture.availability.is_available
        assert len(fixture.probes) == 5
        assert all(1 <= gap <= 2 for gap in fixture.clock.slept[2:])
