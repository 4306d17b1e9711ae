"""Tests of the return of most balancers at once, without the store."""

import pytest
from trefoilhaven_core.membership.offers import MAX_OFFERS_PER_S
from trefoilhaven_core.membership.tests.recovery_runs import (
    RecoveryRun,
    Setup,
)

# Time in seconds from the start of a balancer until it is of use, and until
# its list of targets is complete.
USABLE_S = 0.3
COMPLETE_S = 1.0

LARGE = Setup(balancers=60, restarted=36, agents=240, agents_with_copy=240)


def slowest_usable(run: RecoveryRun) -> float:
    """Return the longest time from a start until a balancer is of use."""
    times = [
        each.usable_at - each.started_at if each.usable_at else float('inf')
        for each in run.restarted
    ]
    return max(times)


def slowest_complete(run: RecoveryRun) -> float:
    """Return the longest time from a start until a list is complete."""
    times = [
        each.complete_at - each.started_at if each.complete_at else float('inf')
        for each in run.restarted
    ]
    return max(times)


class TestReturn:
    """16 of 27 balancers restart at once beside 65 agents."""

    @pytest.mark.parametrize('seed', range(10))
    def test_usable(self, seed: int) -> None:
        """Guards against balancers that wait for the store."""
        run = RecoveryRun(Setup(), seed)
        run.run(3.0)
        assert len(run.restarted) == 16
        assert slowest_usable(run) <= USABLE_S
        assert slowest_complete(run) <= COMPLETE_S

    @pytest.mark.parametrize('seed', range(5))
    def test_loss(self, seed: int) -> None:
        """Guards against one lost message that ends a recovery."""
        run = RecoveryRun(Setup(loss=0.3), seed)
        run.run(5.0)
        assert slowest_usable(run) <= 2 * USABLE_S
        assert slowest_complete(run) <= 3 * COMPLETE_S

    @pytest.mark.parametrize('seed', range(5))
    def test_no_copies(self, seed: int) -> None:
        """Guards against a recovery that needs the copies of agents.

        The agents have restarted too, and have no copy yet.
        """
        run = RecoveryRun(Setup(agents_with_copy=0), seed)
        run.run(5.0)
        assert slowest_complete(run) <= COMPLETE_S

    def test_all_balancers(self) -> None:
        """Guards against copies that are taken as complete lists."""
        run = RecoveryRun(Setup(restarted=27), 1)
        run.run(5.0)
        assert slowest_usable(run) <= USABLE_S
        assert all(each.complete_at is None for each in run.restarted)


class TestMessages:
    """Messages of the offers at 300 hosts."""

    def test_restart(self) -> None:
        """Guards against offers that fill the network after a power loss."""
        run = RecoveryRun(LARGE, 1)
        run.run(10.0)
        restarted = len(run.restarted)
        assert run.sent['offer'] <= 10 * restarted
        assert run.sent['hello'] <= 50 * restarted
        assert run.sent['agent offer'] <= 2 * run.sent['hello']
        assert run.sent['fetch'] <= 30 * restarted
        for times in run.offers.values():
            for start in times:
                window = [each for each in times if 0 <= each - start < 0.99]
                assert len(window) <= MAX_OFFERS_PER_S

    def test_quiet(self) -> None:
        """Guards against offers while nothing has happened."""
        run = RecoveryRun(LARGE._replace(restarted=0), 1)
        run.run(5.0)
        assert set(run.sent) <= {'report', 'gossip'}
