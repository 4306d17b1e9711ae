"""Tests of the intervals of periodic messages."""

from trefoilhaven_core.connections.pacing import (
    HELLO_BYTES,
    REPORT_BYTES,
    changed_report_interval_s,
    hello_interval_s,
    report_interval_s,
)

# A node may use 20 KB/s for control traffic at the target size of the fleet.
BUDGET_BYTES_PER_S = 20_000

# Targets and balancers of one of four regions at the target size.
TARGETS = 12_000
BALANCERS = 1050


class TestPacing:
    """Intervals in a small deployment and at the target size."""

    def test_small_deployment(self) -> None:
        """Guards against outdated loads in a small deployment."""
        assert hello_interval_s(10) <= 1
        assert report_interval_s(7) <= 0.25
        assert changed_report_interval_s(3) <= 0.1

    def test_target_size(self) -> None:
        """Guards against control traffic that grows with the fleet."""
        hello = TARGETS * HELLO_BYTES / hello_interval_s(TARGETS)
        report = BALANCERS * REPORT_BYTES / report_interval_s(BALANCERS)
        assert hello < BUDGET_BYTES_PER_S
        assert report < BUDGET_BYTES_PER_S
