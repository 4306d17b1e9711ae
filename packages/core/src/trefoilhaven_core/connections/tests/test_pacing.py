"""Tests of the intervals of periodic messages."""

from trefoilhaven_core.connections.pacing import (
    HELLO_BYTES,
    HELLO_S,
    REPORT_BYTES,
    HelloSchedule,
    changed_report_interval_s,
    hello_interval_s,
    report_interval_s,
)

from trefoilhaven_core.connections.failure_detector import (
    FAILURE_TIMEOUT_S,
)
from trefoilhaven_core.connections.tests.support import make_member

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


class TestHellos:
    """Hellos to all agents and to those that have not reported."""

    def test_unheard(self) -> None:
        """Guards against a live target that counts as failed.

        Its agent does not know the balancer and one hello is lost. With 53
        targets, the next hello to all comes after the failure timeout.
        """
        members = [make_member(f't{number}') for number in range(53)]
        unheard = members[7:8]
        schedule = HelloSchedule()
        rounds = int(FAILURE_TIMEOUT_S / HELLO_S)
        hellos = [
            schedule.recipients(number * HELLO_S, members, unheard)
            for number in range(rounds)
        ]
        assert sum(unheard[0] in recipients for recipients in hellos) == rounds
        assert sum(members[0] in recipients for recipients in hellos) == 2

    def test_unheard_budget(self) -> None:
        """Guards against hellos that exceed the budget after a start.

        All agents get one in turn.
        """
        members = [make_member(f't{number}') for number in range(TARGETS)]
        schedule = HelloSchedule()
        schedule.recipients(0, members, members)
        interval_s = hello_interval_s(TARGETS)
        reached: set[str] = set()
        for number in range(1, int(interval_s)):
            recipients = schedule.recipients(number, members, members)
            assert len(recipients) * HELLO_BYTES < BUDGET_BYTES_PER_S
            reached.update(member.target for member in recipients)
        assert len(reached) > TARGETS / 2
