"""Randomized schedules of views, detection and dissemination.

Repeat one schedule with TREFOILHAVEN_FIRST_SEED and TREFOILHAVEN_SCHEDULES=1.
"""

import pytest

from trefoilhaven_core.membership import views
from trefoilhaven_core.membership.tests.support import schedule_seeds
from trefoilhaven_core.membership.tests.view_runs import ViewRun


class TestViewSchedules:
    """All views converge once the faults stop."""

    @pytest.mark.parametrize('seed', schedule_seeds(20))
    def test_views_converge(self, seed: int) -> None:
        """Guards against views that stay apart or go back."""
        run = ViewRun(seed)
        assert run.run(), f'seed {seed}: {run.differences()}'
        assert not run.reverted, f'seed {seed}'

    def test_merge_by_arrival(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against schedules that miss records that go back."""
        monkeypatch.setattr(
            views, 'supersedes', lambda record, known: record != known
        )
        run = ViewRun(0)
        assert not run.run() or run.reverted
