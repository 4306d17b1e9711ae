"""Questions to a target that may have ended."""

from trefoilhaven_agent.sidecar.checks import (
    DEPARTING_PAUSE_S,
    MUTE_TARGET_S,
    SILENT_PAUSE_S,
    SILENT_TARGET_S,
    UNHEARD_S,
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
        assert schedule.is_due(1, 0.5, MUTE_TARGET_S, departing=False)

    def test_mute_for_long(self) -> None:
        """Guards against many connections to a target with long work."""
        schedule = CheckSchedule()
        asked = sum(
            schedule.is_due(step / 10, 0.5, step / 10, departing=False)
            for step in range(100)
        )
        assert asked <= 7

    def test_mute_again(self) -> None:
        """Guards against a doubled wait that outlives its cause."""
        schedule = CheckSchedule()
        schedule.is_due(1, 0.5, 4 * MUTE_TARGET_S, departing=False)
        schedule.is_due(2, 0.5, 0, departing=False)
        assert schedule.is_due(3, 0.5, MUTE_TARGET_S, departing=False)

    def test_departing(self) -> None:
        """Guards against a departure that is noticed late, or costs much."""
        schedule = CheckSchedule()
        assert schedule.is_due(1, 0.5, 0, departing=True)
        assert not schedule.is_due(1.01, 0.5, 0, departing=True)
        assert schedule.is_due(1.01 + DEPARTING_PAUSE_S, 0.5, 0, departing=True)

    def test_unheard(self) -> None:
        """Guards against an agent that waits for a target that has ended."""
        schedule = CheckSchedule()
        assert not schedule.is_unheard_due(1)
        assert schedule.is_unheard_due(1.01 + UNHEARD_S)
        assert not schedule.is_unheard_due(1.02 + UNHEARD_S)

    def test_silent(self) -> None:
        """Guards against a host whose target crashed without connections."""
        schedule = CheckSchedule()
        late_s = SILENT_TARGET_S + 0.1
        assert schedule.is_due(1, late_s, 0, departing=False)
        assert not schedule.is_due(1.5, late_s, 0, departing=False)
        assert schedule.is_due(
            1.01 + SILENT_PAUSE_S, late_s, 0, departing=False
        )
