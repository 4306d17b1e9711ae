"""Tests of the liveness checks of a target that may have ended."""

from trefoilhaven_agent.sidecar.checks import (
    DEPARTING_CHECK_INTERVAL_S,
    FIRST_HEARTBEAT_TIMEOUT_S,
    HEARTBEAT_TIMEOUT_S,
    RESPONSE_TIMEOUT_S,
    SILENT_CHECK_INTERVAL_S,
    CheckSchedule,
)


class TestCheckSchedule:
    """Signs that a target has ended, and the checks that follow."""

    def test_running(self) -> None:
        """Guards against checks of a target without signs of a failure."""
        schedule = CheckSchedule()
        assert not schedule.is_due(1, 0.5, 0, departing=False)

    def test_unanswered_segment(self) -> None:
        """Guards against a crash detected only by missing heartbeats."""
        schedule = CheckSchedule()
        assert schedule.is_due(1, 0.5, RESPONSE_TIMEOUT_S, departing=False)

    def test_long_work(self) -> None:
        """Guards against many checks of a target during long work."""
        schedule = CheckSchedule()
        checked = sum(
            schedule.is_due(step / 10, 0.5, step / 10, departing=False)
            for step in range(100)
        )
        assert checked <= 7

    def test_unanswered_again(self) -> None:
        """Guards against a doubled timeout after the target has answered."""
        schedule = CheckSchedule()
        schedule.is_due(1, 0.5, 4 * RESPONSE_TIMEOUT_S, departing=False)
        schedule.is_due(2, 0.5, 0, departing=False)
        assert schedule.is_due(3, 0.5, RESPONSE_TIMEOUT_S, departing=False)

    def test_departing(self) -> None:
        """Guards against a late or costly detection of a departure."""
        schedule = CheckSchedule()
        assert schedule.is_due(1, 0.5, 0, departing=True)
        assert not schedule.is_due(1.01, 0.5, 0, departing=True)
        assert schedule.is_due(
            1.01 + DEPARTING_CHECK_INTERVAL_S, 0.5, 0, departing=True
        )

    def test_initial_check(self) -> None:
        """Guards against endless waiting for a target that has ended."""
        schedule = CheckSchedule()
        assert not schedule.is_initial_check_due(1)
        assert schedule.is_initial_check_due(1.01 + FIRST_HEARTBEAT_TIMEOUT_S)
        assert not schedule.is_initial_check_due(
            1.02 + FIRST_HEARTBEAT_TIMEOUT_S
        )

    def test_missing_heartbeats(self) -> None:
        """Guards against a missed crash of a target without connections."""
        schedule = CheckSchedule()
        late_s = HEARTBEAT_TIMEOUT_S + 0.1
        assert schedule.is_due(1, late_s, 0, departing=False)
        assert not schedule.is_due(1.5, late_s, 0, departing=False)
        assert schedule.is_due(
            1.01 + SILENT_CHECK_INTERVAL_S, late_s, 0, departing=False
        )
