"""Tests of the admission of new connections to cold targets."""

import math

import pytest
from trefoilhaven_core.connections.notices import TargetPolicy
from trefoilhaven_core.connections.tests.support import key_of, opening
from trefoilhaven_core.connections.warm_up import (
    HEARTBEAT_DELAY_S,
    RESTORED_COLD_S,
    WINDOW_S,
    PolicyUpdate,
    RefusalCause,
    WarmUp,
)
from trefoilhaven_core.settings.types import WarmUpLimits

LIMITS = WarmUpLimits(1.5, 5)
POLICY = TargetPolicy('certify', 'a', 1, 4.0, 3.0, 0, is_evacuated=False)
# Openings in a window at the rate of the policy: floor(3 x 1.5 + 5).
LIMIT = 9


def make_warm_up() -> WarmUp:
    """Return the decision of an agent that has its policy, at time 0."""
    warm_up = WarmUp(LIMITS, -100.0)
    warm_up.on_policy(0, POLICY)
    return warm_up


def open_at(warm_up: WarmUp, now: float, number: int) -> RefusalCause | None:
    """Offer an opening segment, which is delivered unless it is refused."""
    segment = opening(key_of(number))
    cause = warm_up.refusal(now, segment, saw_start=False)
    if cause is None:
        warm_up.on_delivered(now, segment)
    return cause


def admitted(warm_up: WarmUp, now: float, first: int, count: int = 20) -> int:
    """Return how many of several new connections are admitted."""
    numbers = range(first, first + count)
    return sum(open_at(warm_up, now, each) is None for each in numbers)


def evacuate(version: int, *, is_evacuated: bool) -> TargetPolicy:
    """Return a policy with another state of the evacuations."""
    return POLICY._replace(
        evacuations_version=version, is_evacuated=is_evacuated
    )


class TestLimit:
    """Openings of a cold target."""

    def test_window(self) -> None:
        """Guards against more openings than a cold target can handle."""
        warm_up = make_warm_up()
        warm_up.on_heartbeat(0, 4)
        assert admitted(warm_up, 1, 0) == LIMIT
        assert admitted(warm_up, 1 + WINDOW_S - 0.01, 20) == 0
        assert admitted(warm_up, 1 + WINDOW_S, 40) == LIMIT

    def test_warm(self) -> None:
        """Guards against a limit on a target that is not cold."""
        warm_up = make_warm_up()
        warm_up.on_heartbeat(0, 0)
        assert admitted(warm_up, 1, 0, 100) == 100

    def test_no_setting(self) -> None:
        """Guards against a limit where the operator has set none."""
        warm_up = WarmUp()
        warm_up.on_heartbeat(0, 4)
        assert admitted(warm_up, 1, 0, 100) == 100

    @pytest.mark.parametrize(
        ('rate', 'overage', 'slack', 'limit'),
        [(0, 1.5, 5, 5), (1, 1.5, 5, 6), (0.3, 1.5, 0.5, 0), (4, 1, 0, 4)],
    )
    def test_rounded_down(
        self, rate: float, overage: float, slack: float, limit: int
    ) -> None:
        """Guards against a count above the rate, overage and slack."""
        warm_up = WarmUp(WarmUpLimits(overage, slack), -100.0)
        warm_up.on_policy(0, POLICY._replace(cold_openings_per_s=rate))
        warm_up.on_heartbeat(0, 4)
        assert admitted(warm_up, 1, 0) == limit

    def test_no_policy(self) -> None:
        """Guards against an unlimited target before the first policy."""
        warm_up = WarmUp(LIMITS, -100.0)
        warm_up.on_heartbeat(0, 4)
        assert admitted(warm_up, 1, 0) == math.floor(LIMITS.slack)

    def test_copies(self) -> None:
        """Guards against copies that use up the window, or are refused."""
        warm_up = make_warm_up()
        warm_up.on_heartbeat(0, 4)
        assert all(open_at(warm_up, 1, 0) is None for _ in range(20))
        assert admitted(warm_up, 1, 1) == LIMIT - 1
        assert open_at(warm_up, 1, 0) is None

    def test_repeated_delivery(self) -> None:
        """Guards against a late copy that counts at its first delivery.

        The target may have missed the first one and accept the copy.
        """
        warm_up = make_warm_up()
        warm_up.on_heartbeat(0, 4)
        assert admitted(warm_up, 1, 0) == LIMIT
        warm_up.on_delivered(1.6, opening(key_of(0)))
        assert admitted(warm_up, 1 + WINDOW_S, 40) == LIMIT - 1

    def test_next_target(self) -> None:
        """Guards against a late heartbeat that ends the next cold phase.

        The heartbeats of a target that has just restarted are discarded,
        while openings already reach it.
        """
        warm_up = make_warm_up()
        warm_up.on_heartbeat(0, 0)
        warm_up.on_heartbeat(1, 4, is_current=False)
        assert admitted(warm_up, 1, 0) == LIMIT
        warm_up.on_heartbeat(1.1, 0, is_current=False)
        warm_up.on_heartbeat(1.1, 0)
        assert warm_up.is_cold(1.2)


