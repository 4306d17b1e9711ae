"""Randomized schedules of views, detection and dissemination.

TREFOILHAVEN_FIRST_SEED with TREFOILHAVEN_SCHEDULES=1 repeats one schedule.
"""

import pytest

from trefoilhaven_core.membership import views
from trefoilhaven_core.membership.detectors import DOMAIN_DEAD_AFTER_S
from trefoilhaven_core.membership.messages import Changes, MemberState
from trefoilhaven_core.membership.tests.support import WITNESSES, schedule_seeds
from trefoilhaven_core.membership.tests.view_runs import (
    DOMAINS,
    SERVICES,
    ViewRun,
)


class TestViewSchedules:
    """All views converge once the faults stop."""

    @pytest.mark.parametrize('seed', schedule_seeds(20))
    def test_views_converge(self, seed: int) -> None:
        """Guards against views that stay different or revert."""
        run = ViewRun(seed)
        assert run.run(), f'seed {seed}: {run.differences()}'
        assert not run.reverted, f'seed {seed}'

    def test_merge_by_arrival(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against schedules that miss records that revert."""
        monkeypatch.setattr(
            views, 'supersedes', lambda record, known: record != known
        )
        run = ViewRun(0)
        has_converged = run.run()
        assert run.reverted or not has_converged


class TestSilentDomain:
    """All members of a failure domain stop sending."""

    def test_travels_as_one_report(self) -> None:
        """Guards against one message per member of the failure domain."""
        run = ViewRun(0)
        while run.now < 10:
            run.step()
        for agent in run.agents.values():
            if agent.member.failure_domain == DOMAINS[0]:
                agent.is_up = False
        sent: list[object] = []
        run.network.on_send = sent.append
        deadline = run.now + DOMAIN_DEAD_AFTER_S - 1
        while run.now < deadline:
            run.step()
        changes = [each for each in sent if isinstance(each, Changes)]
        assert not any(each.members for each in changes)
        reports = {report for each in changes for report in each.silent_domains}
        reporters = [report.reporter for report in reports]
        assert 1 <= len(reporters) <= len(WITNESSES)
        assert len(set(reporters)) == len(reporters)
        for balancer in run.balancers.values():
            states = {
                member.state
                for service in SERVICES
                for member in balancer.store.members(service)
                if member.failure_domain == DOMAINS[0]
            }
            assert states == {MemberState.suspect}
