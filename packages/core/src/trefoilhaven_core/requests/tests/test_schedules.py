"""Random schedules of requests, faults and bucket transfers."""

import os
from typing import Final

import pytest

from trefoilhaven_core.requests.tests.schedules import Schedule
from trefoilhaven_core.requests.tests.simulation import BrokenRules

_SCHEDULES: Final = int(os.environ.get('TREFOILHAVEN_SCHEDULES', '400'))
_BLOCK: Final = 25

# Number of seeds within which a broken rule must cause a violation.
_BROKEN_SEEDS: Final = 1500


class TestSchedules:
    """At most one run, true refusals and complete answers under faults."""

    @pytest.mark.parametrize('first', range(0, _SCHEDULES, _BLOCK))
    def test_no_violation(self, first: int) -> None:
        """Guards against double runs, false refusals and wrong answers."""
        done = 0
        for seed in range(first, min(first + _BLOCK, _SCHEDULES)):
            simulation = Schedule(seed, BrokenRules()).run()
            assert not simulation.violations, (
                f'seed {seed}: {simulation.violations}'
            )
            done += simulation.done
        assert done > 0, 'no request of these schedules was ever done'

    @pytest.mark.parametrize('rule', BrokenRules._fields)
    def test_broken_rule_is_noticed(self, rule: str) -> None:
        """Guards against schedules that can't detect a broken rule."""
        broken = BrokenRules(**{rule: True})
        assert any(
            Schedule(seed, broken).run().violations
            for seed in range(_BROKEN_SEEDS)
        ), f'no violation within {_BROKEN_SEEDS} seeds without {rule}'