class TestRestart:
    """An agent that starts while its target runs."""

    def test_used_up(self) -> None:
        """Guards against the openings of two agents in one second."""
        warm_up = WarmUp(LIMITS, 10.0)
        warm_up.on_policy(10, POLICY)
        warm_up.on_heartbeat(10.1, 4)
        assert admitted(warm_up, 10.2, 0) == 0
        assert admitted(warm_up, 10.01 + WINDOW_S, 20) == LIMIT

    def test_saw_start(self) -> None:
        """Guards against a needless wait when all hosts start at once."""
        warm_up = WarmUp(LIMITS, 10.0)
        warm_up.on_heartbeat(10.1, 4)
        segment = opening(key_of(1))
        assert warm_up.refusal(10.2, segment, saw_start=True) is None

    def test_warm(self) -> None:
        """Guards against an agent whose restart stops a warm target."""
        warm_up = WarmUp(LIMITS, 10.0)
        warm_up.on_heartbeat(10.1, 0)
        assert admitted(warm_up, 10.2, 0) == math.floor(LIMITS.slack)
        warm_up.on_policy(10.3, POLICY)
        assert admitted(warm_up, 10.4, 20, 100) == 100

    def test_no_policy_comes(self) -> None:
        """Guards against a limit that stays where no policies are sent."""
        warm_up = WarmUp(LIMITS, 10.0)
        warm_up.on_heartbeat(10.1, 0)
        now = 10 + RESTORED_COLD_S
        assert admitted(warm_up, now, 0, 100) == 100

    def test_missed_evacuation(self) -> None:
        """Guards against a restart during the return of the domain.

        The first policy that the agent gets says that the domain is not
        evacuated, and the target may have become cold since its heartbeat.
        """
        warm_up = WarmUp(LIMITS, 10.0)
        warm_up.on_heartbeat(10.1, 0)
        update = warm_up.on_policy(10.3, evacuate(2, is_evacuated=False))
        assert update.is_restored
        assert admitted(warm_up, 10.4, 0) == LIMIT


class TestEvacuation:
    """An evacuated failure domain and its return to service."""

    def test_evacuated(self) -> None:
        """Guards against new connections in an evacuated domain."""
        warm_up = make_warm_up()
        assert open_at(warm_up, 1, 0) is None
        update = warm_up.on_policy(1, evacuate(1, is_evacuated=True))
        assert update == PolicyUpdate(is_changed=True)
        assert open_at(warm_up, 1.1, 1) is RefusalCause.evacuated
        assert open_at(warm_up, 1.1, 0) is None

    def test_no_setting(self) -> None:
        """Guards against an evacuation that needs a limit to be set."""
        warm_up = WarmUp()
        warm_up.on_policy(1, evacuate(1, is_evacuated=True))
        assert open_at(warm_up, 1.1, 1) is RefusalCause.evacuated

    def test_restored(self) -> None:
        """Guards against a target that became cold unnoticed.

        A heartbeat within a second of the return may be older than the cold
        phase, and a later one tells whether it is over.
        """
        warm_up = make_warm_up()
        warm_up.on_policy(1, evacuate(1, is_evacuated=True))
        update = warm_up.on_policy(5, evacuate(2, is_evacuated=False))
        assert update == PolicyUpdate(is_changed=True, is_restored=True)
        warm_up.on_heartbeat(5 + HEARTBEAT_DELAY_S, 0)
        assert admitted(warm_up, 6.1, 0) == LIMIT
        warm_up.on_heartbeat(6.2, 0)
        assert admitted(warm_up, 6.3, 20, 100) == 100

    @pytest.mark.parametrize('cold_s', [0, 4])
    def test_no_heartbeat(self, cold_s: float) -> None:
        """Guards against a cold phase that ends before that of the target."""
        warm_up = make_warm_up()
        policy = POLICY._replace(version=2, cold_s=cold_s)
        warm_up.on_policy(0, policy)
        warm_up.on_policy(1, evacuate(1, is_evacuated=True))
        warm_up.on_policy(5, evacuate(2, is_evacuated=False))
        cold_until = 5 + max(RESTORED_COLD_S, cold_s)
        assert warm_up.is_cold(cold_until - 0.01)
        assert not warm_up.is_cold(cold_until)


class TestVersions:
    """Policies that arrive late."""

    def test_older_evacuations(self) -> None:
        """Guards against a late policy that evacuates a domain again."""
        warm_up = make_warm_up()
        warm_up.on_policy(1, evacuate(2, is_evacuated=False))
        late = evacuate(1, is_evacuated=True)
        assert warm_up.on_policy(2, late) == PolicyUpdate()
        assert not warm_up.is_evacuated

    def test_older_rates(self) -> None:
        """Guards against a return to the rates of an older configuration."""
        warm_up = make_warm_up()
        warm_up.on_policy(1, POLICY._replace(version=3, cold_openings_per_s=0))
        warm_up.on_policy(2, POLICY._replace(version=2))
        assert warm_up.limit == math.floor(LIMITS.slack)

    def test_separate_versions(self) -> None:
        """Guards against an evacuation missed because of an older rate."""
        warm_up = make_warm_up()
        warm_up.on_policy(1, POLICY._replace(version=3, cold_openings_per_s=0))
        late = evacuate(1, is_evacuated=True)._replace(version=2)
        assert warm_up.on_policy(2, late).is_changed
        assert warm_up.is_evacuated
        assert warm_up.limit == math.floor(LIMITS.slack)

    @pytest.mark.parametrize('rate', [math.nan, math.inf, -1.0])
    def test_unusable_rate(self, rate: float) -> None:
        """Guards against a rate of which no limit can be computed."""
        warm_up = make_warm_up()
        policy = POLICY._replace(version=2, cold_openings_per_s=rate)
        assert warm_up.on_policy(1, policy) == PolicyUpdate()
        assert warm_up.limit == LIMIT
