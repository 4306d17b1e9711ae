"""Tests of the comparison with common ways to route flows."""

from trefoilhaven_bench.models.comparisons import Scale, compare_routers

_SMALL = Scale(targets=7, flows=700, packet_s=2, duration_s=60)

# The page's figure for the largest over the mean of open flows. It is
# stated for five times as many flows, of which each weighs less.
_IMBALANCE = 1.10


class TestCompareRouters:
    """One run with joins, a drain, a death and a new balancer."""

    def test_ownership_breaks_none(self) -> None:
        """Guards against broken flows, and against a run without changes."""
        seed = 1
        owned, *baselines = compare_routers(seed, _SMALL)
        assert owned.broken == 0, f'seed {seed}'
        assert owned.ended_by_death, f'seed {seed}'
        assert owned.steady_imbalance <= _IMBALANCE, f'seed {seed}'
        assert all(row.broken for row in baselines), f'seed {seed}'

    def test_same_seed(self) -> None:
        """Guards against a comparison that can't be repeated."""
        size = Scale(targets=3, flows=50, duration_s=30)
        assert compare_routers(3, size) == compare_routers(3, size)
