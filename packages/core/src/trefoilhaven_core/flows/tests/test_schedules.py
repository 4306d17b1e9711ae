"""Random schedules of flows while agents join, drain, pause and die."""

from collections.abc import Callable

import pytest

from trefoilhaven_core.flows.tests.traffic import FlowPool, check_settled
from trefoilhaven_core.ownership.leases import LeaseState
from trefoilhaven_core.ownership.tests.pool import Violation
from trefoilhaven_core.ownership.tests.schedules import schedule_seeds

Change = Callable[[FlowPool], None]


def _run(seed: int, change: Change | None = None) -> FlowPool:
    pool = FlowPool(seed)
    if change is not None:
        change(pool)
    pool.run()
    check_settled(pool)
    return pool


def _seed_that_fails(seeds: range, change: Change | None = None) -> int | None:
    for seed in seeds:
        try:
            _run(seed, change)
        except Violation:
            return seed
    return None


def _strip_placed_flag(pool: FlowPool) -> None:
    pool.placed_flags_arrive = False


def _drop_entries(pool: FlowPool) -> None:
    pool.replies_carry_items = False


class TestSchedules:
    """Flows during faults and after the last fault."""

    @pytest.mark.parametrize('seed', schedule_seeds())
    def test_flows(self, seed: int) -> None:
        """Guards against flows that are reset or reach a second target.

        Nor may a packet reach another service.
        """
        pool = _run(seed)
        assert pool.clients, f'seed {seed}'


class TestBrokenRules:
    """Each test breaks one rule and shows that some schedule fails."""

    def test_placed_flag_ignored(self) -> None:
        """Guards against schedules that place no flow on a sibling."""
        assert _seed_that_fails(range(20), _strip_placed_flag) is not None

    def test_directory_not_transferred(self) -> None:
        """Guards against schedules that transfer no bucket with flows."""
        assert _seed_that_fails(range(20), _drop_entries) is not None

    def test_paused_agent_decides(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against packets that waited in a socket through a pause.

        Seeds 9, 62, 123 and 261 were the first in which such a packet
        opened a flow that another target had already opened.
        """
        monkeypatch.setattr(LeaseState, 'may_decide', lambda lease, now: True)
        assert _seed_that_fails(range(20)) is not None
