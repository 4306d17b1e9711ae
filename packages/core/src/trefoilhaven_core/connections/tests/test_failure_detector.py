"""Targets that are taken as gone for good."""

from trefoilhaven_core.connections.failure_detector import (
    CHECK_INTERVAL_S,
    FAILURE_TIMEOUT_S,
    AgentFailureDetector,
)

HEARD = (0.1, 0.1, 0.2)


def look_for(
    judge: AgentFailureDetector,
    start: float,
    end: float,
    silences: tuple[float, ...],
) -> None:
    """Look regularly from one time to another."""
    now = start
    while now <= end:
        judge.observe(now, silences)
        now += CHECK_INTERVAL_S


class TestAbsenceJudge:
    """Silence of one agent, and silence of all."""

    def test_gone(self) -> None:
        """Guards against a search that waits for a lost host for ever."""
        judge = AgentFailureDetector()
        look_for(judge, 0, 10, (*HEARD, 10.0))
        assert judge.has_failed(10, FAILURE_TIMEOUT_S)

    def test_restart(self) -> None:
        """Guards against resets while an agent restarts."""
        judge = AgentFailureDetector()
        look_for(judge, 0, 10, (*HEARD, 3.0))
        assert not judge.has_failed(10, 3.0)

    def test_cut_off(self) -> None:
        """Guards against resets by a balancer that hears nobody."""
        judge = AgentFailureDetector()
        look_for(judge, 0, 10, (8.0, 8.0, 8.0, 8.0))
        assert not judge.has_failed(10, 8.0)

    def test_back_from_cut(self) -> None:
        """Guards against resets before the last agent is heard again."""
        judge = AgentFailureDetector()
        look_for(judge, 0, 10, (8.0, 8.0, 8.0, 8.0))
        look_for(judge, 10.1, 11, (*HEARD, 9.0))
        assert not judge.has_failed(11, 9.0)

    def test_frozen(self) -> None:
        """Guards against resets by a process that was paused."""
        judge = AgentFailureDetector()
        look_for(judge, 0, 10, HEARD)
        assert not judge.has_failed(20, 10.0)
        look_for(judge, 20, 20.5, (*HEARD, 10.0))
        assert not judge.has_failed(20.5, 10.5)

    def test_large_fleet(self) -> None:
        """Guards against resets where reports are far apart."""
        judge = AgentFailureDetector()
        judge.report_s = 30.0
        look_for(judge, 0, 40, (10.0, 20.0, 25.0))
        assert not judge.has_failed(40, 25.0)
