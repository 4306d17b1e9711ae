"""Tests of the detection of permanently failed agents."""

from trefoilhaven_core.connections.failure_detector import (
    CHECK_INTERVAL_S,
    FAILURE_TIMEOUT_S,
    AgentFailureDetector,
)

HEARD = (0.1, 0.1, 0.2)


def observe_until(
    detector: AgentFailureDetector,
    start: float,
    end: float,
    silences: tuple[float, ...],
) -> None:
    """Run the periodic checks from one time to another."""
    now = start
    while now <= end:
        detector.observe(now, silences)
        now += CHECK_INTERVAL_S


class TestAgentFailureDetector:
    """Silence of one agent and of all agents."""

    def test_failed(self) -> None:
        """Guards against searches that always wait for a failed host."""
        detector = AgentFailureDetector()
        observe_until(detector, 0, 10, (*HEARD, 10.0))
        assert detector.has_failed(10, FAILURE_TIMEOUT_S)

    def test_restart(self) -> None:
        """Guards against resets while an agent restarts."""
        detector = AgentFailureDetector()
        observe_until(detector, 0, 10, (*HEARD, 3.0))
        assert not detector.has_failed(10, 3.0)

    def test_partitioned(self) -> None:
        """Guards against resets by a partitioned balancer."""
        detector = AgentFailureDetector()
        observe_until(detector, 0, 10, (8.0, 8.0, 8.0, 8.0))
        assert not detector.has_failed(10, 8.0)

    def test_partition_healed(self) -> None:
        """Guards against resets after a partition, before all have reported."""
        detector = AgentFailureDetector()
        observe_until(detector, 0, 10, (8.0, 8.0, 8.0, 8.0))
        observe_until(detector, 10.1, 11, (*HEARD, 9.0))
        assert not detector.has_failed(11, 9.0)

    def test_paused(self) -> None:
        """Guards against resets by a process after a pause."""
        detector = AgentFailureDetector()
        observe_until(detector, 0, 10, HEARD)
        assert not detector.has_failed(20, 10.0)
        observe_until(detector, 20, 20.5, (*HEARD, 10.0))
        assert not detector.has_failed(20.5, 10.5)

    def test_large_fleet(self) -> None:
        """Guards against resets when reports have long intervals."""
        detector = AgentFailureDetector()
        detector.report_s = 30.0
        observe_until(detector, 0, 40, (10.0, 20.0, 25.0))
        assert not detector.has_failed(40, 25.0)

    def test_unanswered_queries(self) -> None:
        """Guards against searches that wait for several report intervals.

        In a large fleet, a host that is gone would keep clients of lost
        connections waiting for 13 s.
        """
        detector = AgentFailureDetector()
        detector.report_s = 4.5
        observe_until(detector, 0, 5, (*HEARD, 5.0))
        silent_s = FAILURE_TIMEOUT_S + 0.5
        assert not detector.has_failed(5, silent_s)
        assert detector.has_failed(5, silent_s, FAILURE_TIMEOUT_S)

    def test_unanswered_by_all(self) -> None:
        """Guards against resets by a partitioned balancer that queries."""
        detector = AgentFailureDetector()
        detector.report_s = 4.5
        observe_until(detector, 0, 10, (10.0, 10.0, 10.0, 10.0))
        assert not detector.has_failed(10, 10.0, 10.0)
