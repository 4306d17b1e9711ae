"""Questions to a target that may have ended."""

from trefoilhaven_agent.sidecar.checks import (
    DEPARTING_CHECK_INTERVAL_S,
    FIRST_HEARTBEAT_TIMEOUT_S,
    HEARTBEAT_TIMEOUT_S,
    RESPONSE_TIMEOUT_S,
    SILENT_CHECK_INTERVAL_S,
    CheckSchedule,
)


class TestCheckSchedule:
    """The signs that a target has ended."""

    def test_well(self) -> None:
        """Guards against connections to a target that shows no sign."""
        schedule = CheckSchedule()
        assert not schedule.is_due(1, 0.5, 0, departing=False)

    def test_mute(self) -> None:
        """Guards against a crash that shows only by missing heartbeats."""
        schedule = CheckSchedule()
        assert schedule.is_due(1, 0.5, RESPONSE_TIMEOUT_S, departing=False)

    def test_mute_for_long(self) -> None:
        """Guards against many connections to a target with long work."""
        schedule = CheckSchedule()
        checked = sum(
            schedule.is_due(step / 10, 0.5, step / 10, departing=False)
            for step in range(100)
        )
        assert checked <= 7

    def test_mute_again(self) -> None:
        """Guards against a doubled wait that outlives its cause."""
        schedule = CheckSchedule()
        schedule.is_due(1, 0.5, 4 * RESPONSE_TIMEOUT_S, departing=False)
        schedule.is_due(2, 0.5, 0, departing=False)
        assert schedule.is_due(3, 0.5, RESPONSE_TIMEOUT_S, departing=False)

    def test_departing(self) -> None:
        """Guards against a departure that is noticed late, or costs much."""
        schedule = CheckSchedule()
        assert schedule.is_due(1, 0.5, 0, departing=True)
        assert not schedule.is_due(1.01, 0.5, 0, departing=True)
        assert schedule.is_due(
            1.01 + DEPARTING_CHECK_INTERVAL_S, 0.5, 0, departing=True
        )

    def test_unheard(self) -> None:
        """Guards against an agent that waits for a target that has ended."""
        schedule = CheckSchedule()
        assert not schedule.is_initial_check_due(1)
        assert schedule.is_initial_check_due(1.01 + FIRST_HEARTBEAT_TIMEOUT_S)
        assert not schedule.is_initial_check_due(
            1.02 + FIRST_HEARTBEAT_TIMEOUT_S
        )

    def test_silent(self) -> None:
        """Guards against a host whose target crashed without connections."""
        schedule = CheckSchedule()
        late_s = HEARTBEAT_TIMEOUT_S + 0.1
        assert schedule.is_due(1, late_s, 0, departing=False)
        assert not schedule.is_due(1.5, late_s, 0, departing=False)
        assert schedule.is_due(
            1.01 + SILENT_CHECK_INTERVAL_S, late_s, 0, departing=False
        )
